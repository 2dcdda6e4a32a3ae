package sched_test

import (
	"fmt"
	"math"
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

func choice(id string) sched.Choice {
	return sched.Choice{Upstream: fleet.Upstream{ID: id, Born: start}, Rank: -1}
}

func noKVTokens(string) sched.Engine { return sched.Engine{} }

func newBalancer(n int) *sched.Balancer {
	b := sched.New(sched.DefaultOptions(), "here")
	b.SetUpstreams(upstreams("model", n), noKVTokens)
	return b
}

// prompt returns a query whose prompt has three parts: one that all requests share, one
// that its session shares and one of its own.
func prompt(shared, session, own string) sched.Query {
	parts := sched.Keys([]sched.Part{{ID: shared, Tokens: 2500}, {ID: session, Tokens: 3800}, {ID: own, Tokens: 2900}})
	return sched.Query{Service: "model", Parts: parts, Input: 9200, Output: 70}
}

// Guards against a session losing its cached prompt when its next request arrives at
// another node: that request goes to the same engine.
func TestSessionStaysOnEngine(t *testing.T) {
	is := is.New(t)
	a, b := newBalancer(18), newBalancer(18)
	q := prompt("plan", "session-1", "r1")
	first, ok := a.Pick(start, q)
	is.True(ok)
	_, u, send := a.Started(start, q, first)
	is.True(send)
	b.OnUpdate(start, u)
	later := start.Add(time.Second)
	again, _ := b.Pick(later, prompt("plan", "session-1", "r2"))
	is.Equal(again.Upstream.ID, first.Upstream.ID)
	is.Equal(again.Uncached, 2900)
}

// Guards against a new session being split over engines when two nodes place it
// concurrently.
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

// Guards against a burst on one session overloading its home: requests go to other
// engines once waiting costs more than prefilling the prompt there.
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

// Guards against many nodes filling one engine: each takes into account the prompts
// that the others placed.
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
		_, u, _ := at.Started(start, q, c)
		used[c.Upstream.ID]++
		for _, other := range nodes {
			if other != at {
				other.OnUpdate(start, u)
			}
		}
	}
	for id, n := range used {
		if n > 9 {
			t.Fatalf("%s has %d of 126 requests over 18 engines", id, n)
		}
	}
	is.Equal(len(used), 18)
}

// An engine that is slower than estimated receives fewer requests.
func TestSlowEngineGetsFewerRequests(t *testing.T) {
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

// An upstream that fails twice in a row is ejected for a while and then tried again.
// No more than a share of a service is ejected at the same time.
func TestFailuresEject(t *testing.T) {
	is := is.New(t)
	b := sched.New(sched.DefaultOptions(), "here")
	b.SetUpstreams(upstreams("desk", 3), noKVTokens)
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
	is.Equal(len(seen), 2) // only one of the two failing upstreams is ejected
	is.True(!seen["desk-0"])
	c, ok := b.Pick(start, sched.Query{Service: "desk", Exclude: []string{"desk-1", "desk-2"}})
	is.True(ok) // an ejected upstream is better than none
	is.Equal(c.Upstream.ID, "desk-0")
	seen = map[string]bool{}
	for range 20 {
		c, _ := b.Pick(start.Add(3*time.Second), q)
		seen[c.Upstream.ID] = true
	}
	is.Equal(len(seen), 3)
}

// Draining upstreams receive no requests, even if no other upstream is left.
func TestDrainingGetsNoRequests(t *testing.T) {
	is := is.New(t)
	ups := upstreams("desk", 2)
	ups[0].State = fleet.UpstreamDraining
	b := sched.New(sched.DefaultOptions(), "here")
	b.SetUpstreams(ups, noKVTokens)
	for range 10 {
		c, _ := b.Pick(start, sched.Query{Service: "desk"})
		is.Equal(c.Upstream.ID, "desk-1")
	}
	_, ok := b.Pick(start, sched.Query{Service: "desk", Exclude: []string{"desk-1"}})
	is.True(!ok)
}

func TestUpdateEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := drawUpdate(t)
		b := u.Append(nil)
		got, ok := sched.ParseUpdate(b)
		if !ok || fmt.Sprint(got) != fmt.Sprint(u) {
			t.Fatalf("got %+v, want %+v", got, u)
		}
		if cut := rapid.IntRange(0, len(b)-1).Draw(t, "cut"); cut < len(b) {
			if _, ok := sched.ParseUpdate(b[:cut]); ok {
				t.Fatalf("an update of %d bytes was decoded from its first %d bytes", len(b), cut)
			}
		}
	})
}

