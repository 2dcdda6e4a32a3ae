package entry

import "time"

// Limits are the limits on requests, callers and the shutdown.
type Limits struct {
	// BodyBytes limits the body of a request, HeaderBytes its header.
	BodyBytes   int64
	HeaderBytes int
	// HeaderTimeout and BodyTimeout limit how long a caller may take to send the header
	// and the body.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	// WriteTimeout limits one write to a slow caller.
	WriteTimeout time.Duration
	// RequestTimeout limits a request whose service sets no timeout.
	RequestTimeout time.Duration
	// Concurrency is the maximum number of requests in progress.
	Concurrency int
	// Attempts is the maximum number of attempts of a repeatable request.
	Attempts int
	// LeaveNotice is how long an entry that shuts down keeps serving until the load
	// balancer detects that it is not ready.
	LeaveNotice time.Duration
	// DrainTimeout limits how long the return of the grants may take.
	DrainTimeout time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:      8 << 20,
		HeaderBytes:    64 << 10,
		HeaderTimeout:  5 * time.Second,
		BodyTimeout:    30 * time.Second,
		IdleTimeout:    90 * time.Second,
		WriteTimeout:   20 * time.Second,
		RequestTimeout: 10 * time.Minute,
		Concurrency:    16_384,
		Attempts:       3,
		LeaveNotice:    5 * time.Second,
		DrainTimeout:   3 * time.Second,
	}
}

// head returns the limits on the head of a request and on idle connections.
func (l Limits) head() (bytes int, timeout, idle time.Duration) {
	return l.HeaderBytes, l.HeaderTimeout, l.IdleTimeout
}
