package sched

import "time"

// memory estimates the tokens that the running requests of all nodes hold of an engine's KV
// memory. Cached parts yield to running requests and are not counted.
type memory struct {
	// own are the tokens of this node's requests in flight, and recent those of them that other
	// nodes may not have heard of.
	own    int
	recent expiring
	// others are the tokens of other nodes' requests, until these have ended.
	others expiring
}

// Parameters of the use of an engine's memory.
const (
	// safeMemory is the share of an engine's memory that known requests may hold. The rest is for
	// those that are not known, and for requests that take longer than expected.
	safeMemory = 0.8
	// fillMemory is the share of the safe part up to which any request is sent. Up to all of it,
	// only one that fits is, so that small prompts leave room for large ones.
	fillMemory = 0.5
	// partFactor is by how much the parts of the nodes exceed what is free, since nodes are not
	// all as busy and most use half of their part at most.
	partFactor = 1.5
	// updateDelay is the time after which other nodes have heard of a request.
	updateDelay = time.Second
	// lastsFactor is the factor of its expected duration for which another node's request counts.
	lastsFactor = 1.5
)

// held are the tokens that a request of this node holds.
type held struct {
	at             time.Time
	tokens, output int
	// recentUntil identifies its part of memory.recent.
	recentUntil int64
}

// need returns the most tokens that the request holds.
func (q Query) need() int { return q.Input + q.Output }

// hold records a request of this node.
func (t *target) hold(now time.Time, q Query) held {
	t.memory.own += q.need()
	until := t.memory.recent.add(now, q.need(), updateDelay)
	return held{at: now, tokens: q.need(), output: q.Output, recentUntil: until}
}

// lasts returns how long a request is expected to run.
func (t *target) lasts(q Query, c Choice) time.Duration {
	d := c.firstTokenIn() + t.speed.outputTime(q.Output)
	if q.Deadline > 0 {
		d = min(d, q.Deadline)
	}
	return d
}

// release records that a request of this node has ended.
func (t *target) release(h held) {
	t.memory.own -= h.tokens
	t.memory.recent.remove(h.recentUntil, h.tokens)
}

// heldByOther records a request of another node.
func (t *target) heldByOther(now time.Time, tokens int, lasts time.Duration) {
	if t.engine.KVTokens > 0 {
		t.memory.others.add(now, t.bounded(tokens), scale(lasts, lastsFactor))
	}
}

// bounded returns the number of tokens that another node told, at most the engine's memory.
func (t *target) bounded(tokens int) int {
	if t.engine.KVTokens > 0 {
		return min(tokens, t.engine.KVTokens)
	}
	return tokens
}

// holds returns the tokens that all known requests hold.
func (t *target) holds(now time.Time) int { return t.memory.own + t.memory.others.total(now) }

// tooSmall reports whether the engine's memory can't hold the tokens.
func (t *target) tooSmall(tokens int) bool {
	return t.engine.KVTokens > 0 && tokens > t.engine.KVTokens
}

// fits reports whether the engine's memory has room for a request that holds so many tokens.
func (b *Balancer) fits(now time.Time, t *target, tokens int) bool {
	if !b.opts.GuardMemory || t.engine.KVTokens <= 0 || tokens <= 0 {
		return true
	}
	if t.tooSmall(tokens) {
		return false
	}
	holds := t.holds(now)
	if holds == 0 {
		return true
	}
	safe := safeMemory * float64(t.engine.KVTokens) * b.share
	if !roomFor(tokens, holds, safe) {
		return false
	}
	// Until the nodes have heard of each other's requests, each uses its part of what is free.
	recent := t.memory.recent.total(now)
	free := safe - float64(max(holds-recent, 0))
	return recent == 0 || roomFor(tokens, recent, partFactor*free/float64(max(b.nodes, 1)))
}

// roomFor reports whether requests that hold so many tokens leave room for a further one.
func roomFor(tokens, holds int, size float64) bool {
	return float64(holds) <= fillMemory*size && float64(holds+tokens) <= size
}

// SetNodes sets the number of nodes in contact with this one, including itself. They place
// requests on the same engines.
func (b *Balancer) SetNodes(n int) { b.nodes = n }

// MemoryReason returns TooLarge if the memory of none of the engines that the request may go to
// can hold it, and Full if it has no room at one of them now; ok is false if neither is the case.
func (b *Balancer) MemoryReason(now time.Time, q Query) (r Reason, ok bool) {
	full, all := false, true
	for _, t := range b.services[q.Service] {
		if !b.inRegions(t, q) {
			continue
		}
		full = full || !b.fits(now, t, q.need())
		all = all && t.tooSmall(q.need())
	}
	if full && all {
		return TooLarge, true
	}
	return Full, full
}
