package route

import "time"

// Options tune a Router.
type Options struct {
	// Subset is the maximum number of upstreams of a service that one entry uses.
	Subset int
	// Samples is the number of randomly chosen candidates per decision.
	Samples int
	// RemotePenalty is added to the predicted time of an upstream in another place.
	RemotePenalty time.Duration
	// TokenTime is the initial estimate of the prefill time per token.
	TokenTime time.Duration
	// QueueTime is the initial estimate of the wait for each request ahead in the queue.
	QueueTime time.Duration
	// SlowStart is the time over which a new upstream ramps up to full use.
	SlowStart time.Duration
	// EjectAfter is the number of consecutive failures that eject an upstream.
	EjectAfter int
	// EjectTime is the duration of the first ejection.
	EjectTime time.Duration
	// EjectShare is the maximum share of a service's upstreams that may be ejected at
	// the same time.
	EjectShare float64
	// SlowFactor is the ratio of an upstream's time to first token to the service's
	// median above which the upstream is ejected.
	SlowFactor float64
	// CacheBlocks is the number of prompt blocks recorded per upstream.
	CacheBlocks int
	// BlockTokens is the number of tokens per prompt block.
	BlockTokens int
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{
		Subset:        32,
		Samples:       4,
		RemotePenalty: 5 * time.Millisecond,
		TokenTime:     100 * time.Microsecond,
		QueueTime:     50 * time.Millisecond,
		SlowStart:     10 * time.Second,
		EjectAfter:    3,
		EjectTime:     5 * time.Second,
		EjectShare:    0.3,
		SlowFactor:    3,
		CacheBlocks:   4096,
		BlockTokens:   64,
	}
}
