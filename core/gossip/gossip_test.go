package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/gossip"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// host runs one life of a node at a time.
type host struct {
	addr    netip.AddrPort
	machine *gossip.Machine
}

// announced is an upstream as it truly is: the oracle.
type announced struct {
	id   string
	born time.Time
	seq  uint64
	gone bool
	addr netip.AddrPort
}

type world struct {
	now   time.Time
	hosts []*host
	cut   map[*host]int
	ups   map[string]*announced
	late  []fleet.Upstream
	lives int
	// births makes the start of each life of an upstream another one.
	births int
}

func newWorld(n int) *world {
	w := &world{now: time.Unix(1_700_000_000, 0), cut: map[*host]int{}, ups: map[string]*announced{}}
	for i := range n {
		w.hosts = append(w.hosts, &host{addr: addrOf(i)})
	}
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func (w *world) start(h *host) {
	w.lives++
	h.machine = gossip.New(gossip.Params{
		Self:  fleet.Peer{ID: fleet.NodeID(fmt.Sprint("node-", w.lives)), Addr: h.addr},
		Seeds: []netip.AddrPort{addrOf(0), addrOf(1)}, Rand: rand.New(rand.NewPCG(uint64(w.lives), 1)), Now: w.now,
	})
}

func (w *world) at(addr netip.AddrPort) *host {
	for _, h := range w.hosts {
		if h.addr == addr {
			return h
		}
	}
	return nil
}

// round lets a node exchange with those that it picks; lost decides about each
// message.
func (w *world) round(h *host, lost func() bool) {
	h.machine.Tick(w.now)
	for _, addr := range h.machine.Partners(w.now) {
		to := w.at(addr)
		req := h.machine.Request(addr)
		if to == nil || to == h || w.cut[to] != w.cut[h] || lost() {
			continue
		}
		reply := to.machine.OnRequest(w.now, req)
		if !lost() {
			h.machine.OnReply(w.now, reply)
		}
	}
}

func never() bool { return false }

func (w *world) beat(t *rapid.T) {
	id := rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(t, "id")
	u, ok := w.ups[id]
	if !ok || u.gone {
		addr := addrOf(100 + len(id) + rapid.IntRange(0, 2).Draw(t, "address"))
		w.births++
		u = &announced{id: id, born: w.now.Add(time.Duration(w.births) * time.Millisecond), addr: addr}
		for _, other := range w.ups {
			if other.addr == addr && !other.gone {
				other.gone = true // its process has ended without a word
			}
		}
		w.ups[id] = u
	}
	u.seq++
	state := fleet.UpstreamReady
	if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
		state = fleet.UpstreamGone
		u.gone = true
	}
	rec := fleet.Upstream{ID: id, Service: "s", Addr: u.addr, Born: u.born, Seq: u.seq, State: state}
	if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		w.late = append(w.late, rec)
		return
	}
	w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "at")].machine.RecordHeartbeat(w.now, rec)
}

// TestConverges spreads announcements through cuts, losses, restarts and late
// words of upstreams that have ended. The oracle: once all is healed, all nodes
// know each other and the same upstreams, and none that has ended.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 6).Draw(t, "hosts"))
		pick := func(label string) *host { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, label)] }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"round":   func(*rapid.T) { w.round(pick("host"), never) },
			"lossy":   func(t *rapid.T) { w.round(pick("host"), func() bool { return rapid.Bool().Draw(t, "lost") }) },
			"beat":    w.beat,
			"cut":     func(t *rapid.T) { w.cut[pick("host")] = rapid.IntRange(0, 1).Draw(t, "side") },
			"restart": func(*rapid.T) { w.start(pick("host")) },
			"late": func(t *rapid.T) {
				if len(w.late) > 0 {
					pick("host").machine.RecordHeartbeat(w.now, rapid.SampledFrom(w.late).Draw(t, "word"))
				}
			},
		})
		w.cut = map[*host]int{}
		// What an upstream last said reaches a node in the end.
		for _, u := range w.ups {
			state := fleet.UpstreamReady
			if u.gone {
				state = fleet.UpstreamGone
			}
			u.seq++
			w.hosts[0].machine.RecordHeartbeat(w.now, fleet.Upstream{ID: u.id, Service: "s", Addr: u.addr, Born: u.born, Seq: u.seq, State: state})
		}
		for range 60 {
			w.now = w.now.Add(200 * time.Millisecond)
			for _, h := range w.hosts {
				w.round(h, never)
			}
		}
		w.checkAgreed(t)
	})
}

func (w *world) checkAgreed(t *rapid.T) {
	for i, h := range w.hosts {
		if alive := len(h.machine.Alive(w.now)); alive != len(w.hosts) {
			t.Fatalf("host %d sees %d live nodes of %d", i, alive, len(w.hosts))
		}
		seen := map[string]bool{}
		for _, u := range h.machine.Upstreams() {
			seen[u.ID] = true
			if w.ups[u.ID].gone {
				t.Fatalf("host %d still knows %s, which is gone", i, u.ID)
			}
		}
		for id, u := range w.ups {
			if !u.gone && !seen[id] {
				t.Fatalf("host %d does not know %s", i, id)
			}
		}
	}
}

// An upstream that drains is told to all at once, and a late word of readiness
// does not bring it back.
func TestDrainIsUrgent(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	for range 10 {
		w.now = w.now.Add(time.Second)
		for _, h := range w.hosts {
			w.round(h, never)
		}
	}
	u := fleet.Upstream{ID: "i-1", Addr: addrOf(100), Born: w.now, Seq: 1}
	m := w.hosts[0].machine
	m.RecordHeartbeat(w.now, u)
	m.Partners(w.now)
	u.Seq, u.State = 2, fleet.UpstreamDraining
	m.RecordHeartbeat(w.now, u)
	is.Equal(len(m.Partners(w.now)), 3)
	u.Seq, u.State = 1, fleet.UpstreamReady
	m.RecordHeartbeat(w.now, u)
	is.Equal(m.Upstreams()[0].State, fleet.UpstreamDraining)
}

// An address that another upstream took over is not given to the earlier one
// again by a word that came late.
func TestAddressIsTakenOver(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	m := w.hosts[0].machine
	old := fleet.Upstream{ID: "old", Service: "a", Addr: addrOf(100), Born: w.now, Seq: 1}
	m.RecordHeartbeat(w.now, old)
	m.RecordHeartbeat(w.now, fleet.Upstream{ID: "new", Service: "b", Addr: addrOf(100), Born: w.now.Add(time.Second), Seq: 1})
	old.Seq = 9
	m.RecordHeartbeat(w.now, old)
	ups := m.Upstreams()
	is.Equal(len(ups), 1)
	is.Equal(ups[0].ID, "new")
}

// A calm fleet sends only what has changed.
func TestCalmExchangeIsSmall(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	for i := range 40 {
		w.hosts[0].machine.RecordHeartbeat(w.now, fleet.Upstream{ID: fmt.Sprint("i-", i), Addr: addrOf(100 + i), Born: w.now, Seq: 1})
	}
	for range 30 {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, h := range w.hosts {
			w.round(h, never)
		}
	}
	req := w.hosts[1].machine.Request(w.hosts[2].addr)
	is.Equal(len(req.Delta.Upstreams), 0)
	is.True(len(req.Delta.Peers) <= 3)
}
