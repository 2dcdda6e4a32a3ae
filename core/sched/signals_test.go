package sched_test

import (
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"

	"github.com/matryer/is"
)

// pickOf returns the ids of the upstreams of the service desk that n requests are sent to.
func pickOf(b *sched.Balancer, now time.Time, n int) map[string]int {
	ids := map[string]int{}
	for range n {
		c, ok := b.Pick(now, sched.Query{Service: "desk"})
		if !ok {
			ids[""]++
			continue
		}
		c, _, _ = b.Started(now, sched.Query{Service: "desk"}, c)
		b.Ended(now, c, sched.Served)
		ids[c.Upstream.ID]++
	}
	return ids
}

// Guards against requests to an upstream that said that it is leaving, though its heartbeats
// still say that it is ready, and against a new incarnation being taken for the one that left.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	is := is.New(t)
	b := deskBalancer(3)
	now := start
	left, _ := b.Pick(now, sched.Query{Service: "desk"})
	is.True(b.Leaving(left))
	is.True(!b.Leaving(left)) // said once
	id := left.Upstream.ID
	is.Equal(pickOf(b, now, 30)[id], 0)
	ups := upstreams("desk", 3)
	b.SetUpstreams(ups, noKVTokens) // a late heartbeat
	is.Equal(pickOf(b, now, 30)[id], 0)
	for i := range ups {
		if ups[i].ID == id {
			ups[i].Born = start.Add(time.Second)
		}
	}
	b.SetUpstreams(ups, noKVTokens)
	is.Equal(pickOf(b, now, 30)[id], 10)
	is.True(!b.Leaving(left)) // a response of the old incarnation says nothing about the new one
	is.Equal(pickOf(b, now, 30)[id], 10)
}

// Guards against the last upstream of a service getting requests after it said that it is
// leaving: there is then no upstream.
func TestAllUpstreamsLeave(t *testing.T) {
	is := is.New(t)
	b := deskBalancer(2)
	for range 2 {
		c, ok := b.Pick(start, sched.Query{Service: "desk"})
		is.True(ok)
		b.Leaving(c)
	}
	is.Equal(pickOf(b, start, 5), map[string]int{"": 5})
	is.Equal(b.Ready("desk"), 0)
}

// Guards against requests from a node to an upstream that asked that node for a pause, and
// against the other nodes not preferring other upstreams meanwhile.
func TestPausedUpstreamGetsNothing(t *testing.T) {
	is := is.New(t)
	a, other := deskBalancer(2), deskBalancer(2)
	now := start
	c, _ := a.Pick(now, sched.Query{Service: "desk"})
	u, send := a.Pause(now, c, 2500*time.Millisecond)
	is.True(send)
	parsed, ok := sched.ParseUpdate(u.Append(nil))
	is.True(ok)
	is.Equal(parsed, u)
	other.OnUpdate(now, parsed)
	id := c.Upstream.ID
	just := now.Add(2499 * time.Millisecond)
	is.Equal(pickOf(a, just, 20)[id], 0)
	is.Equal(pickOf(other, just, 20)[id], 0)
	_, paused := a.OpensIn(just, sched.Query{Service: "desk"})
	is.True(paused)
	for _, up := range upstreams("desk", 2) {
		if up.ID == id {
			other.SetUpstreams([]fleet.Upstream{up}, noKVTokens)
		}
	}
	is.Equal(pickOf(other, just, 5)[id], 5) // it paused the sender only
	is.Equal(pickOf(a, now.Add(2500*time.Millisecond), 20)[id], 10)
}

// Guards against a service of which all upstreams pause being asked again too early, and
// against an upstream that names an absurd pause being lost.
func TestAllUpstreamsPause(t *testing.T) {
	is := is.New(t)
	b := deskBalancer(2)
	for i := range 2 {
		c, ok := b.Pick(start, sched.Query{Service: "desk"})
		is.True(ok)
		b.Pause(start, c, time.Duration(i+1)*time.Hour)
	}
	is.Equal(pickOf(b, start.Add(time.Minute), 5), map[string]int{"": 5})
	opening, ok := b.OpensIn(start.Add(time.Minute), sched.Query{Service: "desk"})
	is.True(ok)
	is.Equal(opening, sched.Opening{In: sched.MaxPause - time.Minute, Paused: true})
	is.Equal(pickOf(b, start.Add(sched.MaxPause), 4)[""], 0)
}
