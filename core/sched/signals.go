package sched

import (
	"slices"
	"time"
)

// Signals are what an upstream says of itself in the head of a response.
type Signals struct {
	// Limit is the limit that it names.
	Limit RateLimit
	// Leaving is set if it is about to shut down and wants no new requests.
	Leaving bool
	// Pause is how long it wants no requests from this node, after it rejected one; 0 if it
	// does not say.
	Pause time.Duration
	// Malformed names the headers whose values were not understood or out of bounds.
	Malformed []string
}

// MaxPause limits how long an upstream gets no requests because it asked for a pause.
const MaxPause = 10 * time.Minute

// Limit records the limit that an upstream named in a response, or that it named none. It
// returns the update for the other nodes; send is false if there is none.
func (b *Balancer) Limit(now time.Time, c Choice, limit RateLimit) (u Update, send bool) {
	t, ok := b.chosen(c)
	if !ok {
		return Update{}, false
	}
	return Update{Kind: NamedLimit, Upstream: t.hash, Limit: limit}, t.setLimit(now, limit)
}

// chosen returns the target of a choice, unless another incarnation has replaced it.
func (b *Balancer) chosen(c Choice) (*target, bool) {
	t, ok := b.targets[c.Upstream.ID]
	return t, ok && t.up.Born.Equal(c.Upstream.Born)
}

// Leaving records that an upstream said in a response that it is about to shut down: this
// incarnation of it gets no new requests any more. It reports whether this is news.
func (b *Balancer) Leaving(c Choice) bool {
	t, ok := b.chosen(c)
	if !ok || t.leaving {
		return false
	}
	t.leaving = true
	service := t.up.Service
	b.services[service] = slices.DeleteFunc(b.services[service], func(o *target) bool { return o == t })
	return true
}

// Pause records that an upstream wants no requests from this node for a time, and returns the
// update for the other nodes, which prefer other upstreams meanwhile. send is false if there
// is none.
func (b *Balancer) Pause(now time.Time, c Choice, pause time.Duration) (u Update, send bool) {
	t, ok := b.chosen(c)
	pause = min(pause, MaxPause)
	if !ok || pause <= 0 {
		return Update{}, false
	}
	if until := now.Add(pause); until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
	b.beginPace(now, t, "paused")
	return Update{Kind: Paused, Upstream: t.hash, Pause: pause}, true
}

// avoided reports whether the upstream is chosen only if there is no other: it is ejected, or
// wants no requests from another node.
func (t *target) avoided(now time.Time) bool {
	return now.Before(t.ejectedUntil) || now.Before(t.avoidUntil)
}

// Opening is when an upstream may get a request again.
type Opening struct {
	In time.Duration
	// Paused is set if the upstream asked for a pause, and Paced if it is cold or has recovered
	// lately. If neither is set, its limit is reached.
	Paused, Paced bool
}

// OpensIn returns the first time at which an upstream that may get the request, but gets none
// now, may get one again. ok is false if there is no such upstream.
func (b *Balancer) OpensIn(now time.Time, q Query) (first Opening, ok bool) {
	for _, t := range b.services[q.Service] {
		if !b.inRegions(t, q) {
			continue
		}
		o := Opening{In: t.limiter.opensIn(now, b.share)}
		if paced := b.pacedFor(now, t); paced > o.In {
			o = Opening{In: paced, Paced: true}
		}
		if pause := t.pausedUntil.Sub(now); pause > o.In {
			o = Opening{In: pause, Paused: true}
		}
		if o.In > 0 && (!ok || o.In < first.In) {
			first, ok = o, true
		}
	}
	return first, ok
}
