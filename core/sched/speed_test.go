package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dotterelgap/core/sched"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

// speedSim is a fleet of nodes before engines of different speeds. Each request finds its engine
// idle.
type speedSim struct {
	nodes []*sched.Balancer
	// perToken is the time to prefill a token, and slow the factor of the engines that are slow.
	perToken time.Duration
	slow     map[string]float64
	now      time.Time
	requests int
}

const simOverhead = 60 * time.Millisecond

func newSpeedSim(nodes, engines int, perToken time.Duration, slow map[string]float64) *speedSim {
	s := &speedSim{perToken: perToken, slow: slow, now: start}
	for range nodes {
		s.nodes = append(s.nodes, newBalancer(engines))
	}
	return s
}

// request sends a prompt that shares nothing and returns the choice and the time to its first
// token. late makes the engine take that many times as long.
func (s *speedSim) request(late float64) (sched.Choice, time.Duration) {
	s.requests++
	s.now = s.now.Add(100 * time.Millisecond)
	from := s.nodes[s.requests%len(s.nodes)]
	q := prompt(fmt.Sprint("p-", s.requests), fmt.Sprint("s-", s.requests), "r")
	c, _ := from.Pick(s.now, q)
	c, u, _ := from.Started(s.now, q, c)
	for _, n := range s.nodes {
		if n != from {
			n.OnUpdate(s.now, u)
		}
	}
	factor := s.slow[c.Upstream.ID]
	if factor == 0 {
		factor = 1
	}
	took := time.Duration(late * factor * float64(simOverhead+s.perToken*time.Duration(c.Uncached)))
	from.FirstToken(c, took)
	from.Ended(s.now, c, sched.Served)
	return c, took
}

// Guards against estimates that stay at their initial values: engines that prefill three times as
// fast are known as that, also those that have had no request yet and if one response in seven
// takes 2.5 times as long.
func TestSpeedOfAServiceIsLearned(t *testing.T) {
	is := is.New(t)
	s := newSpeedSim(1, 60, 11*time.Microsecond, nil)
	seen := map[string]bool{}
	checked := 0
	for i := range 60 {
		late := 1.0
		if i%7 == 0 {
			late = 2.5
		}
		c, took := s.request(late)
		if estimate := c.Overhead + c.Wait + c.Prefill; i >= 30 && late == 1 && !seen[c.Upstream.ID] {
			is.True(estimate < took*13/10)
			is.True(estimate > took*7/10)
			checked++
		}
		seen[c.Upstream.ID] = true
	}
	is.True(checked >= 5)
}

// Guards against a slow engine that each node has to find out by itself: a few requests of all
// nodes together suffice for each of them to send it less than the others.
func TestSlowEngineIsKnownToAllNodes(t *testing.T) {
	is := is.New(t)
	s := newSpeedSim(30, 4, 11*time.Microsecond, map[string]float64{"model-0": 2.2})
	for range 60 {
		s.request(1)
	}
	sent := map[string]int{}
	for range 40 {
		c, _ := s.request(1)
		sent[c.Upstream.ID]++
	}
	is.True(sent["model-0"] < 40/4/2)
}

// Guards against an engine that was slow getting nothing for good: after it has recovered, it is
// tried again.
func TestRecoveredEngineIsTriedAgain(t *testing.T) {
	is := is.New(t)
	s := newSpeedSim(14, 4, 11*time.Microsecond, nil)
	for range 100 {
		s.request(1)
	}
	for _, n := range s.nodes {
		for range 40 {
			n.OnUpdate(s.now, sched.Update{Kind: sched.Placement, Upstream: xxhash.Sum64String("model-0"), Slowdown: 20})
		}
	}
	for range 150 {
		s.request(1)
	}
	sent := 0
	for range 160 {
		if c, _ := s.request(1); c.Upstream.ID == "model-0" {
			sent++
		}
	}
	is.True(sent > 160/4/3) // a third of its part, from 15 s on
}

// Guards against nodes that have just started, and do not know the speed of a service yet,
// telling others that an engine is faster or slower than it is.
func TestNewNodesTellNoWrongSlowdown(t *testing.T) {
	is := is.New(t)
	s := newSpeedSim(1, 1, 11*time.Microsecond, nil)
	for range 60 {
		s.request(1)
	}
	old := s.nodes[0]
	for range 12 {
		s.nodes = []*sched.Balancer{newBalancer(1), old}
		s.requests = 1 // the new node sends this and the third request
		for range 3 {
			s.request(1)
		}
	}
	c, _ := old.Pick(s.now.Add(time.Second), prompt("plan", "s", "r"))
	is.True(c.Slowdown > 0.85)
	is.True(c.Slowdown < 1.15)
}

// Guards against what happened to requests of an earlier incarnation counting for the next one.
func TestIncarnationsAreApart(t *testing.T) {
	is := is.New(t)
	b := newBalancer(1)
	q := prompt("plan", "s", "r")
	old, _ := b.Pick(start, q)
	old, _, _ = b.Started(start, q, old)
	ups := upstreams("model", 1)
	ups[0].Born = start.Add(time.Second)
	b.SetUpstreams(ups, noKVTokens)
	c, _ := b.Pick(start, q)
	b.Started(start, q, c)
	b.FirstToken(old, 10*time.Second)
	b.Ended(start, old, sched.Served)
	next, _ := b.Pick(start.Add(time.Second), q)
	is.Equal(next.InFlight, 1)
	is.Equal(next.Slowdown, 1.0)
}

// Guards against a prompt of one part whose first token has arrived counting as overdue.
func TestFirstTokenOfOnePartArrives(t *testing.T) {
	is := is.New(t)
	b := newBalancer(1)
	q := sched.Query{Service: "model", Parts: sched.Keys([]sched.Part{{ID: "own", Tokens: 100}}), Input: 100}
	c, _ := b.Pick(start, q)
	c, _, _ = b.Started(start, q, c)
	b.FirstToken(c, 50*time.Millisecond)
	next, _ := b.Pick(start.Add(3*time.Second), prompt("plan", "s", "r"))
	is.Equal(next.Wait, time.Duration(0))
}

// Guards against a switch that does nothing: without learning, estimates stay nominal and other nodes
// are told nothing.
func TestSpeedsAreNotLearnedIfSwitchedOff(t *testing.T) {
	is := is.New(t)
	opts := sched.DefaultOptions()
	opts.LearnSpeeds = false
	b := sched.New(opts, "here")
	b.SetUpstreams(upstreams("model", 60), noKVTokens)
	now := start
	for i := range 30 {
		now = now.Add(time.Second)
		q := prompt(fmt.Sprint("p-", i), fmt.Sprint("s-", i), "r")
		c, _ := b.Pick(now, q)
		nominal := 0.05 + float64(c.Uncached)/30_000
		if usual := (c.Overhead + c.Prefill).Seconds() / c.Slowdown; usual < 0.999*nominal || usual > 1.001*nominal {
			t.Fatalf("%v s in place of %v s although learning is switched off", usual, nominal)
		}
		c, u, _ := b.Started(now, q, c)
		is.Equal(u.Slowdown, 0.0)
		b.FirstToken(c, time.Second)
		b.Ended(now, c, sched.Served)
	}
}
