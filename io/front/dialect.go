package front

import (
	"net/http"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"
)

// Dialect names the headers that callers and upstreams use. It translates and
// decides nothing.
type Dialect struct {
	// RequestID carries the id of a request; answers echo it.
	RequestID string
	// EventID carries the last event that a caller has, to resume after it.
	EventID string
	// Strip lists the headers of callers that are not passed on.
	Strip []string
	// Parse reads what the headers say of a request.
	Parse func(h http.Header) Terms
	// Address sets the headers that an upstream needs.
	Address func(h http.Header, to Target)
	// NotRun tells whether an answer says that the upstream did not run the
	// request.
	NotRun func(status int, h http.Header) bool
}

// Terms is what a request says about itself.
type Terms struct {
	// Key is the caller's API key.
	Key string
	// Deadline is how long the caller waits; 0 if it did not say.
	Deadline time.Duration
	// Input and Output are the prompt's tokens and the most that may be
	// generated; 0 for plain services.
	Input, Output int
	Parts         []sched.Part
}

// Target is what a forwarded request tells its upstream.
type Target struct {
	Upstream fleet.Upstream
	Customer string
	// Left is the time that the upstream has.
	Left time.Duration
	// After is the last event that was passed on, when a stream is resumed.
	After string
}
