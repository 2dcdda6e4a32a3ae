package sched

import (
	"math"
	"math/bits"
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
	// EjectAfter is the number of this node's failures in a row that leave an upstream
	// out. What other nodes tell of counts half.
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
	// recent holds this node's latest outcomes, a set bit for each failure.
	recent uint16
	// candidates and homes are scratch space of a decision.
	candidates []candidate
	homes      []home
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

// Pick chooses an upstream. Those that are left out are taken only if there is no
// other.
func (b *Balancer) Pick(now time.Time, q Query) (Choice, bool) {
	list := b.services[q.Service]
	for _, leftOut := range []bool{false, true} {
		if c, ok := b.pickFrom(now, q, list, leftOut); ok {
			return c, true
		}
	}
	return Choice{}, false
}

func (b *Balancer) pickFrom(now time.Time, q Query, list []*target, leftOut bool) (Choice, bool) {
	key, sticky := q.affinity()
	b.candidates = b.candidates[:0]
	b.homes = b.homes[:0]
	ranks := b.opts.HomeRanks
	if len(list) > considerAll {
		ranks = considerHomes
	}
	for _, t := range list {
		if now.Before(t.outUntil) != leftOut || slices.Contains(q.Exclude, t.up.ID) {
			continue
		}
		b.candidates = append(b.candidates, candidate{t: t, rank: ranks})
		if sticky {
			b.rank(home{t, mix(key ^ t.hash)}, ranks)
		}
	}
	if len(b.candidates) == 0 {
		return Choice{}, false
	}
	if !sticky {
		t := b.leastLoaded()
		return Choice{Upstream: t.up, InFlight: t.inFlight, Usable: len(b.candidates), Rank: -1, Slow: t.slow}, true
	}
	usable := len(b.candidates)
	b.takeHomes(len(list) > considerAll)
	c := b.soonest(now, q)
	c.Usable = usable
	return c, true
}

// Bounds on the upstreams that one decision looks at.
const (
	// considerAll is the size of a service up to which all upstreams are.
	considerAll = 64
	// considerHomes is the number of a prompt's homes that are in a larger one.
	considerHomes = 16
)

// candidate is an upstream that a request may go to.
type candidate struct {
	t        *target
	rank     int
	uncached int
}

// home is an upstream with its weight in a key's rendezvous order.
type home struct {
	t      *target
	weight uint64
}

// rank keeps the n homes with the highest weights, in their order.
func (b *Balancer) rank(h home, n int) {
	at := len(b.homes)
	for at > 0 && b.homes[at-1].weight < h.weight {
		at--
	}
	if at >= n {
		return
	}
	if len(b.homes) == n {
		b.homes = b.homes[:n-1]
	}
	b.homes = slices.Insert(b.homes, at, h)
}

// takeHomes gives the candidates their ranks. In a large service the homes are the
// only candidates.
func (b *Balancer) takeHomes(only bool) {
	if only {
		b.candidates = b.candidates[:0]
		for i, h := range b.homes {
			b.candidates = append(b.candidates, candidate{t: h.t, rank: min(i, b.opts.HomeRanks)})
		}
		return
	}
	for i := range b.candidates {
		for rank, h := range b.homes {
			if h.t == b.candidates[i].t {
				b.candidates[i].rank = rank
			}
		}
	}
}

// soonest takes the engine with the earliest believed first token. The homes of a
// prompt, the same for all nodes, go first where there is little between them, so
// that a new session comes to one engine whichever nodes it meets.
func (b *Balancer) soonest(now time.Time, q Query) Choice {
	least := q.Input
	for i := range b.candidates {
		c := &b.candidates[i]
		c.uncached = max(q.Input-c.t.cache.prefix(q.Parts), 0)
		least = min(least, c.uncached)
	}
	best, bestCost := 0, time.Duration(math.MaxInt64)
	for i, c := range b.candidates {
		again := time.Duration(b.opts.RereadCost * float64(c.t.reading(c.uncached-least)))
		cost := c.t.wait(now) + c.t.reading(c.uncached) + again + time.Duration(c.rank)*b.opts.HomeBonus
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	c := b.candidates[best]
	return Choice{
		Upstream: c.t.up, InFlight: c.t.inFlight, Rank: c.rank, Uncached: c.uncached, Wait: c.t.wait(now), Slow: c.t.slow,
	}
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// leastLoaded takes the candidate with the fewest requests, of equal ones the next
// in turn.
func (b *Balancer) leastLoaded() *target {
	b.turn++
	start := int(b.turn % uint64(len(b.candidates)))
	best := b.candidates[start].t
	for i := range b.candidates {
		if t := b.candidates[(start+i)%len(b.candidates)].t; t.inFlight < best.inFlight {
			best = t
		}
	}
	return best
}

// Started notes that a request goes to the chosen upstream, and returns the choice
// with its ticket, and what the other nodes should know of it.
func (b *Balancer) Started(now time.Time, q Query, c Choice) (started Choice, n Update, tell bool) {
	t, ok := b.targets[c.Upstream.ID]
	if !ok {
		return c, Update{}, false
	}
	t.inFlight++
	if len(q.Parts) == 0 {
		return c, Update{}, false
	}
	c.Ticket = t.expect(now.Add(readOverhead + c.Wait + t.reading(c.Uncached)))
	t.sent(now, q.Parts, c.Uncached)
	return c, Update{Upstream: t.hash, Uncached: c.Uncached, Parts: q.Parts}, len(q.Parts) <= maxUpdateParts
}

// FirstToken learns from the time to a first token.
func (b *Balancer) FirstToken(c Choice, took time.Duration) {
	t, ok := b.targets[c.Upstream.ID]
	if !ok || c.Rank < 0 {
		return
	}
	t.settle(c.Ticket)
	t.observe(readOverhead+c.Wait+t.reading(c.Uncached), took)
}

// Ended notes how an attempt went, and returns what the other nodes should know of it.
func (b *Balancer) Ended(now time.Time, c Choice, o Outcome) (n Update, tell bool) {
	t, ok := b.targets[c.Upstream.ID]
	if !ok {
		return Update{}, false
	}
	t.settle(c.Ticket)
	t.inFlight = max(t.inFlight-1, 0)
	switch o {
	case Served:
		b.recent <<= 1
		t.health.served()
		t.outUntil = time.Time{}
	case Failed, TimedOut:
		b.recent = b.recent<<1 | 1
		b.strike(now, t, ownStrike)
		// Where most requests fail, the fault is likely to be this node's own.
		return Update{Upstream: t.hash, Failed: true}, bits.OnesCount16(b.recent) <= maxToldFailures
	}
	return Update{}, false
}

// maxToldFailures is the number of failures among a node's latest 16 outcomes up to
// which it tells others of them.
const maxToldFailures = 8

// strike notes a failure of an upstream. One that fails again and again is left out for
// a while, unless too many are left out already.
func (b *Balancer) strike(now time.Time, t *target, weight float64) {
	if t.health.strike(now, weight) >= float64(b.opts.EjectAfter) && !now.Before(t.outUntil) && b.mayEject(now, t) {
		t.outUntil = now.Add(b.opts.EjectTime << t.health.eject())
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
