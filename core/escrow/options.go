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
	// SliceTime is the demand for which a slice is claimed at a time, and amount
	// / SliceDivisor is the most that a slice may be.
	SliceTime    time.Duration
	SliceDivisor Tokens
	// RecallHold is how long a new grant is kept although it is recalled.
	RecallHold time.Duration
	// RateHalfLife is the half-life of the demand estimate.
	RateHalfLife time.Duration
	// ReportInterval is the time between two reports of spent tokens. Stocks are
	// looked at then too, so that all of it shares one call.
	ReportInterval time.Duration
	// AskAgain is the time after which a denied holder asks again unbidden.
	AskAgain time.Duration
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
		SliceTime:      5 * time.Second,
		SliceDivisor:   16,
		RecallHold:     3 * time.Second,
		RateHalfLife:   15 * time.Minute,
		ReportInterval: time.Minute,
		AskAgain:       10 * time.Second,
		ClaimRetry:     200 * time.Millisecond,
		ClaimGiveUp:    time.Second,
	}
}
