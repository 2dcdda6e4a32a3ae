package policy

import (
	"time"

	"dotterelgap/core/fleet"
)

// Kind states whether the requests of a route may run more than once.
type Kind string

// The kinds of routes.
const (
	// Idempotent marks requests that may run more than once.
	Idempotent Kind = "idempotent"
	// Once marks requests that run at most once.
	Once Kind = "once"
	// Stream marks requests whose response is a stream of events. They run at most
	// once, unless the route is resumable.
	Stream Kind = "stream"
)

// Route selects a service for the requests of a host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits the time until the response is complete.
	Timeout time.Duration
	// Objective is the latency objective: the time to the response, or to the first
	// event of a stream, up to which the response has its full value.
	Objective time.Duration
	// MaxGap is the longest pause between events up to which a stream has its full
	// value.
	MaxGap time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	Split    []Share
	// Attempts limits the number of upstreams that may run one request.
	Attempts int
	// Public marks a route that requires no API key.
	Public bool
	// Affinity marks a route whose requests share parts of their prompts.
	Affinity bool
	// Resumable marks a route whose streams may continue at another upstream after a
	// break.
	Resumable bool
	// Regions are the regions that may process the route's requests; empty if all may.
	Regions []fleet.Region
}

// Share is the weight of a service in the split of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service returns the service for a request by a hash of its id, in proportion to
// the weights, or an empty string if there is none.
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
	point := int(hash % uint64(total))
	for _, s := range r.Split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}
