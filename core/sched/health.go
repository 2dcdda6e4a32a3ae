package sched

import "time"

// What a failure counts towards leaving an upstream out.
const (
	// ownStrike is this node's own failure, toldStrike one that another node tells of:
	// the fault may be on that node's way to the upstream.
	ownStrike  = 1.0
	toldStrike = 0.5
	// strikeLife is the time without a failure after which earlier ones are forgotten.
	strikeLife = 3 * time.Second
	// calmAfter is the number of answers in a row after which an upstream counts as
	// one that never failed.
	calmAfter = 5
	// maxEjections bounds how often the time of being left out doubles.
	maxEjections = 3
)

// health is what failures tell of one upstream. Part of an upstream's requests may
// fail, so an answer takes back one failure, not all.
type health struct {
	strikes  float64
	struckAt time.Time
	// calm counts the answers since the latest failure, ejected how often the upstream
	// was left out since it was calm.
	calm, ejected int
}

// strike notes a failure and returns what has gathered.
func (h *health) strike(now time.Time, weight float64) float64 {
	if now.Sub(h.struckAt) > strikeLife {
		h.strikes = 0
	}
	h.strikes += weight
	h.struckAt = now
	h.calm = 0
	return h.strikes
}

// served notes an answer.
func (h *health) served() {
	h.strikes = max(h.strikes-1, 0)
	if h.calm++; h.calm >= calmAfter {
		h.ejected = 0
	}
}

// eject notes that the upstream is left out, and returns how often its time is doubled.
// It comes back on probation: one more failure and it is left out again.
func (h *health) eject() int {
	n := h.ejected
	h.ejected = min(h.ejected+1, maxEjections)
	h.strikes = ownStrike
	return n
}
