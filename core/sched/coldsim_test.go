package sched_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/gossip"
	"dotterelgap/core/sched"

	"github.com/matryer/is"
)

// coldSim runs nodes that all send as many requests as they may to upstreams that stay cold.
type coldSim struct {
	now      time.Time
	rnd      *rand.Rand
	machines []*gossip.Machine
	nodes    []*sched.Balancer
	side     []int
	loss     float64
	lives    int
	// arrivals are the times of the latest requests at each upstream.
	arrivals map[string][]time.Time
	sent     map[string]int
	most     int
	// refreshed is the time between two changes of the view that a balancer uses.
	refreshed time.Duration
}

// The bound of the simulated upstreams, in requests per second.
const (
	simColdPerSecond = 9.4
	simColdOverage   = 1.5
	simColdBurst     = 5
	simColdBound     = 19
	simColdSeeds     = 3
)

func newColdSim(nodes int, seed uint64) *coldSim {
	s := &coldSim{now: start, rnd: rand.New(rand.NewPCG(seed, 1)), arrivals: map[string][]time.Time{}, sent: map[string]int{}, refreshed: 400 * time.Millisecond}
	for i := range nodes {
		s.machines, s.nodes, s.side = append(s.machines, nil), append(s.nodes, nil), append(s.side, 0)
		s.start(i, true)
	}
	return s
}

func simAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 7340)
}

// start starts a new incarnation of a node, which knows the seeds only.
func (s *coldSim) start(i int, bootstrap bool) {
	s.lives++
	seeds := []netip.AddrPort{simAddr(0), simAddr(1), simAddr(2)}
	s.machines[i] = gossip.New(gossip.Params{
		Self:  fleet.Peer{ID: fleet.NodeID(fmt.Sprint("entry-", s.lives)), Addr: simAddr(i)},
		Seeds: seeds, Rand: rand.New(rand.NewPCG(s.rnd.Uint64(), 2)), Now: s.now, Bootstrap: bootstrap,
	})
	opts := sched.DefaultOptions()
	opts.ColdOverage, opts.ColdBurst = simColdOverage, simColdBurst
	s.nodes[i] = sched.New(opts, "here")
}

func (s *coldSim) add(bootstrap bool) {
	s.machines, s.nodes, s.side = append(s.machines, nil), append(s.nodes, nil), append(s.side, 0)
	s.start(len(s.nodes)-1, bootstrap)
}

// run advances the simulation. Exchanges take place every 200 ms, decisions every 25 ms.
func (s *coldSim) run(d time.Duration) {
	const step = 25 * time.Millisecond
	for n := range int(d / step) {
		s.now = s.now.Add(step)
		if n%8 == 0 {
			s.exchange()
			s.refresh()
		}
		for _, i := range s.rnd.Perm(len(s.nodes)) {
			s.request(s.nodes[i])
		}
	}
}

func (s *coldSim) exchange() {
	for i, m := range s.machines {
		m.Tick(s.now)
		for _, addr := range m.Partners(s.now) {
			for to := range s.machines {
				if simAddr(to) == addr && s.side[to] == s.side[i] && s.rnd.Float64() >= s.loss {
					reply := s.machines[to].OnRequest(s.now, m.Request(s.now, addr))
					if s.rnd.Float64() >= s.loss {
						m.OnReply(s.now, reply)
					}
				}
			}
		}
	}
}

// refresh passes the views to the balancers, at different times.
func (s *coldSim) refresh() {
	for i, b := range s.nodes {
		if phase := time.Duration(i) * 200 * time.Millisecond; s.now.Sub(start.Add(phase))%s.refreshed > 150*time.Millisecond {
			continue
		}
		ups := upstreams("model", 2)
		for k := range ups {
			ups[k].Cold = time.Hour
		}
		b.SetUpstreams(ups, func(string) sched.Engine { return sched.Engine{ColdPerSecond: simColdPerSecond} })
		b.SetCold(s.now)
		b.SetSharers(s.machines[i].Sharers(s.now))
	}
}

// request sends requests through a node until it holds them back.
func (s *coldSim) request(b *sched.Balancer) {
	for range 30 {
		q := prompt("plan", fmt.Sprint("session-", s.rnd.IntN(40)), "r")
		c, ok := b.Pick(s.now, q)
		if !ok {
			return
		}
		c, _, _ = b.Started(s.now, q, c)
		b.Ended(s.now, c, sched.Served)
		s.arrive(c.Upstream.ID)
	}
}

