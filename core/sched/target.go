package sched

import (
	"slices"
	"time"

	"dotterelgap/core/fleet"

	"github.com/cespare/xxhash/v2"
)

// Upstream is an upstream that takes work, or did.
type Upstream = fleet.Upstream

// Beliefs about an engine of which nothing is known yet.
const (
	// readRate is the number of prompt tokens that are read in a second.
	readRate = 30_000
	// readOverhead is the time to a first token beyond that of reading the prompt.
	readOverhead = 50 * time.Millisecond
	// cacheTokens is the believed size of a cache where the policy names none.
	cacheTokens = 200_000
	// cacheShare is the part of an engine's memory that cached parts can have.
	cacheShare = 0.7
)

// Learning of how slow an upstream is.
const (
	slowGain = 0.2
	slowMost = 20.0
	// slowLeast is the time to a first token below which nothing is learned: the
	// noise is larger.
	slowLeast = 30 * time.Millisecond
)

// target is what a node knows of one upstream.
type target struct {
	up       Upstream
	hash     uint64
	inFlight int
	cache    *cache
	// work is the time that the engine needs for the prompts that were sent to it,
	// by any node, as of workAt. It shrinks as time passes.
	work   time.Duration
	workAt time.Time
	// slow is how much longer first tokens take than believed.
	slow float64
	// due holds when the first tokens of this node's requests are expected that have
	// not come yet, by ticket.
	due     []pending
	tickets uint64
	health  health
	// outUntil is when an upstream that was left out may be tried again.
	outUntil time.Time
}

func newTarget(u Upstream, kvTokens int) *target {
	capacity := int(cacheShare * float64(kvTokens))
	if capacity == 0 {
		capacity = cacheTokens
	}
	return &target{up: u, hash: xxhash.Sum64String(u.ID), cache: newCache(capacity), slow: 1}
}

// pending is a request whose first token has not come yet.
type pending struct {
	ticket uint64
	at     time.Time
}

// backlog is the time that the engine needs for what is known to have been sent.
func (t *target) backlog(now time.Time) time.Duration {
	return max(t.work-now.Sub(t.workAt), 0)
}

// wait is the time until the engine has read all that was sent to it. An engine
// that is late with a first token is behind by that much at least: others send to
// it too, or it is slow.
func (t *target) wait(now time.Time) time.Duration {
	w := t.backlog(now)
	for _, p := range t.due {
		w = max(w, t.backlog(now)+now.Sub(p.at))
	}
	return w
}

// expect notes when a first token is due, and returns the ticket to end that.
func (t *target) expect(at time.Time) uint64 {
	t.tickets++
	t.due = append(t.due, pending{t.tickets, at})
	return t.tickets
}

// settle forgets a first token that has come, or will not.
func (t *target) settle(ticket uint64) {
	t.due = slices.DeleteFunc(t.due, func(p pending) bool { return p.ticket == ticket })
}

// reading is the time that the engine takes to read tokens.
func (t *target) reading(tokens int) time.Duration {
	return time.Duration(t.slow * float64(tokens) / readRate * float64(time.Second))
}

// sent notes that a prompt went to the engine.
func (t *target) sent(now time.Time, parts []PartKey, uncached int) {
	t.work = t.backlog(now) + t.reading(uncached)
	t.workAt = now
	t.cache.use(parts)
}

// observe learns from a time to the first token.
func (t *target) observe(expected, took time.Duration) {
	if took < slowLeast && expected < slowLeast {
		return
	}
	ratio := float64(took) / float64(max(expected, slowLeast))
	ratio = min(max(ratio, 1/slowMost), slowMost)
	t.slow = min(max(t.slow*(1+slowGain*(ratio-1)), 0.3), slowMost)
}
