package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"

	"github.com/matryer/is"
)

// paceSim runs nodes that send requests to upstreams of the service desk, whose responses may fail.
type paceSim struct {
	now   time.Time
	nodes []*sched.Balancer
	ups   []fleet.Upstream
	fails func(id string) bool
	// perSecond counts the requests to each upstream in each second since the start, and rejected
	// those that found none.
	perSecond map[string][]int
	rejected  int
	began     int
	requests  int
}

func newPaceSim(nodes, ups int) *paceSim {
	s := &paceSim{now: start, ups: upstreams("desk", ups), fails: func(string) bool { return false }, perSecond: map[string][]int{}}
	opts := sched.DefaultOptions()
	opts.Pace = true
	for range nodes {
		s.nodes = append(s.nodes, sched.New(opts, "here"))
	}
	return s
}

// restart replaces the incarnation of an upstream at its id.
func (s *paceSim) restart(i int) { s.ups[i].Born = s.now }

// run sends requests at a rate through the nodes in turn.
func (s *paceSim) run(d time.Duration, perSecond int) {
	interval := time.Second / time.Duration(perSecond)
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(interval) {
		if s.requests%(perSecond/10) == 0 {
			s.refresh()
		}
		s.request(s.nodes[s.requests%len(s.nodes)])
		s.requests++
	}
}

func (s *paceSim) refresh() {
	var all fleet.Sharers
	for i := range s.nodes {
		all.All = append(all.All, simAddr(i))
	}
	for _, b := range s.nodes {
		b.SetSharers(all)
		b.SetUpstreams(s.ups, noKVTokens)
		b.SetCold(s.now)
		for _, c := range b.SetPaces(s.now) {
			if c.Why != "" {
				s.began++
			}
		}
	}
}

func (s *paceSim) request(b *sched.Balancer) {
	c, ok := b.Pick(s.now, sched.Query{Service: "desk"})
	if !ok {
		s.rejected++
		return
	}
	c, _, _ = b.Started(s.now, sched.Query{Service: "desk"}, c)
	id := c.Upstream.ID
	second := int(s.now.Sub(start) / time.Second)
	for len(s.perSecond[id]) <= second {
		s.perSecond[id] = append(s.perSecond[id], 0)
	}
	s.perSecond[id][second]++
	o := sched.Served
	if s.fails(id) {
		o = sched.Failed
	}
	u, send := b.Ended(s.now, c, o)
	for _, other := range s.nodes {
		if send && other != b {
			other.OnUpdate(s.now, u)
		}
	}
}

// in returns the requests to an upstream in a second.
func (s *paceSim) in(i, second int) int {
	list := s.perSecond[fmt.Sprint("desk-", i)]
	if second >= len(list) {
		return 0
	}
	return list[second]
}

// Guards against an upstream that restarts and gets its usual share at once, or never again.
func TestRestartedUpstreamIsPaced(t *testing.T) {
	is := is.New(t)
	s := newPaceSim(14, 4)
	s.run(20*time.Second, 400)
	is.Equal(s.began, 0) // not at the nodes' own start
	is.True(s.in(2, 19) >= 90)
	s.restart(2)
	s.run(15*time.Second, 400)
	is.Equal(s.began, 14)
	is.True(s.in(2, 20) <= 30)
	is.True(s.in(2, 30) >= 80) // its usual share within 10 s
	is.Equal(s.rejected, 0)    // the others serve meanwhile
}

// Guards against pacing the upstreams of a new fleet, which a node learns of one after the other.
func TestUpstreamsOfNewFleetAreNotPaced(t *testing.T) {
	is := is.New(t)
	s := newPaceSim(5, 4)
	all := s.ups
	for n := range all {
		s.ups = all[:n+1]
		s.run(time.Second, 200)
	}
	is.Equal(s.began, 0)
}

// Guards against an upstream that fails after each recovery and gets its usual share in between.
func TestRelapsingUpstreamGetsLittle(t *testing.T) {
	is := is.New(t)
	s := newPaceSim(14, 4)
	s.run(15*time.Second, 400)
	s.fails = func(id string) bool { return id == "desk-1" }
	s.run(40*time.Second, 400)
	for second := 17; second < 54; second++ {
		is.True(s.in(1, second) <= 14) // a request of each node
	}
	s.fails = func(string) bool { return false }
	s.run(20*time.Second, 400)
	is.True(s.in(1, 74) >= 60) // it is not left idle
}

// Guards against a service whose upstreams all restart: callers are served as fast as responses
// allow, and the others learn when there is room.
func TestServiceThatRestartsAsAWhole(t *testing.T) {
	is := is.New(t)
	s := newPaceSim(14, 4)
	s.run(15*time.Second, 400)
	for i := range s.ups {
		s.restart(i)
	}
	s.run(time.Second, 400)
	is.Equal(s.rejected, 0) // each response arrives before the next request
	node := s.nodes[0]
	sent := 0
	for range 20 { // without a response
		c, ok := node.Pick(s.now, sched.Query{Service: "desk"})
		if !ok {
			break
		}
		node.Started(s.now, sched.Query{Service: "desk"}, c)
		sent++
	}
	is.True(sent >= 4 && sent <= 8) // one that is due and one more at each upstream
	opening, ok := node.OpensIn(s.now, sched.Query{Service: "desk"})
	is.True(ok && opening.Paced && opening.In <= time.Second)
	s.run(7*time.Second, 400)
	before := s.rejected
	s.run(5*time.Second, 400)
	is.Equal(s.rejected, before)
}

// Guards against a single upstream that is paced though no other can take its requests.
func TestSingleUpstreamIsNotPaced(t *testing.T) {
	is := is.New(t)
	s := newPaceSim(5, 1)
	s.run(15*time.Second, 200)
	s.restart(0)
	s.run(time.Second, 200)
	for range 10 { // without a response
		c, ok := s.nodes[0].Pick(s.now, sched.Query{Service: "desk"})
		is.True(ok)
		s.nodes[0].Started(s.now, sched.Query{Service: "desk"}, c)
	}
	s.run(5*time.Second, 200)
	is.Equal(s.rejected, 0)
}

// Guards against nodes that each find out for themselves that a paced upstream is slow.
func TestSlowedUpdateSlowsOtherNodes(t *testing.T) {
	is := is.New(t)
	s := newPaceSim(2, 2)
	s.run(15*time.Second, 200)
	s.restart(0)
	s.run(3*time.Second, 200)
	a, b := s.nodes[0], s.nodes[1]
	u, send := a.FirstTokenPace(s.now, sched.Choice{Upstream: s.ups[0], Rank: 0}, time.Minute)
	is.True(send && u.Kind == sched.Slowed)
	parsed, ok := sched.ParseUpdate(u.Append(nil))
	is.True(ok)
	before := b.PaceOf(s.ups[0].ID)
	b.OnUpdate(s.now, parsed)
	is.Equal(b.PaceOf(s.ups[0].ID), before) // one is usual
	b.OnUpdate(s.now, parsed)
	is.Equal(b.PaceOf(s.ups[0].ID), before/2)
}
