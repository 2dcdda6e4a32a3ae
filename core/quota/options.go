package quota

import "time"

// Options tune a Holder.
type Options struct {
	// OpenAfter is the time without a reply after which allocations begin to open. What
	// is open reaches the cutoff limit at CutOff and grows at the same rate up to what
	// was granted. From CutOff on the grant opens too, evenly over GrantOpens, for
	// customers whose demand grows. All holders and the control group must use the same
	// values.
	OpenAfter, CutOff, GrantOpens time.Duration
	// KeeperLead is how much earlier allocations open for a holder whose raises keepers
	// have recorded, since those records survive the end of all processes.
	KeeperLead time.Duration
	// InitialHorizon is the span of demand that a holder can let begin immediately,
	// CutoffHorizon the span that it can spend by CutOff. They trade the tokens that are
	// forfeited when many nodes die together against what nodes can serve while they are
	// partitioned.
	InitialHorizon, CutoffHorizon time.Duration
	// CutoffRequests is the number of requests of the largest recent size that a holder can
	// spend at least by CutOff.
	CutoffRequests int
	// Interval is the time between statements.
	Interval time.Duration
	// FullEvery is the time between statements that name all customers. Those in
	// between name only the customers that have changed.
	FullEvery time.Duration
	// Urgent is the minimum time between statements when tokens run low.
	Urgent time.Duration
	// RateHalfLife is the half-life of the demand estimate.
	RateHalfLife time.Duration
	// LargestTTL is how long the largest request is remembered.
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
		CutoffRequests: 2,
		Interval:       150 * time.Millisecond,
		FullEvery:      time.Second,
		Urgent:         10 * time.Millisecond,
		RateHalfLife:   8 * time.Second,
		LargestTTL:     10 * time.Second,
	}
}
