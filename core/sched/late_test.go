package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dotterelgap/core/sched"

	"github.com/matryer/is"
)

// place sends a request to the engine that b picks.
func place(b *sched.Balancer, now time.Time, q sched.Query) sched.Choice {
	c, _ := b.Pick(now, q)
	c, _, _ = b.Started(now, q, c)
	return c
}

// Guards against a request waiting so long at the engine that has its session cached that it
// is late, while others are idle: the tokens are then read again.
func TestBusyHomeIsLeftBeforeTheRequestIsLate(t *testing.T) {
	is := is.New(t)
	b := newBalancer(8)
	now := start
	q := prompt("shared", "session", "r-0")
	q.Objective = 800 * time.Millisecond
	first := place(b, now, q)
	home := first.Upstream.ID
	now = now.Add(time.Second)
	b.FirstToken(first, 50*time.Millisecond+first.Prefill)
	elsewhere := false
	for i := range 8 {
		q := prompt("shared", "session", fmt.Sprint("r-", i+1))
		q.Objective = 800 * time.Millisecond
		c := place(b, now, q)
		is.True(50*time.Millisecond+c.Wait+c.Prefill < 600*time.Millisecond)
		elsewhere = elsewhere || c.Upstream.ID != home
		if i == 0 {
			is.Equal(c.Upstream.ID, home) // its cache is used while it is not busy
		}
	}
	is.True(elsewhere)
}

// Guards against all homes of a popular session being overloaded in a service with so many
// engines that not all of them are homes, while the others are idle.
func TestBusyHomesOfALargeService(t *testing.T) {
	is := is.New(t)
	b := newBalancer(180)
	now := start
	used := map[string]bool{}
	for i := range 150 {
		q := prompt("shared", "popular", fmt.Sprint("r-", i))
		q.Objective = 800 * time.Millisecond
		c := place(b, now, q)
		used[c.Upstream.ID] = true
		is.True(c.Wait+c.Prefill < 600*time.Millisecond)
	}
	is.True(len(used) > 16)
}
