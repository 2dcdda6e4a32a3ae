package escrow

import "time"

// Options tune a Holder. They change how often it asks and how much it keeps,
// never whether it may overspend.
type Options struct {
	// Horizon is the time for which a holder wants to stock tokens ahead, so
	// that it can serve through a partition of that length.
	Horizon time.Duration
	// RefillBelow is the share of the horizon's demand under which more is asked.
	RefillBelow float64
	// RefillInterval is the least time between two asks for a customer.
	RefillInterval time.Duration
	// WaitLimit is how long a request may wait for tokens.
	WaitLimit time.Duration
	// SliceDivisor sets the slice that is claimed at a time: amount / divisor.
	SliceDivisor Tokens
	// RateHalfLife is the half-life of the demand estimate.
	RateHalfLife time.Duration
	// ReportInterval is the time between two spend reports of a grant.
	ReportInterval time.Duration
	// ClaimRetry is the time after which unanswered claims are sent again.
	ClaimRetry time.Duration
	// ClaimGiveUp is the time after which claiming at silent witnesses ends.
	ClaimGiveUp time.Duration
}

// DefaultOptions returns the options that the entries run with.
func DefaultOptions() Options {
	return Options{
		Horizon:        60 * time.Minute,
		RefillBelow:    0.75,
		RefillInterval: 250 * time.Millisecond,
		WaitLimit:      2 * time.Second,
		SliceDivisor:   16,
		RateHalfLife:   2 * time.Minute,
		ReportInterval: 10 * time.Second,
		ClaimRetry:     200 * time.Millisecond,
		ClaimGiveUp:    time.Second,
	}
}
