package entry

import "time"

// Limits bound what one caller or one process may take.
type Limits struct {
	// BodyBytes bounds a request's body, HeaderBytes its header.
	BodyBytes   int64
	HeaderBytes int
	// HeaderTimeout and BodyTimeout bound how long a caller may take to send.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	// WriteTimeout bounds one write to a slow caller.
	WriteTimeout time.Duration
	// RequestTimeout bounds a request whose service sets no timeout.
	RequestTimeout time.Duration
	// Concurrency is the number of requests in progress.
	Concurrency int
	// Attempts bounds the tries of one repeatable request.
	Attempts int
	// LeaveNotice is how long an entry that leaves goes on serving while the
	// balancer notices.
	LeaveNotice time.Duration
	// DrainTimeout bounds giving the escrow back.
	DrainTimeout time.Duration
}

// DefaultLimits returns the limits that entries run with.
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
