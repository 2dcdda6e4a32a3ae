package sched

import (
	"slices"
	"time"

	"dotterelgap/core/fleet"
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
	// Canceled: the caller left.
	Canceled
	// TimedOut: the caller's time was up before the answer had begun.
	TimedOut
)

// String names an outcome for logs and metrics.
func (o Outcome) String() string {
	return [...]string{"served", "rejected", "failed", "canceled", "timed_out"}[o]
}

// Log adds the inputs of the decision to a log line.
func (c Choice) Log(addInt func(string, int), addDuration func(string, time.Duration), addFloat func(string, float64)) {
	addInt("in_flight", c.InFlight)
	addInt("usable", c.Usable)
	if c.Rank < 0 {
		return
	}
	addInt("rank", c.Rank)
	addInt("uncached", c.Uncached)
	addDuration("wait", c.Wait.Round(time.Millisecond))
	addFloat("slow", float64(int(c.Slow*100))/100)
}

// Options tune a Balancer.
type Options struct {
	// HomeBonus is how much later a first token may be at a request's first home
	// than elsewhere, and what each further rank costs up to HomeRanks.
	HomeBonus time.Duration
	HomeRanks int
	// RereadCost weighs the time that an engine spends on reading what another one
	// keeps: it is lost to other requests.
	RereadCost float64
	// EjectAfter is the number of failures in a row that leave an upstream out.
	EjectAfter int
	// EjectTime is how long it is left out the first time.
	EjectTime time.Duration
	// EjectShare bounds the part of a service that is left out at once.
	EjectShare float64
}

// DefaultOptions returns the options that nodes run with.
func DefaultOptions() Options {
	return Options{
		HomeBonus: 20 * time.Millisecond, HomeRanks: 3, RereadCost: 4,
		EjectAfter: 2, EjectTime: time.Second, EjectShare: 0.4,
	}
}

// Balancer is one node's view of the upstreams.
type Balancer struct {
	opts     Options
	place    fleet.Place
	targets  map[string]*target
	byHash   map[uint64]*target
	services map[string][]*target
	turn     uint64
}

// New returns a balancer without upstreams for a node in a place.
func New(opts Options, place fleet.Place) *Balancer {
	return &Balancer{
		opts: opts, place: place,
		targets: map[string]*target{}, byHash: map[uint64]*target{}, services: map[string][]*target{},
	}
}

// SetUpstreams takes in the upstreams that may live. What is known of those that
// stay is kept; one that has started again counts as new. kvTokens tells the size
// of a service's engines' memory, or 0.
func (b *Balancer) SetUpstreams(ups []Upstream, kvTokens func(service string) int) {
	next := make(map[string]*target, len(ups))
	b.byHash = make(map[uint64]*target, len(ups))
	b.services = map[string][]*target{}
	for _, u := range ups {
		t, ok := b.targets[u.ID]
		if !ok || !t.up.Born.Equal(u.Born) || t.up.Addr != u.Addr {
			t = newTarget(u, kvTokens(u.Service))
		}
		t.up = u
		next[u.ID] = t
		b.byHash[t.hash] = t
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
	key, sticky := q.affinity()
	if !sticky {
		t := b.leastLoaded(all)
		return Choice{Upstream: t.up, InFlight: t.inFlight, Usable: len(all), Rank: -1, Slow: t.slow}, true
	}
	return b.soonest(now, q, key, all), true
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

// soonest takes the engine with the earliest believed first token. The homes of a
// prompt, the same for all nodes, go first where there is little between them, so
// that a new session comes to one engine whichever nodes it meets.
func (b *Balancer) soonest(now time.Time, q Query, key uint64, all []*target) Choice {
	homes := homesOf(key, all, b.opts.HomeRanks)
	least := q.Input
	for _, t := range all {
		least = min(least, max(q.Input-t.cache.prefix(q.Parts), 0))
	}
	var best Choice
	var bestCost time.Duration
	for _, t := range all {
		rank := slices.Index(homes, t)
		if rank < 0 {
			rank = b.opts.HomeRanks
		}
		uncached := max(q.Input-t.cache.prefix(q.Parts), 0)
		wait := t.wait(now)
		again := time.Duration(b.opts.RereadCost * float64(t.reading(uncached-least)))
		cost := wait + t.reading(uncached) + again + time.Duration(rank)*b.opts.HomeBonus
		if best.Usable == 0 || cost < bestCost {
			bestCost = cost
			best = Choice{
				Upstream: t.up, InFlight: t.inFlight, Usable: len(all), Rank: rank,
				Uncached: uncached, Wait: wait, Slow: t.slow,
			}
		}
	}
	return best
}

// homesOf lists the first upstreams in the key's rendezvous order.
func homesOf(key uint64, all []*target, n int) []*target {
	homes := make([]*target, 0, n)
	weights := make([]uint64, 0, n)
	for _, t := range all {
		w := mix(key ^ t.hash)
		at, _ := slices.BinarySearchFunc(weights, w, func(have, want uint64) int {
			if have > want {
				return -1
			}
			return 1
		})
		if at >= n {
			continue
		}
		if len(homes) == n {
			homes, weights = homes[:n-1], weights[:n-1]
		}
		homes = slices.Insert(homes, at, t)
		weights = slices.Insert(weights, at, w)
	}
	return homes
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

// Started notes that a request goes to the chosen upstream, and returns what the
// other nodes should know of it.
func (b *Balancer) Started(now time.Time, q Query, c Choice) (n Notice, tell bool) {
	t, ok := b.targets[c.Upstream.ID]
	if !ok {
		return Notice{}, false
	}
	t.inFlight++
	if len(q.Parts) == 0 {
		return Notice{}, false
	}
	t.sent(now, q.Parts, c.Uncached)
	return Notice{Upstream: t.hash, Uncached: c.Uncached, Parts: q.Parts}, len(q.Parts) <= maxNoticeParts
}

// FirstToken learns from the time to a first token.
func (b *Balancer) FirstToken(c Choice, took time.Duration) {
	t, ok := b.targets[c.Upstream.ID]
	if !ok || c.Rank < 0 {
		return
	}
	t.observe(readOverhead+c.Wait+t.reading(c.Uncached), took)
}

// Ended notes how an attempt went. An upstream that fails again and again is left
// out for a while, unless too many are left out already.
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
	case Failed, TimedOut:
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
