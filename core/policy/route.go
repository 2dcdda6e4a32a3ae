package policy

import "time"

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once marks requests that run at most once.
	Once Kind = "once"
	// Stream marks requests that are answered by a series of events. They run
	// at most once, unless the route is resumable.
	Stream Kind = "stream"
)

// Route selects a service for the requests of a host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the final answer.
	Timeout time.Duration
	// Objective is the time until the answer, or a stream's first event, within
	// which it is of full use.
	Objective time.Duration
	// MaxGap is the longest pause between events of a stream of full use.
	MaxGap time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	Split    []Share
	// Attempts bounds the upstreams that may run one request.
	Attempts int
	// Public routes need no key.
	Public bool
	// Affinity marks requests that share parts of their prompts.
	Affinity bool
	// Resumable streams may go on at another upstream after a break.
	Resumable bool
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Repeatable tells whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service picks the service for a request by a hash of its id, in proportion
// to the weights.
func (r *Route) Service(hash uint64) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}
