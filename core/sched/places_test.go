package sched_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

// deskQuery is a request without a prompt.
var deskQuery = sched.Query{Service: "desk"}

// deskUpstreams returns upstreams without prompts.
func deskUpstreams(n, slots int) []fleet.Upstream {
	ups := upstreams("desk", n)
	for i := range ups {
		ups[i].Slots = slots
	}
	return ups
}

func newDeskBalancer(n, slots int) *sched.Balancer {
	opts := sched.DefaultOptions()
	opts.SharePlaces = true
	b := sched.New(opts, "here")
	b.SetUpstreams(deskUpstreams(n, slots), noKVTokens)
	return b
}

// crowd tells the balancer of a load that makes the service crowded for a second.
func crowd(b *sched.Balancer, now time.Time) {
	b.OnUpdate(now, sched.Update{Kind: sched.ServiceLoad, Upstream: xxhash.Sum64String("desk"), Load: 10_000, Occupies: 20 * time.Millisecond})
}

// Guards against a node that takes the places of other nodes for free.
func TestPlacesOfOtherNodes(t *testing.T) {
	is := is.New(t)
	a, b := newDeskBalancer(2, 6), newDeskBalancer(2, 6)
	var busy string
	for range 5 {
		c, _ := a.Pick(start, deskQuery)
		if busy == "" {
			busy = c.Upstream.ID
		}
		c.Upstream.ID = busy
		_, u, _ := a.Started(start, deskQuery, c)
		b.OnUpdate(start, u)
	}
	for range 4 {
		c, _ := b.Pick(start, deskQuery)
		is.True(c.Upstream.ID != busy)
		b.Started(start, deskQuery, c)
	}
	is.Equal(b.Room(start, "desk"), sched.Room{}) // nothing bounds requests for a quiet service
	crowd(b, start)
	is.Equal(b.Room(start, "desk").Free, 16-9)
	// What other nodes sent has ended after the time that is expected of it.
	crowd(b, start.Add(time.Second))
	is.Equal(b.Room(start.Add(time.Second), "desk").Free, 16-4)
}

// Guards against updates that are lost: an upstream that rejects a request is full.
func TestPlacesAfterRejection(t *testing.T) {
	is := is.New(t)
	b := newDeskBalancer(1, 6)
	crowd(b, start)
	is.Equal(b.Room(start, "desk").Free, 8)
	c, _ := b.Pick(start, deskQuery)
	c, _, _ = b.Started(start, deskQuery, c)
	b.Ended(start, c, sched.Rejected)
	is.Equal(b.Room(start, "desk").Free, 2)
	crowd(b, start.Add(time.Second))
	is.Equal(b.Room(start.Add(time.Second), "desk").Free, 8)
}

// Guards against an upstream that gets nothing for good because its responses were slow once,
// and against one that is slow and gets as much as the others.
func TestPlacesOfSlowUpstream(t *testing.T) {
	is := is.New(t)
	b := newDeskBalancer(3, 6)
	now := start
	serve := func(slow string, requests int) (share float64) {
		slowed := 0
		for range requests {
			now = now.Add(20 * time.Millisecond)
			c, _ := b.Pick(now, deskQuery)
			c, _, _ = b.Started(now, deskQuery, c)
			took := 15 * time.Millisecond
			if c.Upstream.ID == slow {
				took = 60 * time.Millisecond
				slowed++
			}
			b.Ended(now.Add(took), c, sched.Served)
		}
		return float64(slowed) / float64(requests)
	}
	serve("", 100)
	serve("desk-1", 100)
	is.True(serve("desk-1", 500) < 0.1)
	serve("", 1000)
	counts := map[string]int{}
	for range 600 {
		now = now.Add(20 * time.Millisecond)
		c, _ := b.Pick(now, deskQuery)
		counts[c.Upstream.ID]++
		c, _, _ = b.Started(now, deskQuery, c)
		b.Ended(now.Add(15*time.Millisecond), c, sched.Served)
	}
	is.True(counts["desk-1"] > 100)
}

// Guards against upstreams of which some are full while others are idle: 29 nodes that share
// their view queue less than nodes that see their own requests only.
func TestPlacesOfManyNodes(t *testing.T) {
	is := is.New(t)
	shared, alone := queued(true), queued(false)
	t.Logf("requests that found no free place: %.4f shared, %.4f alone", shared, alone)
	is.True(shared < alone/2)
}

// queued returns the share of requests that find no free place at the upstream that one of 29
// nodes chooses for them, with 3 upstreams of 6 places that are 60% busy.
func queued(share bool) float64 {
	const nodes, ups, slots = 29, 3, 6
	const service = 15 * time.Millisecond
	r := rand.New(rand.NewPCG(3, 4))
	var balancers []*sched.Balancer
	for range nodes {
		opts := sched.DefaultOptions()
		opts.SharePlaces = share
		b := sched.New(opts, "here")
		b.SetUpstreams(deskUpstreams(ups, slots), noKVTokens)
		balancers = append(balancers, b)
	}
	type running struct {
		by  int
		c   sched.Choice
		end time.Time
	}
	var busy []running
	now, found := start, 0
	const requests = 6000
	const settled = 2000 // loads are known after 2 s
	for n := range requests {
		now = now.Add(time.Duration(r.ExpFloat64() * float64(service) / (0.6 * ups * slots)))
		var left []running
		for _, x := range busy {
			if x.end.After(now) {
				left = append(left, x)
				continue
			}
			balancers[x.by].Ended(x.end, x.c, sched.Served)
		}
		busy = left
		by := r.IntN(nodes)
		c, _ := balancers[by].Pick(now, deskQuery)
		there := 0
		for _, x := range busy {
			if x.c.Upstream.ID == c.Upstream.ID {
				there++
			}
		}
		if there >= slots && n >= settled {
			found++
		}
		c, u, send := balancers[by].Started(now, deskQuery, c)
		load, told := balancers[by].TellLoad(now, "desk")
		took := time.Duration((0.5 + r.Float64()) * float64(service))
		took = time.Duration(float64(took) * math.Max(1, float64(there+1)/slots))
		busy = append(busy, running{by: by, c: c, end: now.Add(took)})
		for i, b := range balancers {
			if send && i != by {
				b.OnUpdate(now, u)
			}
			if told && i != by {
				b.OnUpdate(now, load)
			}
		}
	}
	return float64(found) / (requests - settled)
}

// Guards against a node with a slow link that takes the upstream for slow, and the requests of the
// other nodes for ones that never end, so that it rejects what could be served.
func TestPlacesBehindSlowLink(t *testing.T) {
	is := is.New(t)
	near, far := newDeskBalancer(1, 6), newDeskBalancer(1, 6)
	now := start
	for range 400 {
		now = now.Add(5 * time.Millisecond)
		c, _ := near.Pick(now, deskQuery)
		c, u, _ := near.Started(now, deskQuery, c)
		far.OnUpdate(now, u)
		near.Ended(now.Add(15*time.Millisecond), c, sched.Served)
		c, _ = far.Pick(now, deskQuery)
		c, u, _ = far.Started(now, deskQuery, c)
		near.OnUpdate(now, u)
		far.Ended(now.Add(time.Second), c, sched.Served)
	}
	crowd(far, now)
	crowd(near, now)
	is.True(far.Room(now, "desk").Free >= 2)
	is.True(near.Room(now, "desk").Free >= 2)
	is.True(far.Room(now, "desk").Service < 60*time.Millisecond)
}
