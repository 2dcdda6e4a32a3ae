package sched

import (
	"slices"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/pace"

	"github.com/cespare/xxhash/v2"
)

// Upstream is an upstream that requests may be sent to.
type Upstream = fleet.Upstream

// Estimates of an engine's cache.
const (
	// defaultCacheTokens is the assumed size of an engine's prompt cache if the policy
	// does not set one.
	defaultCacheTokens = 200_000
	// cacheShare is the share of an engine's KV memory that cached parts may fill.
	cacheShare = 0.7
)

// Parameters for estimating an upstream's slowdown.
const (
	minSlowdown = 0.25
	maxSlowdown = 20.0
	// minFirstToken is the time to first token below which the slowdown is not updated,
	// because noise dominates.
	minFirstToken = 30 * time.Millisecond
	// overdueMargin is the time after which an expected first token counts as overdue.
	overdueMargin = 500 * time.Millisecond
	// untriedTime is the time without a request of any node after which a slowdown is halved, since
	// nothing else corrects that of an engine that has recovered.
	untriedTime = 2 * time.Second
)

// target is a node's view of one upstream.
type target struct {
	up       Upstream
	hash     uint64
	inFlight int
	cache    *cache
	engine   Engine
	// work is the estimated time that the engine needs for the prompts that any node
	// sent to it, as of workAt. It shrinks as time passes.
	work   time.Duration
	workAt time.Time
	// speed is that of the engines of the service, and slowdown the factor by which first tokens
	// of this engine take longer.
	speed    *speed
	slowdown center
	// evidence is the slowdown that the latest first token at this node showed, until the other
	// nodes are told; 0 if there is none.
	evidence float64
	// triedAt is when a node sent a prompt to the engine, or the slowdown was halved for the lack of
	// one.
	triedAt time.Time
	// pending holds the requests of this node that wait for their first token.
	pending    []pendingToken
	lastTicket uint64
	health     health
	// pace limits the requests to an upstream that has started or recovered; nil if there is none.
	pace  *pace.Pace
	usual usual
	// fresh is set until it is decided whether a new upstream is paced. pacedReturn is the return of
	// its place for which it was paced.
	fresh bool
	// only is set while it is the only upstream of its service.
	only        bool
	pacedReturn time.Time
	cold        cold
	memory      memory
	// places counts what is in flight at an upstream without prompts.
	places places
	// limiter is nil while the upstream names no limit.
	limiter *limiter
	// ejectedUntil is the time until which the upstream is ejected.
	ejectedUntil time.Time
	// leaving is set once the upstream said that it is about to shut down.
	leaving bool
	// pausedUntil is the time until which the upstream wants no requests from this node, and
	// avoidUntil the time until which it wants none from another node.
	pausedUntil, avoidUntil time.Time
	// returnedAt is when an evacuation of its place was withdrawn; zero if none was.
	returnedAt time.Time
}

// Engine describes the upstreams of a service.
type Engine struct {
	// ColdPerSecond is the number of requests a second that a cold upstream tolerates from all
	// entries together; 0 if it has no such bound.
	ColdPerSecond float64
	// ColdFor is how long an upstream is cold after its start; 0 if it is unknown.
	ColdFor time.Duration
	// KVTokens is the size of an engine's KV memory in tokens; 0 if it is unknown.
	KVTokens int
	// FetchPerToken is the time to fetch the KV cache of a token from another engine; 0 if
	// engines can't.
	FetchPerToken time.Duration
}

func newTarget(u Upstream, s *speed) *target {
	return &target{up: u, hash: xxhash.Sum64String(u.ID), cache: newCache(defaultCacheTokens), speed: s, slowdown: newCenter(1, slowdownMemory), fresh: true}
}

// setEngine sets the description of the engine, which may become known after the engine itself.
func (t *target) setEngine(e Engine) {
	t.engine = e
	t.cache.capacity = defaultCacheTokens
	if e.KVTokens > 0 {
		t.cache.capacity = int(cacheShare * float64(e.KVTokens))
	}
}

// pendingToken is a first token that has not arrived yet, with the time at which it
// is expected.
type pendingToken struct {
	ticket uint64
	at     time.Time
}

// backlog returns the time that the engine still needs for the prompts that are known
// to have been sent to it.
func (t *target) backlog(now time.Time) time.Duration {
	return max(t.work-now.Sub(t.workAt), 0)
}

// wait returns the estimated time until the engine has prefilled every prompt sent to
// it. An engine whose first token is overdue is at least that much behind, because
// other senders use it too or because it is slow.
func (t *target) wait(now time.Time) time.Duration {
	w := t.backlog(now)
	for _, p := range t.pending {
		w = max(w, t.backlog(now)+now.Sub(p.at))
	}
	return w
}

// overdue reports whether a first token of the engine should have arrived.
func (t *target) overdue(now time.Time) bool {
	return slices.ContainsFunc(t.pending, func(p pendingToken) bool { return now.After(p.at.Add(overdueMargin)) })
}

// expectFirstToken records when a first token is expected, and returns the ticket for
// clearPending.
func (t *target) expectFirstToken(at time.Time) uint64 {
	t.lastTicket++
	t.pending = append(t.pending, pendingToken{t.lastTicket, at})
	return t.lastTicket
}

// clearPending forgets a first token that has arrived or is no longer expected.
func (t *target) clearPending(ticket uint64) {
	t.pending = slices.DeleteFunc(t.pending, func(p pendingToken) bool { return p.ticket == ticket })
}

// prefillTime returns the estimated time that the engine takes to prefill tokens.
func (t *target) prefillTime(tokens int) time.Duration {
	return t.slowed(t.speed.prefillTime(tokens))
}

// overhead returns the estimated part of the time to a first token that does not depend on the
// length of the prompt.
func (t *target) overhead() time.Duration { return t.slowed(seconds(t.speed.overhead.value)) }

func (t *target) slowed(d time.Duration) time.Duration {
	return time.Duration(t.slowdown.value * float64(d))
}

// fadeSlowdown lets an engine that was slow be tried again after a time. What it then shows counts
// more than what was known.
func (t *target) fadeSlowdown(now time.Time) {
	if t.slowdown.value > 1 && now.Sub(t.triedAt) >= untriedTime {
		t.slowdown = newCenter(max(t.slowdown.value/2, 1), slowdownMemory)
		t.triedAt = now
	}
}

// recordPlacement records that a prompt was sent to the engine.
func (t *target) recordPlacement(now time.Time, parts []PartKey, uncached int) {
	t.work = t.backlog(now) + t.prefillTime(uncached)
	t.workAt = now
	t.cache.use(parts)
}

// observe updates the slowdown from the time to a first token. idle is the estimate of it without
// the prompts before, and wait the estimated time for those. An estimate that is mostly wait says
// little about the engine.
func (t *target) observe(idle, wait, took time.Duration) {
	if took < minFirstToken && idle+wait < minFirstToken || wait > idle {
		return
	}
	ratio := float64(took) / float64(max(idle+wait, minFirstToken))
	t.evidence = boundSlowdown(t.slowdown.value * ratio)
	t.slowdown.observe(t.evidence)
}

func boundSlowdown(s float64) float64 { return min(max(s, minSlowdown), maxSlowdown) }