// arrive counts a request at an upstream, and the most in any second.
func (s *coldSim) arrive(id string) {
	list := append(s.arrivals[id], s.now)
	for s.now.Sub(list[0]) > time.Second {
		list = list[1:]
	}
	s.arrivals[id] = list
	s.sent[id]++
	s.most = max(s.most, len(list))
}

// disturb cuts, heals, restarts and adds nodes at random.
func (s *coldSim) disturb() {
	switch s.rnd.IntN(6) {
	case 0:
		sides := 1 + s.rnd.IntN(3)
		for i := range s.side {
			s.side[i] = s.rnd.IntN(sides)
		}
	case 1:
		clear(s.side)
	case 2:
		s.start(s.rnd.IntN(len(s.nodes)), false)
	case 3:
		for i := range s.nodes {
			if s.rnd.IntN(2) == 0 {
				s.start(i, false)
			}
		}
	case 4:
		s.loss = s.rnd.Float64() * 0.6
	case 5:
		if len(s.nodes) < 60 && s.rnd.IntN(3) == 0 {
			s.add(false)
			s.side[len(s.side)-1] = s.rnd.IntN(2)
		}
	}
}

// Guards against parts of the bound that exceed it in sum: no cold upstream gets more requests in
// any second than it tolerates, with nodes that are cut off, restart, join and lose messages.
func TestColdUpstreamNeverGetsMoreThanItTolerates(t *testing.T) {
	for nodes, seeds := range map[int]uint64{4: 4, 14: 4, 45: 1} {
		for seed := range seeds {
			t.Run(fmt.Sprint(nodes, "_nodes_seed_", seed), func(t *testing.T) {
				is := is.New(t)
				s := newColdSim(nodes, seed)
				s.run(10 * time.Second)
				before := s.sent["model-0"]
				is.True(before > 0) // the nodes of a new fleet find together
				for range 25 * 14 / max(nodes, 14) {
					s.disturb()
					s.run(time.Duration(s.rnd.IntN(8000)) * time.Millisecond)
				}
				is.True(s.most <= simColdBound)
				t.Logf("most in a second %d, sent %v", s.most, s.sent)
			})
		}
	}
}

// Guards against a bound that is not used, or exceeded by long partitions: sides that have
// forgotten each other's records still use their own parts only.
func TestColdPartsThroughLongPartition(t *testing.T) {
	is := is.New(t)
	s := newColdSim(14, 9)
	s.run(10 * time.Second)
	s.sent, s.most = map[string]int{}, 0
	s.run(20 * time.Second)
	is.Equal(s.most, simColdBound)                // all parts together are the bound
	is.True(s.sent["model-0"] >= 17*simColdBound) // and are used
	for i := range s.side {
		s.side[i] = i % 2
	}
	s.run(3 * time.Minute)
	is.True(s.most <= simColdBound)
	s.start(5, false) // knows the seeds of its side and learns the others of that side only
	s.run(20 * time.Second)
	is.True(s.most <= simColdBound)
}

// Guards against a node that starts in a partition and takes the bound as its own.
func TestNodeThatStartsAloneSendsNothingToColdUpstreams(t *testing.T) {
	is := is.New(t)
	s := newColdSim(14, 11)
	s.run(10 * time.Second)
	s.side[7] = 1
	s.start(7, false)
	s.run(5 * time.Second)
	_, ok := s.nodes[7].Pick(s.now, prompt("plan", "s", "r"))
	is.True(!ok)
	opening, ok := s.nodes[7].OpensIn(s.now, sched.Query{Service: "model"})
	is.True(ok && opening.Paced && opening.In > 0)
	clear(s.side)
	s.run(15 * time.Second)
	is.True(s.machines[7].Sharers(s.now).Joined) // it takes its part once it has heard the others
	is.True(s.most <= simColdBound)
}

// Guards against a node that uses its part before the others divide by the new number.
func TestNodeThatJoinsWaitsForTheOthers(t *testing.T) {
	is := is.New(t)
	s := newColdSim(9, 5)
	s.refreshed = 2 * time.Second
	s.run(10 * time.Second)
	for range 3 {
		s.add(false)
		s.run(10 * time.Second)
		is.True(s.machines[len(s.machines)-1].Sharers(s.now).Joined)
	}
	is.True(s.most <= simColdBound)
}

// Guards against a new node that takes a part while nodes that don't know it are cut off and use
// theirs.
func TestNewNodeTakesNoPartDuringPartition(t *testing.T) {
	is := is.New(t)
	s := newColdSim(9, 6)
	s.run(10 * time.Second)
	for i := range 4 {
		s.side[5+i] = 1
	}
	s.add(false)
	s.run(20 * time.Second)
	is.True(!s.machines[9].Sharers(s.now).Joined)
	is.True(s.most <= simColdBound)
	clear(s.side)
	s.run(15 * time.Second)
	is.True(s.machines[9].Sharers(s.now).Joined)
	is.True(s.most <= simColdBound)
}

