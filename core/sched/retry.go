package sched

import "time"

// retryBuckets is the number of steps that a window of the retry budget slides in.
const retryBuckets = 20

// RetryBudget bounds repeats to a service: in any window, at most a share of the
// requests for it, and a burst. All entries share the budget, so each uses the
// share of its own requests and an even part of the burst.
type RetryBudget struct {
	ratio    float64
	burst    float64
	step     time.Duration
	requests [retryBuckets]int
	repeats  [retryBuckets]int
	at       int64
	epoch    time.Time
}

// NewRetryBudget returns a budget of which nothing is used.
func NewRetryBudget(ratio float64, burst float64, window time.Duration, now time.Time) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, step: window / (retryBuckets - 1), epoch: now}
}

// SetBurst changes this entry's part of the burst.
func (b *RetryBudget) SetBurst(burst float64) { b.burst = burst }

// slide drops the buckets that have left the window.
func (b *RetryBudget) slide(now time.Time) int {
	at := int64(now.Sub(b.epoch) / b.step)
	for i := max(b.at+1, at-retryBuckets+1); i <= at; i++ {
		b.requests[i%retryBuckets] = 0
		b.repeats[i%retryBuckets] = 0
	}
	b.at = max(b.at, at)
	return int(b.at % retryBuckets)
}

// Request counts a caller's request.
func (b *RetryBudget) Request(now time.Time) {
	b.requests[b.slide(now)]++
}

// Take counts a repeat if the budget allows it.
func (b *RetryBudget) Take(now time.Time) bool {
	at := b.slide(now)
	requests, repeats := 0, 0
	for i := range retryBuckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	if float64(repeats+1) > b.ratio*float64(requests)+b.burst {
		return false
	}
	b.repeats[at]++
	return true
}
