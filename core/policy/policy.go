package policy

import (
	"time"

	"dotterelgap/core/fleet"
)

// Policy is one published version of the routing policy.
type Policy struct {
	// Number is the version of the policy; the highest one is in force.
	Number    uint64
	Routes    []Route
	Services  []Service
	Limits    Limits
	Customers []Customer
}

// Limits restrict the size and the duration of a caller's requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Customer is an account with API keys and, optionally, a prepaid budget.
type Customer struct {
	Name string
	Keys []string
	// Priority overrides the route's if set; 0 is the most urgent.
	Priority *int
	// Prepaid is the number of tokens that were paid for; nil means no limit.
	Prepaid *int64
	// Regions are the regions that may process the customer's requests; empty if all may.
	Regions []fleet.Region
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns limits the connections to one upstream from all entries together.
	MaxConns int
	// ColdFor is how long an upstream is cold after its start; 0 if it never is.
	ColdFor time.Duration
	// ColdPerSecond is the number of requests a second that a cold upstream tolerates from all
	// entries together; 0 if there is no bound.
	ColdPerSecond float64
	// Engine is set if the upstreams are model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVTokens is the size of an engine's KV cache in tokens.
	KVTokens int
	// FetchPerToken is the time to fetch the KV cache of a token from another engine, or 0 if
	// engines can't.
	FetchPerToken time.Duration
	// EventTokens is the maximum number of tokens in one event of a stream.
	EventTokens int
}