// Guards against a restarted node that sends its part once more within the same second.
func TestRestartedNodeWaits(t *testing.T) {
	is := is.New(t)
	s := newColdSim(3, 7)
	s.run(10 * time.Second)
	for range 6 {
		s.start(2, false)
		s.run(6 * time.Second)
		is.True(s.machines[2].Sharers(s.now).Joined)
	}
	is.True(s.most <= simColdBound)
}

// Guards against impossible values: an upstream that says that it stays cold for ever counts as
// cold for as long as the policy states, and a rate that is no number is no bound.
func TestImpossibleColdValuesAreBounded(t *testing.T) {
	is := is.New(t)
	engine := sched.Engine{ColdPerSecond: 2, ColdFor: 3 * time.Second}
	b := sched.New(sched.DefaultOptions(), "here")
	b.SetSharers(fleet.Sharers{Self: simAddr(0), All: []netip.AddrPort{simAddr(0)}, Joined: true})
	ups := upstreams("model", 1)
	ups[0].Cold = 1 << 62
	b.SetUpstreams(ups, func(string) sched.Engine { return engine })
	changes := b.SetCold(start)
	is.True(len(changes) == 1 && changes[0].Bounded && changes[0].Left == engine.ColdFor && changes[0].Part == 2)
	q := prompt("plan", "s", "r")
	picks := func(now time.Time) (n int) {
		for range 10 {
			c, ok := b.Pick(now, q)
			if !ok {
				break
			}
			b.Started(now, q, c)
			n++
		}
		return n
	}
	is.Equal(picks(start), 2)
	is.Equal(picks(start.Add(engine.ColdFor+2*time.Second)), 10) // warm
	for _, rate := range []float64{math.NaN(), -1, math.Inf(-1)} {
		engine.ColdPerSecond = rate
		b.SetUpstreams(ups, func(string) sched.Engine { return engine })
		b.SetCold(start)
		is.Equal(picks(start), 10)
	}
	engine.ColdPerSecond = math.Inf(1)
	b.SetUpstreams(ups, func(string) sched.Engine { return engine })
	b.SetCold(start)
	is.Equal(picks(start), 10)
}

// Guards against an isolated node that takes upstreams for warm since it has heard nothing else.
func TestIsolatedNodeTakesUpstreamsForCold(t *testing.T) {
	is := is.New(t)
	b := sched.New(sched.DefaultOptions(), "here")
	b.SetSharers(fleet.Sharers{Self: simAddr(0), All: []netip.AddrPort{simAddr(0), simAddr(1)}, Joined: true})
	b.SetUpstreams(upstreams("model", 1), func(string) sched.Engine { return sched.Engine{ColdPerSecond: 2} })
	b.SetCold(start)
	q := prompt("plan", "s", "r")
	b.SetShare(sched.Entries{Alive: 1, Known: 2}.Side())
	c, ok := b.Pick(start, q)
	is.True(ok)
	b.Started(start, q, c)
	_, ok = b.Pick(start, q)
	is.True(!ok) // its part is one a second
	b.SetShare(sched.Entries{Alive: 2, Known: 2}.Side())
	_, ok = b.Pick(start, q)
	is.True(ok)
}

// Guards against parts that leave some of the bound unused, or exceed it, for any number of nodes.
func TestColdPartsAddUpToTheBound(t *testing.T) {
	for _, n := range []int{1, 14, 19, 45, 360} {
		is := is.New(t)
		var all []netip.AddrPort
		for i := range n {
			all = append(all, simAddr(i))
		}
		opts := sched.DefaultOptions()
		opts.ColdOverage, opts.ColdBurst = simColdOverage, simColdBurst
		sum, most := 0, 0
		for i := range n {
			b := sched.New(opts, "here")
			b.SetSharers(fleet.Sharers{Self: all[i], All: all, Joined: true})
			ups := upstreams("model", 1)
			ups[0].Cold = time.Second
			b.SetUpstreams(ups, func(string) sched.Engine { return sched.Engine{ColdPerSecond: simColdPerSecond} })
			part := b.SetCold(start)[0].Part
			sum, most = sum+part, max(most, part)
		}
		is.Equal(sum, simColdBound)
		is.True(most <= simColdBound/n+1)
	}
}
