package gossip_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/gossip"

	"github.com/matryer/is"
)

// fleetTraffic runs 45 hosts and 185 upstreams that send heartbeats, and returns the bytes
// that a host sends per second while nothing but heartbeat counters changes.
func fleetTraffic(t *testing.T, s *sim) float64 {
	t.Helper()
	const (
		upstreams = 185
		step      = 200 * time.Millisecond
		warmUp    = 40 * time.Second // until each pair of hosts has exchanged all records once
		period    = 10 * time.Second
	)
	sent := 0
	sizeOf := newSizer(t)
	for at := time.Duration(0); at < warmUp+period; at += step {
		s.now = s.now.Add(step)
		for i := range upstreams {
			if (int(at/step)+i)%6 == 0 { // each upstream sends a heartbeat every 1.2 s
				s.hosts[(i*7+int(at/step))%len(s.hosts)].machine.RecordHeartbeat(s.now, engineRecord(s, i, uint64(at/step)+1))
			}
		}
		for _, h := range s.hosts {
			h.machine.Tick(s.now)
			for _, addr := range h.machine.Partners(s.now) {
				req := h.machine.Request(s.now, addr)
				reply := s.hostAt(addr).machine.OnRequest(s.now, req)
				h.machine.OnReply(s.now, reply)
				if at >= warmUp {
					sent += sizeOf(req) + sizeOf(reply)
				}
			}
		}
	}
	return float64(sent) / period.Seconds() / float64(len(s.hosts))
}

func engineRecord(s *sim, i int, seq uint64) fleet.Upstream {
	return fleet.Upstream{
		ID: fmt.Sprintf("i-%010x", i), Service: "peg-assistant", Place: "sialkot", Addr: addrOf(50 + i), Slots: 32,
		Version: "v1", Born: time.Unix(1_690_000_000+int64(i), 0).UTC(), Seq: seq,
	}
}

// newSizer returns a function that returns the size of a message on an open connection,
// on which the descriptions of types were sent before.
func newSizer(t *testing.T) func(v any) int {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	size := func(v any) int {
		buf.Reset()
		if err := enc.Encode(v); err != nil {
			t.Fatal(err)
		}
		return buf.Len()
	}
	size(gossip.Request{})
	size(gossip.Reply{})
	return size
}

// Guards against heartbeats of upstreams and nodes that are sent on with all fields: 45
// nodes then sent 6.4 MB/s to each other, while nothing changed.
func TestHeartbeatsTakeLittleTraffic(t *testing.T) {
	is := is.New(t)
	s := newSim(45)
	perSecond := fleetTraffic(t, s)
	t.Logf("%.0f bytes per second and node", perSecond)
	// docs/CAPACITY.md: a node spends at most 5 KB/s on control.
	is.True(perSecond <= 5000)
	for _, h := range s.hosts {
		is.Equal(len(h.machine.Upstreams(anyService)), 185)
		is.Equal(len(h.machine.Alive(s.now)), 45)
	}
}

// Guards against a node that can't reach the node to which an upstream sends its heartbeats
// and forgets the upstream, though others know of it.
func TestUpstreamIsKnownAcrossABrokenPath(t *testing.T) {
	is := is.New(t)
	s := newSim(3)
	for at := time.Duration(0); at < 10*time.Minute; at += 200 * time.Millisecond {
		s.now = s.now.Add(200 * time.Millisecond)
		if at%(time.Second) == 0 {
			s.hosts[0].machine.RecordHeartbeat(s.now, engineRecord(s, 1, uint64(at/time.Second)+1))
		}
		for i, h := range s.hosts {
			s.partition[s.hosts[1]] = i / 2 // host 1 reaches both, 0 and 2 don't reach each other
			s.partition[s.hosts[2]] = 1
			s.round(h, noLoss)
		}
		if at > 10*time.Second {
			is.Equal(len(s.hosts[2].machine.Upstreams(anyService)), 1)
		}
	}
}
