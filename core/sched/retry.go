package sched

import "time"

// retryBuckets is the number of buckets of a retry budget's sliding window.
const retryBuckets = 40

// RetryBudget limits the retries of one service: in any window, to a share of the
// requests for it plus a burst. All entries share the limit without coordination, so
// each applies the share to its own requests and gets an equal part of the burst, also of the
// entries on the other side of a partition (see Entries). Requests count for at most the window
// and retries for at least as long, so that the limit holds in every window.
type RetryBudget struct {
	ratio float64
	burst float64
	// burstFrom is when this entry may use its part of the burst.
	burstFrom time.Time
	step      time.Duration
	requests  [retryBuckets]int
	retries   [retryBuckets]int
	at        int64
	epoch     time.Time
}

// NewRetryBudget returns an unused budget.
func NewRetryBudget(ratio float64, burst float64, window time.Duration, now time.Time) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, step: window / (retryBuckets - 1), epoch: now}
}

// SetBurst sets this entry's part of the burst.
func (b *RetryBudget) SetBurst(burst float64) { b.burst = burst }

// DelayBurst leaves the burst unused until a time. An entry that has restarted does not know what it used of
// it before, so it waits for a window.
func (b *RetryBudget) DelayBurst(until time.Time) { b.burstFrom = until }

// slide clears the buckets that have left the window and returns the index of the
// current one.
func (b *RetryBudget) slide(now time.Time) int {
	at := int64(now.Sub(b.epoch) / b.step)
	for i := max(b.at+1, at-retryBuckets+1); i <= at; i++ {
		b.requests[i%retryBuckets] = 0
		b.retries[i%retryBuckets] = 0
	}
	b.at = max(b.at, at)
	return int(b.at % retryBuckets)
}

// Request counts a caller's request.
func (b *RetryBudget) Request(now time.Time) {
	b.requests[b.slide(now)]++
}

// Take counts a retry and returns true if the budget allows it.
func (b *RetryBudget) Take(now time.Time) bool {
	at := b.slide(now)
	requests, retries := 0, 0
	for i := range retryBuckets {
		retries += b.retries[i]
		// The oldest bucket began up to a step before the window.
		if i != (at+1)%retryBuckets {
			requests += b.requests[i]
		}
	}
	allowed := b.ratio * float64(requests)
	if !now.Before(b.burstFrom) {
		allowed += b.burst
	}
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[at]++
	return true
}
