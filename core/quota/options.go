package quota

import "time"

// Options tune a Holder.
type Options struct {
	// OpenAfter is the time without an answer after which marks begin to open. They
	// reach Mark at CutOff, and go on as fast up to what was granted; from CutOff on
	// the grant opens too, evenly over GrantOpens, for customers whose demand grows.
	// All holders and the control group must use the same values.
	OpenAfter, CutOff, GrantOpens time.Duration
	// KeeperLead is how much earlier all this opens to a holder whose raises
	// keepers have recorded: they are known when all processes end at once.
	KeeperLead time.Duration
	// InitialHorizon is the demand that a holder can spend ahead at once, CutoffHorizon what it can
	// spend by CutOff: what is burned when many nodes die at once against what
	// they can serve when they are cut off.
	InitialHorizon, CutoffHorizon time.Duration
	// Interval is the time between two statements.
	Interval time.Duration
	// FullEvery is the time between two statements that name all customers; those
	// in between name what has changed.
	FullEvery time.Duration
	// Urgent is the least time between two statements when tokens run low.
	Urgent time.Duration
	// RateHalfLife is the half-life of the demand estimate.
	RateHalfLife time.Duration
	// LargestTTL is how long the largest request counts.
	LargestTTL time.Duration
}

// DefaultOptions returns the options that nodes run with.
func DefaultOptions() Options {
	return Options{
		OpenAfter:      400 * time.Millisecond,
		CutOff:         2000 * time.Millisecond,
		InitialHorizon: 250 * time.Millisecond,
		GrantOpens:     5 * time.Second,
		KeeperLead:     1200 * time.Millisecond,
		CutoffHorizon:  2500 * time.Millisecond,
		Interval:       150 * time.Millisecond,
		FullEvery:      time.Second,
		Urgent:         10 * time.Millisecond,
		RateHalfLife:   8 * time.Second,
		LargestTTL:     10 * time.Second,
	}
}
