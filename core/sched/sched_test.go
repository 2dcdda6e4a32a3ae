package sched_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func upstreams(service string, n int) []fleet.Upstream {
	var out []fleet.Upstream
	for i := range n {
		out = append(out, fleet.Upstream{
			ID: fmt.Sprint(service, "-", i), Service: service, Born: start,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 8000),
		})
	}
	return out
}

func choice(id string) sched.Choice { return sched.Choice{Upstream: fleet.Upstream{ID: id}, Rank: -1} }

func noMemory(string) int { return 0 }

func newBalancer(n int) *sched.Balancer {
	b := sched.New(sched.DefaultOptions(), "here")
	b.SetUpstreams(upstreams("model", n), noMemory)
	return b
}

// prompt is one with a part that all share, one of its session and one of its own.
func prompt(shared, session, own string) sched.Query {
	parts := sched.Keys([]sched.Part{{ID: shared, Tokens: 2500}, {ID: session, Tokens: 3800}, {ID: own, Tokens: 2900}})
	return sched.Query{Service: "model", Parts: parts, Input: 9200, Output: 70}
}

// Requests of a session go to the engine that keeps its prompt, from whichever
// node they come.
func TestSessionStays(t *testing.T) {
	is := is.New(t)
	a, b := newBalancer(18), newBalancer(18)
	q := prompt("plan", "session-1", "r1")
	first, ok := a.Pick(start, q)
	is.True(ok)
	_, n, tell := a.Started(start, q, first)
	is.True(tell)
	b.OnUpdate(start, n)
	later := start.Add(time.Second)
	again, _ := b.Pick(later, prompt("plan", "session-1", "r2"))
	is.Equal(again.Upstream.ID, first.Upstream.ID)
	is.Equal(again.Uncached, 2900)
}

// A new session comes to one engine even where two nodes place it at once.
func TestNodesAgreeOnAHome(t *testing.T) {
	is := is.New(t)
	same := 0
	for i := range 100 {
		q := prompt(fmt.Sprint("plan-", i), fmt.Sprint("session-", i), "r")
		a, _ := newBalancer(18).Pick(start, q)
		b, _ := newBalancer(18).Pick(start, q)
		if a.Upstream.ID == b.Upstream.ID {
			same++
		}
	}
	is.Equal(same, 100)
}

// A burst on one session leaves its home once waiting there costs more than
// reading the prompt elsewhere.
func TestBurstSpreads(t *testing.T) {
	is := is.New(t)
	b := newBalancer(4)
	used := map[string]int{}
	for i := range 40 {
		q := prompt("plan", "session-1", fmt.Sprint("r", i))
		c, _ := b.Pick(start, q)
		b.Started(start, q, c)
		used[c.Upstream.ID]++
	}
	is.Equal(len(used), 4)
	for _, n := range used {
		is.True(n >= 4)
	}
}

// Work that other nodes sent is seen, so that many nodes don't fill one engine.
func TestUpdatesBalanceManyNodes(t *testing.T) {
	is := is.New(t)
	var nodes []*sched.Balancer
	for range 7 {
		nodes = append(nodes, newBalancer(18))
	}
	used := map[string]int{}
	for i := range 126 { // 7 for each engine
		at := nodes[i%7]
		q := prompt(fmt.Sprint("p", i), fmt.Sprint("s", i), "r")
		c, _ := at.Pick(start, q)
		_, n, _ := at.Started(start, q, c)
		used[c.Upstream.ID]++
		for _, other := range nodes {
			if other != at {
				other.OnUpdate(start, n)
			}
		}
	}
	for id, n := range used {
		if n > 9 {
			t.Fatalf("%s has %d requests of 126 over 18", id, n)
		}
	}
	is.Equal(len(used), 18)
}

// An engine that is slower than believed gets less.
func TestSlowEngineGetsLess(t *testing.T) {
	is := is.New(t)
	b := newBalancer(3)
	used := map[string]int{}
	now := start
	for i := range 300 {
		q := prompt(fmt.Sprint("p", i), fmt.Sprint("s", i), "r")
		c, _ := b.Pick(now, q)
		c, _, _ = b.Started(now, q, c)
		used[c.Upstream.ID]++
		took := 50*time.Millisecond + c.Wait + 300*time.Millisecond
		if c.Upstream.ID == "model-1" {
			took *= 5
		}
		b.FirstToken(c, took)
		b.Ended(now, c, sched.Served)
		now = now.Add(100 * time.Millisecond)
	}
	is.True(used["model-1"]*3 < used["model-0"])
}

