package quota

import "time"

// Options tune a Holder.
type Options struct {
	// CutOff is the time without an answer after which a holder uses its
	// reserve. All holders and the control group must use the same value.
	CutOff time.Duration
	// Start is the demand that a holder can spend ahead at once, Ahead what it can
	// spend by the time that it may use its reserve: what is burned when it dies
	// against what it can serve.
	Start, Ahead time.Duration
	// Interval is the time between two statements.
	Interval time.Duration
	// FullEvery is the time between two statements that name all customers; those
	// in between name what has changed.
	FullEvery time.Duration
	// Urgent is the least time between two statements when tokens run low.
	Urgent time.Duration
	// RateHalfLife is the half-life of the demand estimate.
	RateHalfLife time.Duration
	// LargestLife is how long the largest request counts.
	LargestLife time.Duration
}

// DefaultOptions returns the options that nodes run with.
func DefaultOptions() Options {
	return Options{
		CutOff:       2000 * time.Millisecond,
		Start:        250 * time.Millisecond,
		Ahead:        2300 * time.Millisecond,
		Interval:     150 * time.Millisecond,
		FullEvery:    time.Second,
		Urgent:       10 * time.Millisecond,
		RateHalfLife: 8 * time.Second,
		LargestLife:  10 * time.Second,
	}
}
