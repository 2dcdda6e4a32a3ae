package sched_test

import (
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"

	"github.com/matryer/is"
)

// sendAll sends requests at an interval, each of which takes a time, and returns how many of them
// and how many loads were told to the other nodes.
func sendAll(b, other *sched.Balancer, now time.Time, requests int, interval, took time.Duration) (each, loads int) {
	for range requests {
		now = now.Add(interval)
		c, _ := b.Pick(now, deskQuery)
		c, u, send := b.Started(now, deskQuery, c)
		if send {
			each++
			other.OnUpdate(now, u)
		}
		if u, send := b.TellLoad(now, "desk"); send {
			loads++
			other.OnUpdate(now, u)
		}
		b.Ended(now.Add(took), c, sched.Served)
	}
	return each, loads
}

// Guards against datagrams that cost more than they gain: while a service is not crowded, a node
// tells its load once a second, and nothing of each request.
func TestLoadsOfQuietService(t *testing.T) {
	is := is.New(t)
	each, loads := sendAll(newDeskBalancer(2, 6), newDeskBalancer(2, 6), start, 500, 20*time.Millisecond, 15*time.Millisecond)
	is.Equal(each, 0)
	is.True(loads >= 8)
	is.True(loads <= 10)
}

// Guards against nodes that tell nothing of their requests although these fill the service
// together: what other nodes tell of their loads counts.
func TestLoadsOfCrowdedService(t *testing.T) {
	is := is.New(t)
	b, other := newDeskBalancer(2, 6), newDeskBalancer(2, 6)
	now := start.Add(1200 * time.Millisecond)
	for nodes, want := range map[int]int{3: 0, 7: 1} { // each has about one request in flight, of 12 places
		now = now.Add(10 * time.Second)
		for range nodes {
			_, loads := sendAll(newDeskBalancer(2, 6), b, now, 60, 20*time.Millisecond, 19*time.Millisecond)
			is.Equal(loads, 1)
		}
		now = now.Add(1200 * time.Millisecond)
		each, _ := sendAll(b, other, now, 1, time.Millisecond, 0)
		is.Equal(each, want)
	}
	each, _ := sendAll(b, other, now.Add(3*time.Second), 1, time.Millisecond, 0)
	is.Equal(each, 0) // loads that are not told again end
}

// Guards against a service that counts as quiet although its upstreams reject requests, and
// against a load that stays after the upstream of a request is gone.
func TestLoadAfterRejection(t *testing.T) {
	is := is.New(t)
	b := newDeskBalancer(2, 6)
	c, _ := b.Pick(start, deskQuery)
	c, _, _ = b.Started(start, deskQuery, c)
	b.Ended(start, c, sched.Rejected)
	each, _ := sendAll(b, newDeskBalancer(2, 6), start, 1, time.Millisecond, 0)
	is.Equal(each, 1)
	now := start.Add(5 * time.Second)
	var sent []sched.Choice
	for range 6 {
		c, _ = b.Pick(now, deskQuery)
		c, _, _ = b.Started(now, deskQuery, c)
		sent = append(sent, c)
	}
	b.SetUpstreams([]fleet.Upstream{{ID: "new", Service: "desk", Slots: 6}}, noKVTokens)
	is.Equal(b.Room(now, "desk").Places, 6) // as many are in flight as there are places
	for _, c := range sent {
		b.Ended(now, c, sched.Served)
	}
	is.Equal(b.Room(now, "desk"), sched.Room{})
}
