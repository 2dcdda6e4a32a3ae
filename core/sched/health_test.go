package sched_test

import (
	"testing"
	"time"

	"dotterelgap/core/sched"

	"github.com/matryer/is"
)

// runRequest sends a request to the upstream that b picks and ends it: with a failure
// if fails returns true for that upstream, else with success. It returns the id of the
// upstream and the update for the other nodes.
func runRequest(b *sched.Balancer, now time.Time, fails func(id string) bool) (id string, u sched.Update, send bool) {
	q := sched.Query{Service: "desk"}
	c, _ := b.Pick(now, q)
	c, _, _ = b.Started(now, q, c)
	o := sched.Served
	if fails(c.Upstream.ID) {
		o = sched.Failed
	}
	u, send = b.Ended(now, c, o)
	return c.Upstream.ID, u, send
}

// deskBalancer returns a balancer with n upstreams of the service desk.
func deskBalancer(n int) *sched.Balancer {
	b := sched.New(sched.DefaultOptions(), "here")
	b.SetUpstreams(upstreams("desk", n), noKVTokens)
	return b
}

// Guards against each node having to see an upstream's failures by itself: if an
// upstream reports itself as ready but fails every request, all nodes eject it after a
// few failures in total.
func TestNodesShareFailures(t *testing.T) {
	is := is.New(t)
	nodes := make([]*sched.Balancer, 16)
	for i := range nodes {
		nodes[i] = deskBalancer(4)
	}
	failed := 0
	now := start
	for i := range 400 {
		now = now.Add(5 * time.Millisecond)
		id, u, send := runRequest(nodes[i%16], now, func(id string) bool { return id == "desk-2" })
		if id == "desk-2" {
			failed++
		}
		for j, other := range nodes {
			if send && j != i%16 {
				other.OnUpdate(now, u)
			}
		}
	}
	is.True(failed <= 16) // without ejection a quarter of all requests, without updates two for each node
}

// Guards against successes in between hiding the failures of an upstream that fails
// only a part of its requests: it is ejected for most of the time.
func TestPartlyFailingUpstreamIsEjected(t *testing.T) {
	is := is.New(t)
	b := deskBalancer(4)
	sent := 0
	now := start
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		id, _, _ := runRequest(b, now, func(id string) bool { return id == "desk-2" && i%5 < 2 })
		if id == "desk-2" {
			sent++
		}
	}
	is.True(sent < 125) // half of an equal share
}

// Guards against a node with a faulty link making all other nodes eject healthy
// upstreams: a node whose requests mostly fail stops reporting failures.
func TestNodeWithFaultyLinkDoesNotReport(t *testing.T) {
	is := is.New(t)
	bad, good := deskBalancer(10), deskBalancer(10)
	now := start
	reported := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		_, u, send := runRequest(bad, now, func(string) bool { return true })
		if send {
			reported++
			good.OnUpdate(now, u)
		}
	}
	is.True(reported <= 8)
	used := map[string]bool{}
	for range 100 {
		id, _, _ := runRequest(good, now, func(string) bool { return false })
		used[id] = true
	}
	is.True(len(used) >= 6)
}

// Guards against failures that are far apart adding up to an ejection.
func TestOldFailuresExpire(t *testing.T) {
	is := is.New(t)
	b := deskBalancer(2)
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
