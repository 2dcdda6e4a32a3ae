package sched_test

import (
	"testing"
	"time"

	"dotterelgap/core/sched"

	"github.com/matryer/is"
)

// ask sends a request to whichever upstream is chosen; those that fail says what
// becomes of it. It returns the upstream.
func ask(b *sched.Balancer, now time.Time, fails func(id string) bool) (id string, n sched.Update, tell bool) {
	q := sched.Query{Service: "desk"}
	c, _ := b.Pick(now, q)
	c, _, _ = b.Started(now, q, c)
	o := sched.Served
	if fails(c.Upstream.ID) {
		o = sched.Failed
	}
	n, tell = b.Ended(now, c, o)
	return c.Upstream.ID, n, tell
}

func desks(n int) *sched.Balancer {
	b := sched.New(sched.DefaultOptions(), "here")
	b.SetUpstreams(upstreams("desk", n), noMemory)
	return b
}

// An upstream that fails all that it gets, while its own word on itself is good, is left
// out by all nodes after a few failures, not after a few of each.
func TestNodesLearnOfFailuresTogether(t *testing.T) {
	is := is.New(t)
	nodes := make([]*sched.Balancer, 16)
	for i := range nodes {
		nodes[i] = desks(4)
	}
	failed := 0
	now := start
	for i := range 400 {
		now = now.Add(5 * time.Millisecond)
		id, n, tell := ask(nodes[i%16], now, func(id string) bool { return id == "desk-2" })
		if id == "desk-2" {
			failed++
		}
		for j, other := range nodes {
			if tell && j != i%16 {
				other.OnUpdate(now, n)
			}
		}
	}
	is.True(failed <= 16) // a fourth of all without, two of each node with own eyes only
}

// An upstream that fails a part of its requests is left out for most of the time.
func TestPartlyFailingUpstreamIsLeftOut(t *testing.T) {
	is := is.New(t)
	b := desks(4)
	sent := 0
	now := start
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		id, _, _ := ask(b, now, func(id string) bool { return id == "desk-2" && i%5 < 2 })
		if id == "desk-2" {
			sent++
		}
	}
	is.True(sent < 125) // half of its even part
}

// A node whose own link is bad does not have all others leave sound upstreams out.
func TestNodeWithABadLinkIsNotHeard(t *testing.T) {
	is := is.New(t)
	bad, good := desks(10), desks(10)
	now := start
	told := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		_, n, tell := ask(bad, now, func(string) bool { return true })
		if tell {
			told++
			good.OnUpdate(now, n)
		}
	}
	is.True(told <= 8)
	used := map[string]bool{}
	for range 100 {
		id, _, _ := ask(good, now, func(string) bool { return false })
		used[id] = true
	}
	is.True(len(used) >= 6)
}

// Failures long ago don't add up.
func TestOldFailuresAreForgotten(t *testing.T) {
	is := is.New(t)
	b := desks(2)
	now := start
	for range 10 {
		now = now.Add(10 * time.Second)
		b.Ended(now, choice("desk-0"), sched.Failed)
		seen := map[string]bool{}
		for range 4 {
			c, _ := b.Pick(now, sched.Query{Service: "desk"})
			seen[c.Upstream.ID] = true
		}
		is.Equal(len(seen), 2)
	}
}
