package pace

import (
	"math"
	"time"
)

// Rates over all nodes together, in requests per second. Each node uses an equal part.
const (
	startRate = 10.0
	// leastRate is the rate that remains however often requests fail, so that a recovery is seen.
	leastRate = 2.0
	// leastNodeRate is the least rate of one node, with whatever number of nodes.
	leastNodeRate = 0.1
	// fullRate is the rate from which on a pace is done.
	fullRate = 400.0
)

// The times of a pace.
const (
	// doubleTime is the time in which the rate doubles while responses arrive in time.
	doubleTime = time.Second
	// maxGrowth limits the time that one response counts for.
	maxGrowth = 1500 * time.Millisecond
	// halveInterval is the least time between two halvings: requests that fail together tell of
	// one fault.
	halveInterval = 500 * time.Millisecond
	// quietTime is the time without requests held back after which the pace is done.
	quietTime = 2 * time.Second
	// maxTime and badTime are the times since the start and since the latest bad response after
	// which the pace is done in any case.
	maxTime = time.Minute
	badTime = 10 * time.Second
)

// Parameters of the failure score. A few failures among many responses in time are usual.
const (
	// halveAt is the score at which the rate halves, of which each bad response counts 1.
	halveAt = 2.0
	// goodCredit is what a response in time takes off the score, for each node: nodes tell each
	// other of bad responses only.
	goodCredit = 0.4
)

// enoughGood is the number of responses in time, after the latest bad one, that a pace needs to be
// done.
const enoughGood = 5

// Pace is one node's rate of requests to one upstream. A nil Pace limits nothing: OpensIn, Sent,
// Good and Bad may be called on it.
type Pace struct {
	// rate is the present rate of this node, least and full its parts of leastRate and fullRate.
	rate, least float64
	full        float64
	startedAt   time.Time
	// due is when the next request may be sent.
	due time.Time
	// grownAt is up to when responses have been counted for the growth of the rate.
	grownAt  time.Time
	halvedAt time.Time
	// heldAt is when a request was last held back.
	heldAt time.Time
	// good is the number of responses in time since the score last reached halveAt.
	good  int
	nodes float64
	score float64
}

// New returns the pace of an upstream that one of so many nodes sends to. It starts at half of the
// rate that the upstream got from this node before, if that is higher than the usual start.
func New(now time.Time, nodes int, before float64) *Pace {
	n := float64(max(nodes, 1))
	return &Pace{
		nodes: n, rate: max(startRate/n, leastNodeRate, before/2), least: max(leastRate/n, leastNodeRate), full: fullRate / n,
		startedAt: now, grownAt: now, heldAt: now,
	}
}

// Rate returns the rate of this node, in requests per second.
func (p *Pace) Rate() float64 { return p.rate }

// OpensIn returns the time until a request may be sent, 0 if one may be sent now.
func (p *Pace) OpensIn(now time.Time) time.Duration {
	if p == nil || !now.Before(p.due) {
		return 0
	}
	return p.due.Sub(now)
}

// Held records that a request was held back.
func (p *Pace) Held(now time.Time) { p.heldAt = now }

// Sent counts a request.
func (p *Pace) Sent(now time.Time) {
	if p == nil {
		return
	}
	interval := time.Duration(float64(time.Second) / p.rate)
	// A request that is a little late does not lower the rate, and one before its time delays the
	// next one only.
	if now.Sub(p.due) > interval/2 || now.Before(p.due) {
		p.due = now
	}
	p.due = p.due.Add(interval)
}

// Good records a response in time.
func (p *Pace) Good(now time.Time) {
	if p == nil {
		return
	}
	p.good++
	p.score = max(p.score-goodCredit*p.nodes, 0)
	grown := min(max(now.Sub(p.grownAt), 0), maxGrowth)
	p.rate *= math.Exp2(grown.Seconds() / doubleTime.Seconds())
	p.grownAt = now
}

// Bad records a response that is late, failed or rejected, also one of another node.
func (p *Pace) Bad(now time.Time) {
	if p == nil {
		return
	}
	p.grownAt = now
	if p.score++; p.score < halveAt {
		return
	}
	p.score = halveAt
	p.good = 0
	if !p.halvedAt.IsZero() && now.Sub(p.halvedAt) < halveInterval {
		return
	}
	p.halvedAt = now
	p.rate = max(p.rate/2, p.least)
}

// Done reports whether the upstream gets its usual share.
func (p *Pace) Done(now time.Time) bool {
	if p.good >= enoughGood && (p.rate >= p.full || now.Sub(p.heldAt) >= quietTime) {
		return true
	}
	return now.Sub(p.startedAt) >= maxTime && (p.halvedAt.IsZero() || now.Sub(p.halvedAt) >= badTime)
}
