package sched

import (
	"math"
	"slices"
	"time"
)

// Pick chooses an upstream that its limiter allows and that wants no pause from this node. It
// chooses one that is to be avoided only if there is no other. If limiters leave only engines
// that would make the request late, it chooses none.
func (b *Balancer) Pick(now time.Time, q Query) (Choice, bool) {
	list := b.services[q.Service]
	for _, avoided := range []bool{false, true} {
		c, closed, ok := b.pickFrom(now, q, list, avoided)
		if !ok {
			c, closed, ok = b.pickPaced(now, q, list, avoided)
		}
		if ok {
			return c, !closed || q.Objective <= 0 || c.firstTokenIn() <= q.Objective
		}
	}
	return Choice{}, false
}

// pickFrom chooses one of the upstreams in list that are to be avoided, or of those that are
// not. closed is set if the limiters of some of them left these out.
func (b *Balancer) pickFrom(now time.Time, q Query, list []*target, avoided bool) (c Choice, closed, ok bool) {
	key, sticky := q.affinity()
	b.candidates = b.candidates[:0]
	b.homes = b.homes[:0]
	ranks := b.opts.HomeRanks
	if len(list) > fullScanLimit {
		ranks = maxHomeCandidates
	}
	for _, t := range list {
		if t.avoided(now) != avoided || now.Before(t.pausedUntil) || !b.inRegions(t, q) || slices.Contains(q.Exclude, t.up.ID) {
			continue
		}
		if in, limited := b.opensIn(now, t); in > 0 {
			closed = closed || limited
			continue
		}
		if !b.fits(now, t, q.need()) {
			continue
		}
		b.candidates = append(b.candidates, candidate{t: t, rank: ranks})
		if sticky {
			b.rank(home{t, mix(key ^ t.hash)}, ranks)
		}
	}
	if len(b.candidates) == 0 {
		return Choice{}, closed, false
	}
	if !sticky {
		t := b.leastLoaded(now)
		return Choice{Upstream: t.up, InFlight: t.inFlight, Usable: len(b.candidates), Rank: -1, Slowdown: t.slowdown.value}, closed, true
	}
	usable := len(b.candidates)
	if len(list) > fullScanLimit {
		c = b.earliestFirstToken(now, q, b.homeCandidates())
	}
	if len(list) <= fullScanLimit || b.lateBy(q, c.firstTokenIn()) > 0 {
		b.rankCandidates()
		c = b.earliestFirstToken(now, q, b.candidates)
	}
	c.Usable = usable
	return c, closed, true
}

// Limits on the number of upstreams that one decision considers.
const (
	// fullScanLimit is the largest size of a service of which all upstreams are always
	// considered.
	fullScanLimit = 64
	// maxHomeCandidates is the number of a prompt's homes that are considered first in a
	// larger service. The others are considered if all of these may be late.
	maxHomeCandidates = 16
)

// candidate is an upstream that a request may be sent to.
type candidate struct {
	t        *target
	rank     int
	uncached int
	// fetched is the number of tokens to fetch from another engine.
	fetched int
}

// home is an upstream with its rendezvous weight for a key.
type home struct {
	t      *target
	weight uint64
}

// rank adds h to the homes and keeps the n highest weights, in descending order.
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

// homeCandidates returns the homes of the prompt as candidates.
func (b *Balancer) homeCandidates() []candidate {
	b.atHome = b.atHome[:0]
	for i, h := range b.homes {
		b.atHome = append(b.atHome, candidate{t: h.t, rank: min(i, b.opts.HomeRanks)})
	}
	return b.atHome
}

// rankCandidates sets the ranks of the candidates.
func (b *Balancer) rankCandidates() {
	for rank, h := range b.homes {
		for i := range b.candidates {
			if h.t == b.candidates[i].t {
				b.candidates[i].rank = min(rank, b.opts.HomeRanks)
				break
			}
		}
	}
}

// lateBy returns how far an estimated time to the first token exceeds SafeShare of the
// request's objective. Since estimates err, such a first token may be later than the objective.
func (b *Balancer) lateBy(q Query, firstTokenIn time.Duration) time.Duration {
	if q.Objective <= 0 {
		return 0
	}
	return max(firstTokenIn-time.Duration(b.opts.SafeShare*float64(q.Objective)), 0)
}

