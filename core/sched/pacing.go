package sched

import (
	"math"
	"time"

	"dotterelgap/core/pace"
)

// paceAfter is the time for which a node must know a service before a new upstream of it is paced.
// Upstreams that a node learns of at its own start, or that start with the whole system, are not.
const paceAfter = 10 * time.Second

// maxPaceChanges limits the changes that wait to be read.
const maxPaceChanges = 256

// PaceChange tells that the pace of an upstream begins or ends.
type PaceChange struct {
	Upstream Upstream
	// Why is the reason for a pace that begins, and empty if it ends.
	Why string
	// Rate is the rate of this node in requests per second.
	Rate float64
}

// usual averages the rate of this node's requests to an upstream.
type usual struct {
	perSecond float64
	at        time.Time
}

// usualTime is the time over which the rate of requests is averaged.
const usualTime = 3 * time.Second

// rate returns the average rate in requests per second.
func (u *usual) rate(now time.Time) float64 {
	return u.perSecond * math.Exp(-now.Sub(u.at).Seconds()/usualTime.Seconds())
}

// sent counts a request.
func (u *usual) sent(now time.Time) {
	u.perSecond = u.rate(now) + 1/usualTime.Seconds()
	u.at = now
}

// SetPaces paces upstreams that are new or whose place has returned, and ends paces that are done.
// It returns what has changed since the last call.
func (b *Balancer) SetPaces(now time.Time) []PaceChange {
	if !b.opts.Pace {
		return nil
	}
	for _, t := range b.targets {
		since, known := b.knownSince[t.up.Service]
		switch {
		case t.pace != nil && t.pace.Done(now):
			b.notePace(PaceChange{Upstream: t.up, Rate: t.pace.Rate()})
			t.pace = nil
		case t.fresh && known && now.Sub(since) >= paceAfter:
			b.beginPace(now, t, "started")
		case !t.pacedReturn.Equal(t.returnedAt):
			t.pacedReturn = t.returnedAt
			b.beginPace(now, t, "returned")
		}
		t.fresh = false
		t.only = len(b.services[t.up.Service]) <= 1
	}
	b.noteServices(now)
	changes := b.paceChanges
	b.paceChanges = nil
	return changes
}

// noteServices records since when the services have had upstreams.
func (b *Balancer) noteServices(now time.Time) {
	known := make(map[string]time.Time, len(b.services))
	for service := range b.services {
		known[service] = now
		if since, ok := b.knownSince[service]; ok {
			known[service] = since
		}
	}
	b.knownSince = known
}

// beginPace begins the pace of an upstream, or halves the rate of the one that it has.
func (b *Balancer) beginPace(now time.Time, t *target, why string) {
	if !b.opts.Pace {
		return
	}
	if t.pace != nil {
		t.pace.Bad(now)
		return
	}
	t.pace = pace.New(now, len(b.sharers), t.usual.rate(now))
	b.notePace(PaceChange{Upstream: t.up, Why: why, Rate: t.pace.Rate()})
}

func (b *Balancer) notePace(c PaceChange) {
	if len(b.paceChanges) < maxPaceChanges {
		b.paceChanges = append(b.paceChanges, c)
	}
}

// paceOpensIn returns the time until a request may be sent to a paced upstream. The only upstream
// of a service is not paced, since there is none to send its requests to.
func (b *Balancer) paceOpensIn(now time.Time, t *target) time.Duration {
	if t.pace == nil || t.only || b.idlePacedToo && t.inFlight == 0 {
		return 0
	}
	return t.pace.OpensIn(now)
}

// pacedFor returns the time until a request may be sent to an upstream that is cold, has started or
// has recovered.
func (b *Balancer) pacedFor(now time.Time, t *target) time.Duration {
	return max(b.coldOpensIn(now, t), b.paceOpensIn(now, t))
}

// opensIn returns the time until a request may be sent to the upstream, 0 if one may be sent now.
// limited is set if a limit that the upstream names holds requests back.
func (b *Balancer) opensIn(now time.Time, t *target) (in time.Duration, limited bool) {
	if t.limiter == nil && t.pace == nil && !t.boundedWhileCold() {
		return 0, false
	}
	limit := t.limiter.opensIn(now, b.share)
	paced := b.pacedFor(now, t)
	if paced > 0 && t.pace != nil && !b.surveying {
		t.pace.Held(now)
	}
	return max(limit, paced), limit > 0
}

// pickPaced chooses a paced upstream before its time, if there is no other and this node waits for
// no response from it: callers are then served as fast as the upstreams respond.
func (b *Balancer) pickPaced(now time.Time, q Query, list []*target, avoided bool) (c Choice, closed, ok bool) {
	if !b.opts.Pace {
		return Choice{}, false, false
	}
	b.idlePacedToo = true
	c, closed, ok = b.pickFrom(now, q, list, avoided)
	b.idlePacedToo = false
	return c, closed, ok
}

// FirstTokenPace adapts the pace of the upstream to a first token, and returns the update for the
// other nodes if it was late. send is false if there is none.
func (b *Balancer) FirstTokenPace(now time.Time, c Choice, took time.Duration) (u Update, send bool) {
	t, ok := b.chosen(c)
	if !ok || t.pace == nil {
		return Update{}, false
	}
	if !c.Overdue(took) {
		t.pace.Good(now)
		return Update{}, false
	}
	t.pace.Bad(now)
	return Update{Kind: Slowed, Upstream: t.hash}, true
}

// endedPace adapts the pace of an upstream to the outcome of an attempt. It returns the update for
// the other nodes if nothing else tells them. A first token has counted already.
func (t *target) endedPace(now time.Time, c Choice, o Outcome) (u Update, send bool) {
	if t.pace == nil {
		return Update{}, false
	}
	switch o {
	case Served:
		if c.Rank < 0 {
			t.pace.Good(now)
		}
	case Rejected:
		t.pace.Bad(now)
		return Update{Kind: Slowed, Upstream: t.hash}, true
	case Failed, TimedOut, Stalled:
		t.pace.Bad(now)
	}
	return Update{}, false
}
