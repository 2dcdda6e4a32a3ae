package front

import (
	"net/http"
	"net/netip"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"
)

// Dialect describes the headers that callers and upstreams use. It translates
// headers only and makes no decisions.
type Dialect struct {
	// RequestID is the header with the id of a request; responses echo it.
	RequestID string
	// EventID is the header with the id of the last event that was received, from
	// which a stream is resumed.
	EventID string
	// Strip lists the headers of callers that are not forwarded.
	Strip []string
	// Parse reads the description of a request from its headers.
	Parse func(h http.Header) RequestInfo
	// SetHeaders sets the headers of a request to an upstream.
	SetHeaders func(h http.Header, to Target)
	// NotRun reports whether a response states that the upstream did not run the
	// request.
	NotRun func(status int, h http.Header) bool
	// Signals returns what an upstream says of itself in a response.
	Signals func(status int, h http.Header) sched.Signals
}

// RequestInfo is the description of a request in its headers.
type RequestInfo struct {
	// Key is the caller's API key.
	Key string
	// Deadline is how long the caller waits; 0 if not given.
	Deadline time.Duration
	// Input is the number of tokens in the prompt, and Output the most that may be
	// generated. Both are 0 for services that are not model engines.
	Input, Output int
	Parts         []sched.Part
	// Malformed is set if the numbers of tokens are given and can't be understood.
	Malformed bool
}

// MaxTokens is the largest number of tokens that Input and Output may be.
const MaxTokens = 1 << 30

// Target describes a forwarded request to its upstream.
type Target struct {
	Upstream fleet.Upstream
	Customer string
	// Engine is set if the upstream is a model engine, and Rank is the request's priority; 0 is
	// the most urgent.
	Engine bool
	Rank   int
	// Source is the address of the engine from which Upstream is to fetch cached tokens, if it
	// is valid.
	Source netip.AddrPort
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// LastEventID is the id of the last event that was relayed to the caller, if a
	// stream is being resumed.
	LastEventID string
}
