package quota

import (
	"time"

	"dotterelgap/core/demand"
)

// localAllocation is a holder's allocation of one customer.
type localAllocation struct {
	known     bool
	unbounded bool
	granted   Tokens
	// cutoffLimit is what the ledger confirmed, or less if a later statement named a
	// lower one.
	cutoffLimit Tokens
	// initialLimit is the part of cutoffLimit that may be spent immediately. watermark
	// is what witnesses have recorded since the latest reply, keeperWatermark what
	// keepers have.
	initialLimit    Tokens
	watermark       Tokens
	keeperWatermark Tokens
	spent           Tokens
	// reserved is the sum of the worst cases of all requests in progress, begun the part of it of
	// those that have begun.
	reserved, begun Tokens
	// loans is what was borrowed and is not reserved yet.
	loans Tokens
	// lending is what another node wants to borrow and no witness has recorded yet.
	lending Tokens
	// waiting holds the worst cases of requests that wait for tokens, by request.
	waiting map[string]Tokens
	// ready holds the worst cases of requests that wait to begin, by request.
	ready map[string]Tokens
	// missed is the worst case of the largest request that was refused for want of tokens that
	// the customer has elsewhere, and whose caller may be back until missedUntil.
	missed      Tokens
	missedUntil time.Time
	// recall is set if the ledger asks for the return of what is above keep.
	recall  bool
	keep    Tokens
	unspent Tokens
	rate    demand.Rate
	// seeded is set if the rate comes from the previous holder and was not in a
	// statement since.
	seeded bool
	// statedSpent, statedReserved and statedBegun are the values in the latest statement.
	statedSpent, statedReserved, statedBegun Tokens
	// largest is the worst case of the largest request since largestAt.
	largest   Tokens
	largestAt time.Time
}

// trackLargest records the size of the largest recent request.
func (alloc *localAllocation) trackLargest(now time.Time, worst Tokens, ttl time.Duration) {
	if worst >= alloc.largest || now.Sub(alloc.largestAt) > ttl {
		alloc.largest, alloc.largestAt = worst, now
	}
}

// missedNeed returns the worst case of the largest request that was refused lately.
func (alloc *localAllocation) missedNeed(now time.Time) Tokens {
	if !now.Before(alloc.missedUntil) {
		return 0
	}
	return alloc.missed
}

// need returns the sum of the worst cases of all waiting requests, or what was needed lately.
func (alloc *localAllocation) need(now time.Time) Tokens {
	var sum Tokens
	for _, n := range alloc.waiting {
		sum += n
	}
	return max(sum, alloc.missedNeed(now))
}

// unbegun returns the sum of the worst cases of the requests that have not begun.
func (alloc *localAllocation) unbegun() Tokens { return alloc.reserved - alloc.begun }

// readyTokens returns the sum of the worst cases of the requests that wait to begin.
func (alloc *localAllocation) readyTokens() Tokens {
	var sum Tokens
	for _, n := range alloc.ready {
		sum += n
	}
	return sum
}

// changed reports whether the next statement must name the customer.
func (alloc *localAllocation) changed() bool {
	return !alloc.known || alloc.recall || alloc.seeded || len(alloc.waiting) > 0 || len(alloc.ready) > 0 ||
		alloc.spent != alloc.statedSpent || alloc.reserved != alloc.statedReserved || alloc.begun != alloc.statedBegun
}
