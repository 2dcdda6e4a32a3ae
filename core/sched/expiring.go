package sched

import "time"

// expiring is a sum of tokens each of which counts for a time.
type expiring struct {
	sum int
	// step is the number of the current step since epoch.
	step  int64
	epoch time.Time
	// ends holds the tokens that count up to the end of a step, by its number.
	ends [expirySteps]int
}

const (
	// expiryStep is the accuracy of an expiring sum, and expirySteps the number of steps for which
	// tokens may count.
	expiryStep  = 500 * time.Millisecond
	expirySteps = 32
)

// add adds tokens that count for a time, rounded up and at most expirySteps. It returns the last
// step in which they count.
func (e *expiring) add(now time.Time, tokens int, lasts time.Duration) int64 {
	if e.epoch.IsZero() {
		e.epoch = now
	}
	e.advance(now)
	until := e.step + min(int64((lasts+expiryStep-1)/expiryStep), expirySteps-1)
	e.ends[until%expirySteps] += tokens
	e.sum += tokens
	return until
}

// remove removes tokens before their time.
func (e *expiring) remove(until int64, tokens int) {
	if until >= e.step && !e.epoch.IsZero() {
		e.ends[until%expirySteps] -= tokens
		e.sum -= tokens
	}
}

// total returns the tokens that count now.
func (e *expiring) total(now time.Time) int {
	if e.sum == 0 {
		return 0
	}
	e.advance(now)
	return e.sum
}

// advance forgets the tokens whose time has passed.
func (e *expiring) advance(now time.Time) {
	to := int64(now.Sub(e.epoch) / expiryStep)
	for n := min(to-e.step, expirySteps); n > 0; n-- {
		i := (e.step + n - 1) % expirySteps
		e.sum -= e.ends[i]
		e.ends[i] = 0
	}
	e.step = max(e.step, to)
}