// earliestFirstToken chooses the engine with the earliest estimated first token. If the
// estimates are close, it prefers the homes of the prompt, which are the same on all
// nodes, so that a new session is placed on one engine whichever nodes it arrives at. It gives
// up cached tokens rather than make the request late.
func (b *Balancer) earliestFirstToken(now time.Time, q Query, candidates []candidate) Choice {
	least, source := b.setUncached(now, q, candidates)
	best, bestCost := 0, time.Duration(math.MaxInt64)
	// Requests of different sessions begin at different engines, so that ties don't fall to one.
	key, _ := q.affinity()
	begin := int(mix(key) % uint64(len(candidates)))
	for n := range candidates {
		i := (begin + n) % len(candidates)
		c := &candidates[i]
		if !b.surveying {
			c.t.fadeSlowdown(now)
		}
		c.fetchFrom(source, least)
		first := c.t.overhead() + c.t.wait(now) + c.t.prefillTime(c.uncached) + c.fetchTime()
		cost := first + time.Duration(b.opts.RecomputeWeight*float64(c.t.prefillTime(c.uncached-least)+c.fetchTime())) +
			time.Duration(c.rank)*b.opts.HomeBonus +
			time.Duration(b.opts.LateWeight*float64(b.lateBy(q, first)))
		if c.t.limiter.exceeds(now, b.share) {
			cost += max(b.opts.LimitCost-c.t.speed.prefillTime(q.Input), 0)
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	c := candidates[best]
	chosen := Choice{
		Upstream: c.t.up, InFlight: c.t.inFlight, Rank: c.rank, Uncached: c.uncached, Wait: c.t.wait(now), Slowdown: c.t.slowdown.value,
		Prefill: c.t.prefillTime(c.uncached) + c.fetchTime(), Overhead: c.t.overhead(), Holds: c.t.holds(now),
	}
	chosen.waitTokens = c.t.speed.tokens(time.Duration(float64(chosen.Wait) / c.t.slowdown.value))
	if c.fetched > 0 {
		chosen.Source, chosen.Fetched = source.up, c.fetched
	}
	return chosen
}

// setUncached sets the uncached tokens of the candidates. It returns the least of them and the
// engine that has the most tokens cached, if other engines may fetch from it.
func (b *Balancer) setUncached(now time.Time, q Query, candidates []candidate) (least int, source *target) {
	least = q.Input
	for i := range candidates {
		c := &candidates[i]
		c.fetched = 0
		c.uncached = max(q.Input-c.t.cache.prefix(q.Parts), 0)
		if c.uncached < least {
			least, source = c.uncached, c.t
		}
	}
	if source != nil && source.overdue(now) {
		source = nil
	}
	return least, source
}

// Limits of fetching the KV cache of tokens from another engine.
const (
	// minFetched is the least number of tokens for which a fetch is worth its overhead.
	minFetched = 256
	// fetchOverhead is the part of the time of a fetch that does not depend on its size.
	fetchOverhead = 5 * time.Millisecond
)

// fetchFrom has the candidate fetch the tokens that the source has cached and it has not, if
// that is faster than to prefill them.
func (c *candidate) fetchFrom(source *target, least int) {
	if tokens := c.uncached - least; source != nil && tokens >= minFetched && c.t.engine.FetchPerToken > 0 {
		fetched := *c
		fetched.fetched, fetched.uncached = tokens, least
		if fetched.fetchTime() < c.t.prefillTime(tokens) {
			*c = fetched
		}
	}
}

// fetchTime returns the estimated time to fetch tokens from another engine.
func (c *candidate) fetchTime() time.Duration {
	if c.fetched == 0 {
		return 0
	}
	return fetchOverhead + time.Duration(c.fetched)*c.t.engine.FetchPerToken
}

// mix mixes the bits of a hash, with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// leastLoaded returns the candidate with the fewest requests in flight, among those below
// their limits if there are any. It breaks ties in round-robin order.
func (b *Balancer) leastLoaded(now time.Time) *target {
	if b.opts.SharePlaces {
		return b.soonest(now)
	}
	b.tieBreak++
	start := int(b.tieBreak % uint64(len(b.candidates)))
	var best *target
	var bestExceeds bool
	for i := range b.candidates {
		t := b.candidates[(start+i)%len(b.candidates)].t
		exceeds := t.limiter.exceeds(now, b.share)
		if best == nil || bestExceeds && !exceeds || bestExceeds == exceeds && t.inFlight < best.inFlight {
			best, bestExceeds = t, exceeds
		}
	}
	return best
}
