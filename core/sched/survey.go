package sched

import (
	"cmp"
	"slices"
	"time"
)

// Prospect is what a decision about a request knows of one upstream.
type Prospect struct {
	Upstream Upstream
	// Reason is why the upstream gets no such request now; empty if it may get one.
	Reason Reason
	// OpensIn is the time until it may get one; 0 if it may now, or if that is not known.
	OpensIn time.Duration
	// InFlight is the number of this node's requests at the upstream.
	InFlight int
	// Uncached is the number of tokens that it has to prefill, Wait the estimated time until it
	// has prefilled what was sent before, and FirstToken the estimated time to the first token.
	// They are 0 for services without prompts.
	Uncached         int
	Wait, FirstToken time.Duration
	// Slowdown is the factor by which the upstream is slower than usual.
	Slowdown float64
}

// Survey returns what is known of the upstreams of the request's service, by id, and the upstream
// that Pick would choose; ok is false if there is none. Nothing is sent, and paces, limits and the
// order among equal upstreams stay as they are.
func (b *Balancer) Survey(now time.Time, q Query) (list []Prospect, c Choice, ok bool) {
	tieBreak := b.tieBreak
	b.surveying = true
	c, ok = b.Pick(now, q)
	b.surveying, b.tieBreak = false, tieBreak
	for _, t := range b.targets {
		if t.up.Service == q.Service {
			list = append(list, b.prospect(now, t, q))
		}
	}
	slices.SortFunc(list, func(p, o Prospect) int { return cmp.Compare(p.Upstream.ID, o.Upstream.ID) })
	return list, c, ok
}

func (b *Balancer) prospect(now time.Time, t *target, q Query) Prospect {
	p := Prospect{Upstream: t.up, InFlight: t.inFlight, Slowdown: t.slowdown.value}
	b.surveying = true
	p.Reason, p.OpensIn = b.barredFor(now, t, q)
	b.surveying = false
	if len(q.Parts) > 0 {
		p.Uncached = max(q.Input-t.cache.prefix(q.Parts), 0)
		p.Wait = t.wait(now)
		p.FirstToken = t.overhead() + p.Wait + t.prefillTime(p.Uncached)
	}
	return p
}

// barredFor returns why an upstream gets no such request now, and for how long as far as that is
// known.
func (b *Balancer) barredFor(now time.Time, t *target, q Query) (Reason, time.Duration) {
	switch {
	case !t.accepts():
		return Draining, 0
	case b.evacuated.Contains(t.up.Place):
		return Evacuated, 0
	case !b.inRegions(t, q):
		return OutsideRegions, 0
	case now.Before(t.pausedUntil):
		return UpstreamPaused, t.pausedUntil.Sub(now)
	}
	if in, limited := b.opensIn(now, t); in > 0 {
		if limited {
			return RateLimited, in
		}
		return Paced, in
	}
	if t.tooSmall(q.need()) && b.opts.GuardMemory {
		return TooLarge, 0
	}
	if !b.fits(now, t, q.need()) {
		return Full, 0
	}
	if t.avoided(now) {
		return Avoided, max(t.ejectedUntil.Sub(now), t.avoidUntil.Sub(now))
	}
	return "", 0
}
