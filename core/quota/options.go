package quota

import "time"

// Options tune a Holder.
type Options struct {
	// CutOff is the time without an answer after which a holder uses its
	// reserve. All holders and the control group must use the same value.
	CutOff time.Duration
	// Interval is the time between two statements.
	Interval time.Duration
	// Urgent is the least time between two statements when tokens run low.
	Urgent time.Duration
	// RateHalfLife is the half-life of the demand estimate.
	RateHalfLife time.Duration
	// MarkShare is the least part of its unspent allowance that a holder marks.
	MarkShare float64
}

// DefaultOptions returns the options that nodes run with.
func DefaultOptions() Options {
	return Options{
		CutOff:       5 * time.Second,
		Interval:     500 * time.Millisecond,
		Urgent:       100 * time.Millisecond,
		RateHalfLife: 3 * time.Second,
		MarkShare:    0.4,
	}
}
