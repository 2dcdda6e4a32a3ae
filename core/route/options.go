package route

import "time"

// Options tune a Router.
type Options struct {
	// Subset is the number of upstreams of a service that one entry uses.
	Subset int
	// Samples is the number of random candidates per decision.
	Samples int
	// RemotePenalty is added for an upstream in another place.
	RemotePenalty time.Duration
	// TokenTime is the prefill time per token of an upstream not yet known.
	TokenTime time.Duration
	// TurnTime is the wait per request in the queue of an unknown upstream.
	TurnTime time.Duration
	// SlowStart is the time over which a new upstream comes into full use.
	SlowStart time.Duration
	// EjectAfter is the number of failures in a row that eject an upstream.
	EjectAfter int
	// EjectFor is how long it is ejected the first time.
	EjectFor time.Duration
	// EjectShare is the largest share of a service that may be ejected.
	EjectShare float64
	// SlowFactor: an upstream whose times are this much above the service's
	// median counts as failing.
	SlowFactor float64
	// CacheBlocks is the number of prompt blocks remembered per upstream.
	CacheBlocks int
	// BlockTokens is the number of tokens per prompt block.
	BlockTokens int
}

// DefaultOptions returns the options that entries run with.
func DefaultOptions() Options {
	return Options{
		Subset:        32,
		Samples:       4,
		RemotePenalty: 5 * time.Millisecond,
		TokenTime:     100 * time.Microsecond,
		TurnTime:      50 * time.Millisecond,
		SlowStart:     10 * time.Second,
		EjectAfter:    3,
		EjectFor:      5 * time.Second,
		EjectShare:    0.3,
		SlowFactor:    3,
		CacheBlocks:   4096,
		BlockTokens:   64,
	}
}
