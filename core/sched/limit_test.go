package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelgap/core/sched"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against all nodes together sending an upstream more than the limit that it named,
// while nodes join late, restart and updates are lost, and against sending it far less.
func TestLimitHoldsForAllNodesTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lossy := rapid.Bool().Draw(t, "lossy")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s := newLimitSim(rapid.IntRange(1, 12).Draw(t, "nodes"), func() bool { return lossy && rnd.Float64() < 0.05 })
		limit := rapid.Float64Range(0.5, 12).Draw(t, "limit")
		s.name(limit, 4)
		begin := s.now
		for range rapid.IntRange(0, 4).Draw(t, "disruptions") {
			s.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*time.Millisecond, 8*time.Millisecond)
			if rapid.Bool().Draw(t, "join") {
				s.join()
			} else {
				s.restart(rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node"))
			}
		}
		s.run(8*time.Second, 8*time.Millisecond)
		for id := range s.limits {
			got := most(s.arrivals[id], begin.Add(3*time.Second))
			if allowed := int(4*limit*1.5) + 5; got > allowed {
				t.Fatalf("%s got %d requests in 4 s, allowed are %d", id, got, allowed)
			}
			if got := most(s.all[id], begin.Add(3*time.Second)); got < int(4*limit*0.7) {
				t.Fatalf("%s got only %d requests in 4 s with the limit %.1f", id, got, limit)
			}
		}
	})
}

// Guards against both sides of a partition using the whole limit.
func TestLimitIsSharedInAPartition(t *testing.T) {
	is := is.New(t)
	s := newLimitSim(8, func() bool { return false })
	s.name(5, limitSimUpstreams)
	s.run(5*time.Second, 10*time.Millisecond)
	for i := range s.nodes {
		s.partition[i] = i % 2
		s.nodes[i].SetShare(0.5)
	}
	begin := s.now
	s.run(12*time.Second, 10*time.Millisecond)
	for id := range s.limits {
		is.True(most(s.arrivals[id], begin.Add(4*time.Second)) <= 35) // the users' bound
	}
}

// Guards against short prompts using up the requests that limited engines accept, so that
// long prompts overload the others: limited engines get the long ones.
func TestLimitedEnginesServeLongPrompts(t *testing.T) {
	is := is.New(t)
	s := newLimitSim(3, func() bool { return false })
	s.name(2, 4)
	tokens, sent := map[bool]int{}, map[bool]int{}
	for i := range 1500 {
		s.now = s.now.Add(40 * time.Millisecond)
		input := 700
		if i%3 == 0 {
			input = 9200
		}
		s.prompt = sched.Query{Service: "model", Input: input, Parts: sched.Keys([]sched.Part{
			{ID: fmt.Sprint("session-", i), Tokens: input / 2}, {ID: fmt.Sprint("r-", i), Tokens: input / 2},
		})}
		id, ok := s.request(i % 3)
		is.True(ok)
		if i > 500 {
			limited := s.limits[id].Named
			tokens[limited] += input
			sent[limited]++
		}
	}
	is.True(tokens[true]/sent[true] > tokens[false]/sent[false]) // the mean length of their prompts
}

// Guards against a node that joins late sending an upstream more than its limit: the others
// repeat it.
func TestLateNodeLearnsTheLimit(t *testing.T) {
	is := is.New(t)
	s := newLimitSim(2, func() bool { return false })
	s.name(1, limitSimUpstreams)
	s.run(5*time.Second, 20*time.Millisecond)
	s.join()
	for range 200 { // only the first two nodes get requests
		s.now = s.now.Add(20 * time.Millisecond)
		s.request(s.requests % 2)
	}
	sent := 0
	for range 20 {
		if _, ok := s.request(2); ok {
			sent++
		}
	}
	is.True(sent <= 2*limitSimUpstreams) // one burst
}

// Guards against requests waiting at the upstreams without a limit for longer than they can
// wait, where they could be rejected at once.
func TestOverloadBesideLimitsIsRejected(t *testing.T) {
	is := is.New(t)
	s := newLimitSim(1, func() bool { return false })
	s.name(1, limitSimUpstreams-1)
	rejected := 0
	for i := range 2000 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.prompt = prompt("plan", fmt.Sprint("session-", i), fmt.Sprint("r-", i))
		s.prompt.Objective = 800 * time.Millisecond
		if _, ok := s.request(0); !ok {
			rejected++
		}
	}
	free := fmt.Sprint("model-", limitSimUpstreams-1)
	is.True(len(s.all[free]) <= 20*5) // an engine prefills about three of these prompts per second
	is.True(rejected >= 1000)
}

// Guards against requests being sent to an upstream beyond its limit when all upstreams of
// the service are limited, and against not using it once it names no limit.
func TestAllUpstreamsLimited(t *testing.T) {
	is := is.New(t)
	s := newLimitSim(1, func() bool { return false })
	s.name(1, limitSimUpstreams)
	s.run(4*time.Second, 10*time.Millisecond)
	is.True(s.run(4*time.Second, 10*time.Millisecond) >= 400-limitSimUpstreams*11) // the users' bound
	opening, ok := s.nodes[0].OpensIn(s.now, sched.Query{Service: "model"})
	is.True(ok)
	is.True(opening.In > 0 && opening.In <= 5*time.Second)
	is.True(!opening.Paused)
	clear(s.limits)
	s.run(opening.In+4*time.Second, 10*time.Millisecond)
	is.Equal(s.run(time.Second, 10*time.Millisecond), 0)
	_, limited := s.nodes[0].OpensIn(s.now, sched.Query{Service: "model"})
	is.True(!limited)
}

// Guards against an upstream that names the limit 0 never being asked again, and against
// it being asked often.
func TestLimitOfZeroIsProbed(t *testing.T) {
	is := is.New(t)
	s := newLimitSim(1, func() bool { return false })
	s.name(0, limitSimUpstreams)
	s.run(4*time.Second, 100*time.Millisecond)
	begin := s.now
	s.run(40*time.Second, 100*time.Millisecond)
	for id := range s.limits {
		is.True(len(s.arrivals[id]) >= 4)
		is.True(most(s.arrivals[id], begin) <= 5) // the users' bound
	}
}

// Guards against a plain service, whose requests have no prompts, exceeding its limit.
func TestLimitOfPlainService(t *testing.T) {
	is := is.New(t)
	a, b := deskBalancer(2), deskBalancer(2)
	q := sched.Query{Service: "desk"}
	limit := sched.RateLimit{Named: true, PerSecond: 2}
	sent := 0
	now := start
	for range 800 {
		now = now.Add(10 * time.Millisecond)
		c, ok := a.Pick(now, q)
		if !ok {
			t.Fatal("the upstream without a limit is not used")
		}
		c, u, send := a.Started(now, q, c)
		if send {
			b.OnUpdate(now, u)
		}
		if c.Upstream.ID == "desk-1" {
			if u, send := a.Limit(now, c, limit); send {
				b.OnUpdate(now, u)
			}
			sent++
		}
		a.Ended(now, c, sched.Served)
		a, b = b, a
	}
	is.True(sent <= 2*(4*2*3/2+5)) // the users' bound, for two spans of 4 s
	is.True(sent >= 2*4*2*7/10)
}
