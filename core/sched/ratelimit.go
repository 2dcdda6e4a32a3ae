package sched

// RateLimit is the rate of requests that an upstream accepts from all nodes together, as
// it names it in its responses.
type RateLimit struct {
	// Named is set if the upstream names a limit. PerSecond is the limit in requests per
	// second, and 0 if there is none.
	Named     bool
	PerSecond float64
}