func drawUpdate(t *rapid.T) sched.Update {
	kinds := []sched.UpdateKind{sched.Placement, sched.Failure, sched.NamedLimit, sched.Paused, sched.Occupied, sched.ServiceLoad, sched.Slowed}
	u := sched.Update{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Upstream: rapid.Uint64().Draw(t, "upstream")}
	switch u.Kind {
	case sched.Placement:
		u.Uncached = rapid.IntRange(0, 1<<20).Draw(t, "uncached")
		if rapid.Bool().Draw(t, "observed") {
			u.Slowdown = math.Exp2(float64(rapid.IntRange(-32, 64).Draw(t, "slowdown")) / 16)
		}
		for range rapid.IntRange(0, 5).Draw(t, "parts") {
			u.Parts = append(u.Parts, sched.PartKey{Key: rapid.Uint64().Draw(t, "key"), Tokens: rapid.IntRange(0, 1<<20).Draw(t, "tokens")})
		}
	case sched.Paused:
		u.Pause = time.Duration(rapid.IntRange(0, int(sched.MaxPause.Milliseconds())).Draw(t, "pause")) * time.Millisecond
	case sched.ServiceLoad:
		u.Load = float64(rapid.IntRange(0, 10_000).Draw(t, "load")) * 0.01
		u.Occupies = time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "occupies")) * 100 * time.Microsecond
	case sched.Occupied:
		u.Occupies = time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "occupies")) * 100 * time.Microsecond
	case sched.NamedLimit:
		u.Limit.Named = rapid.Bool().Draw(t, "named")
		if u.Limit.Named {
			u.Limit.PerSecond = float64(rapid.IntRange(0, 1000).Draw(t, "limit"))
		}
	}
	return u
}

func FuzzParseUpdate(f *testing.F) {
	f.Add(sched.Update{Kind: sched.Placement, Upstream: 7, Uncached: 900, Parts: []sched.PartKey{{Key: 1, Tokens: 2}}}.Append(nil))
	f.Fuzz(func(_ *testing.T, b []byte) { sched.ParseUpdate(b) })
}

// Guards against a window, wherever it begins, in which the budget allows more retries
// than the share of the requests in and before it plus the burst.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		b := sched.NewRetryBudget(0.2, 5, window, start)
		now := start
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
				continue
			}
			if b.Take(now) {
				retries = append(retries, now)
			}
		}
		for _, from := range retries {
			n := within(retries, from, from.Add(window))
			// The requests of this window and of the one before it count.
			allowed := 0.2*float64(within(requests, from.Add(-window), from.Add(window))) + 5
			if float64(n) > allowed {
				t.Fatalf("%d retries in the window from %s, want at most %.1f", n, from.Sub(start), allowed)
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

// Guards against a session waiting for an engine whose first token is overdue. The engine
// has load from nodes across a partition, which this node doesn't know of, or is not
// responding: the session goes elsewhere until the token arrives.
func TestOverdueEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	b := newBalancer(3)
	q := prompt("plan", "session-1", "r1")
	home, _ := b.Pick(start, q)
	home, _, _ = b.Started(start, q, home)
	soon := start.Add(300 * time.Millisecond)
	c, _ := b.Pick(soon, q)
	is.Equal(c.Upstream.ID, home.Upstream.ID) // not overdue yet
	late := start.Add(2 * time.Second)
	c, _ = b.Pick(late, q)
	is.True(c.Upstream.ID != home.Upstream.ID)
	b.FirstToken(home, 2*time.Second)
	b.Ended(late, home, sched.Served)
	other, _, _ := b.Started(late, q, home)
	b.Ended(late, other, sched.Canceled) // no first token is pending any more
	c, _ = b.Pick(late.Add(time.Second), q)
	is.Equal(c.Upstream.ID, home.Upstream.ID)
}
