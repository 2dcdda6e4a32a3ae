package sched

import "time"

// Action is what admission decides to do with a request.
type Action uint8

// The actions.
const (
	// Send means that the request may be sent now.
	Send Action = iota
	// Wait means that the request is asked for again once the state changes, or after a time.
	Wait
	// Reject means that the request can't be served in time.
	Reject
)

// String returns the name of the action in logs and metrics.
func (a Action) String() string { return [...]string{"send", "wait", "reject"}[a] }

// Reason is why an upstream was left out, or why a request waits or is rejected.
type Reason string

// The reasons, as they appear in logs and metrics.
const (
	// Evacuated means that the operators have evacuated the places of the upstreams.
	Evacuated Reason = "evacuated"
	// OutsideRegions means that no upstream lies in a region that the request may go to.
	OutsideRegions Reason = "outside_regions"
	// Draining means that the upstream is about to shut down.
	Draining Reason = "draining"
	// Avoided means that the upstream has failed lately or wants no requests from another node. It
	// gets one if there is no other.
	Avoided Reason = "avoided"
	// Paced means that the upstreams have started or recovered lately and get more requests later.
	Paced Reason = "paced"
	// RateLimited means that the upstreams name a limit that is reached.
	RateLimited Reason = "rate_limited"
	// UpstreamPaused means that the upstreams want no requests for a time.
	UpstreamPaused Reason = "paused"
	// Full means that the places or the memory of the upstreams are taken.
	Full Reason = "full"
	// TooLarge means that the upstreams' memory can't hold the prompt and the output.
	TooLarge Reason = "too_large"
	// Late means that the response would be later than the objective or the deadline.
	Late Reason = "late"
	// Overloaded means that this entry has no capacity left.
	Overloaded Reason = "overloaded"
)

// Decision is what admission (core/admit) decides on a request.
type Decision struct {
	Action Action
	// After is when a request that waits is to be asked for again at the latest, or when a
	// caller whose request is rejected may come back with success.
	After time.Duration
	// Reason is why the request waits or is rejected.
	Reason Reason
}
