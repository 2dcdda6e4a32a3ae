package sched

import "time"

// Parameters of the failure score, which decides when an upstream is ejected.
const (
	// ownFailure is the weight of a failure that this node saw, and reportedFailure of
	// one that another node reported. The latter weighs less because the fault may be
	// on the path from that node to the upstream.
	ownFailure      = 1.0
	reportedFailure = 0.5
	// failureScoreTTL is the time without a failure after which earlier failures no
	// longer count.
	failureScoreTTL = 3 * time.Second
	// recoveredAfter is the number of consecutive successes after which an upstream's
	// earlier ejections no longer lengthen the next one.
	recoveredAfter = 5
	// maxEjections limits how often the duration of an ejection doubles.
	maxEjections = 3
)

// health is the failure state of one upstream. An upstream may fail only a part of
// its requests, so a success takes back one failure, not all of them.
type health struct {
	score         float64
	lastFailureAt time.Time
	// successes counts the successes since the latest failure, and ejections the
	// ejections since the upstream last recovered.
	successes, ejections int
}

// recordFailure adds a failure to the score and returns the new score.
func (h *health) recordFailure(now time.Time, weight float64) float64 {
	if now.Sub(h.lastFailureAt) > failureScoreTTL {
		h.score = 0
	}
	h.score += weight
	h.lastFailureAt = now
	h.successes = 0
	return h.score
}

// recordSuccess takes one failure off the score.
func (h *health) recordSuccess() {
	h.score = max(h.score-1, 0)
	if h.successes++; h.successes >= recoveredAfter {
		h.ejections = 0
	}
}

// eject records an ejection and returns how often its duration is to be doubled.
// It leaves one failure in the score, so that one more failure within
// failureScoreTTL ejects the upstream again.
func (h *health) eject() int {
	n := h.ejections
	h.ejections = min(h.ejections+1, maxEjections)
	h.score = ownFailure
	return n
}
