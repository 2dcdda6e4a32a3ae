package fleet

import "time"

// Departure is the promise to an upstream that an incarnation of it, and all earlier ones, get no
// further requests.
type Departure struct {
	ID string `cbor:"id"`
	// Service is the service of a heartbeat that says that the upstream drains. It is empty for a leave
	// message, which counts for all services of the ID: a heartbeat of another service under the ID may
	// come from another writer.
	Service string `cbor:"service"`
	// Born is the start of the incarnation.
	Born time.Time `cbor:"born"`
	// State is UpstreamDraining or UpstreamGone.
	State UpstreamState `cbor:"state"`
}

// Key returns the key of the departures of which the latest is kept.
func (d Departure) Key() UpstreamKey { return d.Record().Key() }

// Record returns the departure as a record among those of upstreams.
func (d Departure) Record() Upstream {
	return Upstream{Departure: true, ID: d.ID, Service: d.Service, Born: d.Born, State: d.State}
}

// Covers reports whether the promise d includes e.
func (d Departure) Covers(e Departure) bool {
	return d.Key() == e.Key() && (d.Born.After(e.Born) || d.Born.Equal(e.Born) && d.State >= e.State)
}
