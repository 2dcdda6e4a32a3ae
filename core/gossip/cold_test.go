package gossip_test

import (
	"testing"
	"time"

	"dotterelgap/core/fleet"

	"github.com/matryer/is"
)

// coldUntil returns when the only known upstream of a host ceases to be cold.
func coldUntil(h *host) time.Time {
	return h.machine.Upstreams(anyService)[0].ColdUntil
}

// exchangeFrom runs the exchanges that a host starts now.
func exchangeFrom(s *sim, h *host) (partners int) {
	for _, addr := range h.machine.Partners(s.now) {
		reply := s.hostAt(addr).machine.OnRequest(s.now, h.machine.Request(s.now, addr))
		h.machine.OnReply(s.now, reply)
		partners++
	}
	return partners
}

// Guards against a running upstream that becomes cold and is told as if only its counter had
// changed: all live nodes are told at once, and counters that follow don't renew the time.
func TestUpstreamThatBecomesColdIsUrgent(t *testing.T) {
	is := is.New(t)
	s := newSim(6)
	u := fleet.Upstream{ID: "i-1", Service: "model", Addr: addrOf(50), Born: s.now, Seq: 1}
	s.hosts[0].machine.RecordHeartbeat(s.now, u)
	for range 60 {
		s.now = s.now.Add(200 * time.Millisecond)
		for _, h := range s.hosts {
			h.machine.Tick(s.now)
			exchangeFrom(s, h)
		}
	}
	is.True(coldUntil(s.hosts[3]).IsZero())
	u.Seq, u.Cold = 2, 3*time.Second
	began := s.now
	s.hosts[0].machine.RecordHeartbeat(s.now, u)
	s.now = s.now.Add(50 * time.Millisecond)
	is.True(exchangeFrom(s, s.hosts[0]) >= 5)
	for _, h := range s.hosts {
		until := coldUntil(h)
		is.True(!until.Before(began.Add(u.Cold)) && until.Before(began.Add(u.Cold+100*time.Millisecond)))
	}
	for range 40 * 5 { // long enough for a heartbeat that is sent on as a counter
		s.now = s.now.Add(200 * time.Millisecond)
		u.Seq, u.Cold = u.Seq+1, max(began.Add(3*time.Second).Sub(s.now), 0)
		s.hosts[0].machine.RecordHeartbeat(s.now, u)
		for _, h := range s.hosts {
			h.machine.Tick(s.now)
			exchangeFrom(s, h)
			is.True(!coldUntil(h).After(began.Add(3100 * time.Millisecond)))
		}
	}
}

// Guards against a node that learns of a cold upstream late, and counts the whole time anew.
func TestColdTimeIsCountedFromTheHeartbeat(t *testing.T) {
	is := is.New(t)
	s := newSim(2)
	began := s.now
	u := fleet.Upstream{ID: "i-1", Service: "model", Addr: addrOf(50), Born: s.now, Seq: 1, Cold: 3 * time.Second}
	s.hosts[0].machine.RecordHeartbeat(s.now, u)
	s.now = s.now.Add(2 * time.Second)
	s.hosts[1].machine.OnReply(s.now, s.hosts[0].machine.OnRequest(s.now, s.hosts[1].machine.Request(s.now, s.hosts[0].addr)))
	is.Equal(coldUntil(s.hosts[1]), began.Add(3*time.Second))
}