// An upstream that fails twice in a row is left out for a while, and then tried
// again; but never more than a share of a service at once.
func TestFailuresLeaveOut(t *testing.T) {
	is := is.New(t)
	b := sched.New(sched.DefaultOptions(), "here")
	b.SetUpstreams(upstreams("desk", 3), noMemory)
	q := sched.Query{Service: "desk"}
	for range 2 {
		b.Ended(start, choice("desk-0"), sched.Failed)
		b.Ended(start, choice("desk-1"), sched.Failed)
	}
	seen := map[string]bool{}
	for range 20 {
		c, _ := b.Pick(start, q)
		seen[c.Upstream.ID] = true
	}
	is.Equal(len(seen), 2) // one of the two that fail
	is.True(!seen["desk-0"])
	c, ok := b.Pick(start, sched.Query{Service: "desk", Exclude: []string{"desk-1", "desk-2"}})
	is.True(ok) // better than none
	is.Equal(c.Upstream.ID, "desk-0")
	seen = map[string]bool{}
	for range 20 {
		c, _ := b.Pick(start.Add(3*time.Second), q)
		seen[c.Upstream.ID] = true
	}
	is.Equal(len(seen), 3)
}

// Draining upstreams get nothing; one that has started again is unknown.
func TestDrainingGetsNothing(t *testing.T) {
	is := is.New(t)
	ups := upstreams("desk", 2)
	ups[0].State = fleet.UpstreamDraining
	b := sched.New(sched.DefaultOptions(), "here")
	b.SetUpstreams(ups, noMemory)
	for range 10 {
		c, _ := b.Pick(start, sched.Query{Service: "desk"})
		is.Equal(c.Upstream.ID, "desk-1")
	}
	_, ok := b.Pick(start, sched.Query{Service: "desk", Exclude: []string{"desk-1"}})
	is.True(!ok)
}

func TestUpdateEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := sched.Update{Upstream: rapid.Uint64().Draw(t, "upstream"), Failed: rapid.Bool().Draw(t, "failed")}
		parts := rapid.IntRange(0, 5).Draw(t, "parts")
		if n.Failed {
			parts = 0
		} else {
			n.Uncached = rapid.IntRange(0, 1<<20).Draw(t, "uncached")
		}
		for range parts {
			n.Parts = append(n.Parts, sched.PartKey{Key: rapid.Uint64().Draw(t, "key"), Tokens: rapid.IntRange(0, 1<<20).Draw(t, "tokens")})
		}
		b := n.Append(nil)
		got, ok := sched.ParseUpdate(b)
		if !ok || got.Upstream != n.Upstream || got.Failed != n.Failed || got.Uncached != n.Uncached || len(got.Parts) != len(n.Parts) {
			t.Fatalf("got %+v, want %+v", got, n)
		}
		if cut := rapid.IntRange(0, len(b)-1).Draw(t, "cut"); cut < len(b) {
			if _, ok := sched.ParseUpdate(b[:cut]); ok {
				t.Fatalf("a notice of %d bytes was read from %d", len(b), cut)
			}
		}
	})
}

func FuzzParseUpdate(f *testing.F) {
	f.Add(sched.Update{Upstream: 7, Uncached: 900, Parts: []sched.PartKey{{Key: 1, Tokens: 2}}}.Append(nil))
	f.Fuzz(func(_ *testing.T, b []byte) { sched.ParseUpdate(b) })
}

// TestRetryBudget checks that in no window, wherever it begins, more repeats are
// taken than the share of the requests near it and the burst allow.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		b := sched.NewRetryBudget(0.2, 5, window, start)
		now := start
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
				continue
			}
			if b.Take(now) {
				repeats = append(repeats, now)
			}
		}
		for _, from := range repeats {
			n := within(repeats, from, from.Add(window))
			// Requests count in the window and in the one before it.
			allowed := 0.2*float64(within(requests, from.Add(-window), from.Add(window))) + 5
			if float64(n) > allowed {
				t.Fatalf("%d repeats from %s on, %.1f are allowed", n, from.Sub(start), allowed)
			}
		}
	})
}

func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// An engine that does not give a first token when it is due is busy with what this
// node does not know of, or silent: a session leaves it until the token comes.
func TestOverdueEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	b := newBalancer(3)
	q := prompt("plan", "session-1", "r1")
	home, _ := b.Pick(start, q)
	home, _, _ = b.Started(start, q, home)
	soon := start.Add(300 * time.Millisecond)
	c, _ := b.Pick(soon, q)
	is.Equal(c.Upstream.ID, home.Upstream.ID) // not due yet
	late := start.Add(2 * time.Second)
	c, _ = b.Pick(late, q)
	is.True(c.Upstream.ID != home.Upstream.ID)
	b.FirstToken(home, 2*time.Second)
	b.Ended(late, home, sched.Served)
	other, _, _ := b.Started(late, q, home)
	b.Ended(late, other, sched.Canceled) // nothing is due any more
	c, _ = b.Pick(late.Add(time.Second), q)
	is.Equal(c.Upstream.ID, home.Upstream.ID)
}
