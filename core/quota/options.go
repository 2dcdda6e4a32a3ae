package quota

import "time"

// Options tune a Holder.
type Options struct {
	// Marks open between OpenAfter and CutOff without an answer; after CutOff all
	// that was granted may be used. All holders and the control group must use the
	// same values.
	OpenAfter, CutOff time.Duration
	// Start is the demand that a holder can spend ahead at once, Ahead what it can
	// spend by CutOff: what is burned when many nodes die at once against what
	// they can serve when they are cut off.
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
		OpenAfter:    400 * time.Millisecond,
		CutOff:       2000 * time.Millisecond,
		Start:        250 * time.Millisecond,
		Ahead:        1600 * time.Millisecond,
		Interval:     150 * time.Millisecond,
		FullEvery:    time.Second,
		Urgent:       10 * time.Millisecond,
		RateHalfLife: 8 * time.Second,
		LargestLife:  10 * time.Second,
	}
}

// Opened is the share of the marks that is open when no answer has come for a
// time.
func (o Options) Opened(silent time.Duration) float64 {
	share := float64(silent-o.OpenAfter) / float64(o.CutOff-o.OpenAfter)
	return min(max(share, 0), 1)
}
