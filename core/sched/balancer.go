package sched

import (
	"cmp"
	"slices"
	"time"

	"dotterelgap/core/fleet"

	"github.com/cespare/xxhash/v2"
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Served: the upstream gave an answer of its own.
	Served Outcome = iota
	// Rejected: the upstream surely did not run the request.
	Rejected
	// Failed: the upstream could not be reached, broke off or failed.
	Failed
	// Canceled: the caller left or its time was up.
	Canceled
)

// String names an outcome for logs and metrics.
func (o Outcome) String() string {
	return [...]string{"served", "rejected", "failed", "canceled"}[o]
}

// Choice is a chosen upstream, with what decided on it.
type Choice struct {
	Upstream fleet.Upstream
	// InFlight are this node's requests at the upstream.
	InFlight int
	// Usable is the number of upstreams to choose from.
	Usable int
	// Rank is the upstream's place in the order of the request's homes, from 0 on;
	// -1 where the request has none.
	Rank int
}

// Log adds the inputs of the decision to a log line.
func (c Choice) Log(addInt func(string, int), _ func(string, time.Duration)) {
	addInt("in_flight", c.InFlight)
	addInt("usable", c.Usable)
	addInt("rank", c.Rank)
}

// Options tune a Balancer.
type Options struct {
	// LoadBound is how far above the mean load a request's home may be before
	// the request goes elsewhere.
	LoadBound float64
	// LoadSlack is the number of requests that is added to that bound.
	LoadSlack float64
	// EjectAfter is the number of failures in a row that leave an upstream out.
	EjectAfter int
	// EjectTime is how long it is left out the first time.
	EjectTime time.Duration
	// EjectShare bounds the part of a service that is left out at once.
	EjectShare float64
}

// DefaultOptions returns the options that nodes run with.
func DefaultOptions() Options {
	return Options{LoadBound: 1.25, LoadSlack: 2, EjectAfter: 2, EjectTime: time.Second, EjectShare: 0.4}
}

// target is what a node knows of one upstream.
type target struct {
	up       fleet.Upstream
	inFlight int
	failures int
	ejected  int
	// outUntil is when an upstream that was left out may be tried again.
	outUntil time.Time
	hash     uint64
}

// Balancer is one node's view of the upstreams.
type Balancer struct {
	opts     Options
	place    fleet.Place
	targets  map[string]*target
	services map[string][]*target
	turn     uint64
}

// New returns a balancer without upstreams for a node in a place.
func New(opts Options, place fleet.Place) *Balancer {
	return &Balancer{opts: opts, place: place, targets: map[string]*target{}, services: map[string][]*target{}}
}

// SetUpstreams takes in the upstreams that may live. What is known of those that
// stay is kept; one that has started again counts as new.
func (b *Balancer) SetUpstreams(ups []fleet.Upstream) {
	next := make(map[string]*target, len(ups))
	b.services = map[string][]*target{}
	for _, u := range ups {
		t, ok := b.targets[u.ID]
		if !ok || !t.up.Born.Equal(u.Born) || t.up.Addr != u.Addr {
			t = &target{hash: xxhash.Sum64String(u.ID)}
		}
		t.up = u
		next[u.ID] = t
		if u.State == fleet.UpstreamReady {
			b.services[u.Service] = append(b.services[u.Service], t)
		}
	}
	b.targets = next
}

// Ready counts the upstreams of a service that take work.
func (b *Balancer) Ready(service string) int { return len(b.services[service]) }

// Pick chooses an upstream.
func (b *Balancer) Pick(now time.Time, q Query) (Choice, bool) {
	all := b.usable(now, q)
	if len(all) == 0 {
		return Choice{}, false
	}
	c := Choice{Usable: len(all), Rank: -1}
	var t *target
	if key, ok := q.affinity(); ok {
		t, c.Rank = b.home(key, all)
	} else {
		t = b.leastLoaded(all)
	}
	c.Upstream, c.InFlight = t.up, t.inFlight
	return c, true
}

// usable lists the upstreams that may be tried: those that are left out only if
// there is no other.
func (b *Balancer) usable(now time.Time, q Query) []*target {
	var in, out []*target
	for _, t := range b.services[q.Service] {
		switch {
		case slices.Contains(q.Exclude, t.up.ID):
		case now.Before(t.outUntil):
			out = append(out, t)
		default:
			in = append(in, t)
		}
	}
	if len(in) == 0 {
		return out
	}
	return in
}

// home is the first upstream in the key's rendezvous order that is not loaded
// far above the mean.
func (b *Balancer) home(key uint64, all []*target) (*target, int) {
	type ranked struct {
		t      *target
		weight uint64
	}
	order := make([]ranked, 0, len(all))
	total := 0
	for _, t := range all {
		total += t.inFlight
		order = append(order, ranked{t, mix(key ^ t.hash)})
	}
	slices.SortFunc(order, func(x, y ranked) int { return cmp.Compare(y.weight, x.weight) })
	bound := b.opts.LoadBound*float64(total)/float64(len(all)) + b.opts.LoadSlack
	for i, r := range order {
		if float64(r.t.inFlight) <= bound {
			return r.t, i
		}
	}
	return order[0].t, 0
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// leastLoaded takes the upstream with the fewest requests, of equal ones the
// next in turn.
func (b *Balancer) leastLoaded(all []*target) *target {
	b.turn++
	start := int(b.turn % uint64(len(all)))
	best := all[start]
	for i := range all {
		if t := all[(start+i)%len(all)]; t.inFlight < best.inFlight {
			best = t
		}
	}
	return best
}

// Started notes that a request went to an upstream.
func (b *Balancer) Started(id string) {
	if t, ok := b.targets[id]; ok {
		t.inFlight++
	}
}

// Ended notes how it went. An upstream that fails again and again is left out
// for a while, unless too many are left out already.
func (b *Balancer) Ended(now time.Time, id string, o Outcome) {
	t, ok := b.targets[id]
	if !ok {
		return
	}
	t.inFlight = max(t.inFlight-1, 0)
	switch o {
	case Served:
		t.failures, t.ejected = 0, 0
		t.outUntil = time.Time{}
	case Failed:
		t.failures++
		if t.failures >= b.opts.EjectAfter && b.mayEject(now, t) {
			t.outUntil = now.Add(b.opts.EjectTime << min(t.ejected, 3))
			t.ejected++
		}
	}
}

func (b *Balancer) mayEject(now time.Time, t *target) bool {
	all := b.services[t.up.Service]
	out := 1
	for _, o := range all {
		if o != t && now.Before(o.outUntil) {
			out++
		}
	}
	return float64(out) <= max(b.opts.EjectShare*float64(len(all)), 1)
}
