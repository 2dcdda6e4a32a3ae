package policy

import "time"

// Policy is one published version of the routing policy.
type Policy struct {
	// Number orders policies; the highest one is in force.
	Number    uint64
	Routes    []Route
	Services  []Service
	Limits    Limits
	Customers []Customer
}

// Limits bound what one caller may send, and for how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Customer is who pays in advance.
type Customer struct {
	Name string
	Keys []string
	// Priority goes before the route's, if set; 0 is the most urgent.
	Priority *int
	// Prepaid is the number of tokens that were paid for; nil means no bound.
	Prepaid *int64
}

// Service names a group of upstreams that can stand in for one another.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections to one upstream over all entries.
	MaxConns int
	// Engine is set where the upstreams are model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// KVTokens is the size of an engine's KV cache in tokens.
	KVTokens int
	// EventTokens is the most tokens that one event of a stream holds.
	EventTokens int
}
