package sched

import "time"

// Parameters of a limiter. An upstream gets more requests than the limit that it names only
// if they would be served late elsewhere, and then at most limitExcess times the limit and
// limitExtra more. The users' bound is 1.5 times the limit and 5 requests more in 4 s; the
// difference covers requests that nodes send concurrently and reports that are lost.
const (
	limitExcess = 1.35
	limitExtra  = 0.4 // requests per second
	// limitBurst is the number of requests that may be sent without a pause.
	limitBurst = 2
	// limitDebt is the longest time for which requests in excess of a rate are remembered.
	limitDebt = 4 * time.Second
	// announceInterval is the time after which a limit that has not changed is sent to the
	// other nodes again, for those that have joined since.
	announceInterval = time.Second
)

// pacer spaces requests evenly, with the generic cell rate algorithm.
type pacer struct {
	// due is when the next request is due.
	due time.Time
}

// sent counts a request.
func (p *pacer) sent(now time.Time, interval time.Duration) {
	if p.due.Before(now) {
		p.due = now
	}
	p.due = p.due.Add(interval)
	if latest := now.Add(limitDebt + limitBurst*interval); p.due.After(latest) {
		p.due = latest
	}
}

// opensIn returns the time until a request may be sent, 0 if one may be sent now.
func (p *pacer) opensIn(now time.Time, interval time.Duration) time.Duration {
	if !now.Before(p.due) {
		return 0
	}
	return max(p.due.Sub(now)-(limitBurst-1)*interval, 0)
}

// limiter compares the requests of all nodes to an upstream with the limit that it names.
// Each node counts its own requests and those that the other nodes report. The nil limiter
// is that of an upstream without a limit.
type limiter struct {
	limit RateLimit
	// named paces requests by the limit itself, and bound by the most that may be sent.
	named, bound pacer
	announcedAt  time.Time
}

// setLimit records the limit that the upstream names and reports whether it is to be sent
// to the other nodes.
func (t *target) setLimit(now time.Time, limit RateLimit) (announce bool) {
	if !limit.Named {
		announce = t.limiter != nil
		t.limiter = nil
		return announce
	}
	if t.limiter == nil {
		t.limiter = &limiter{}
	}
	l := t.limiter
	if limit == l.limit && now.Sub(l.announcedAt) < announceInterval {
		return false
	}
	l.limit, l.announcedAt = limit, now
	return true
}

// sent counts a request of this or another node. share is the share of the limit that the
// nodes in contact with this one may use.
func (l *limiter) sent(now time.Time, share float64) {
	if l != nil {
		l.named.sent(now, l.namedInterval(share))
		l.bound.sent(now, l.boundInterval(share))
	}
}

// exceeds reports whether one more request would exceed the limit.
func (l *limiter) exceeds(now time.Time, share float64) bool {
	return l != nil && l.named.opensIn(now, l.namedInterval(share)) > 0
}

// opensIn returns the time until a request may be sent, 0 if one may be sent now.
func (l *limiter) opensIn(now time.Time, share float64) time.Duration {
	if l == nil {
		return 0
	}
	return l.bound.opensIn(now, l.boundInterval(share))
}

func (l *limiter) namedInterval(share float64) time.Duration {
	return interval(max(l.limit.PerSecond, limitExtra) * share)
}

// boundInterval is finite also if the limit is 0, since only responses tell that it ends.
func (l *limiter) boundInterval(share float64) time.Duration {
	return interval((limitExcess*l.limit.PerSecond + limitExtra) * share)
}

// interval returns the time between two requests at a rate per second.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}
