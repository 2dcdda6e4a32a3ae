package escrow

import "time"

// Options configures a Holder. The options affect how often the holder asks for
// tokens and how many it keeps; no value allows overspending.
type Options struct {
	// Horizon is the time that a holder's stock should last, so that the holder
	// can serve requests through a partition of that length.
	Horizon time.Duration
	// RefillBelow is the fraction of the horizon's demand below which the holder
	// asks for more.
	RefillBelow float64
	// RefillInterval is the time before a failed refill is sent again.
	RefillInterval time.Duration
	// WaitLimit is how long a request may wait for tokens.
	WaitLimit time.Duration
	// SliceTime is the time of demand that a claimed slice covers. A slice is at
	// most the grant's amount divided by SliceDivisor.
	SliceTime    time.Duration
	SliceDivisor Tokens
	// RecallHold is how long a new grant is kept even if it is recalled.
	RecallHold time.Duration
	// RateHalfLife is the half-life of the demand estimate.
	RateHalfLife time.Duration
	// ReportInterval is the time between two reports of spent tokens. The stocks
	// are checked at the same time, so that reports and refills share one call.
	ReportInterval time.Duration
	// DeniedRetry is the time after which a holder retries a denied refill on its
	// own.
	DeniedRetry time.Duration
	// ClaimRetry is the time after which a claim is resent to the witnesses that
	// have not replied.
	ClaimRetry time.Duration
	// ClaimGiveUp is the time after which a holder stops claiming at witnesses
	// that do not respond.
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
		DeniedRetry:    10 * time.Second,
		ClaimRetry:     200 * time.Millisecond,
		ClaimGiveUp:    time.Second,
	}
}
