package sched

import (
	"cmp"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// SetEvacuated sets the evacuated places, unless newer ones are set already. Their upstreams
// get no requests and are no source of cached tokens, and keep their state. It reports whether
// the places are news.
func (b *Balancer) SetEvacuated(now time.Time, e fleet.Evacuations) bool {
	if !e.Newer(b.evacuated) {
		return false
	}
	for _, t := range b.targets {
		if b.evacuated.Contains(t.up.Place) && !e.Contains(t.up.Place) {
			t.returnedAt = now
		}
	}
	b.evacuated = e
	b.listServices()
	return true
}

// listServices lists the upstreams of each service that accept requests, in the order of
// their ids.
func (b *Balancer) listServices() {
	b.services = map[string][]*target{}
	for _, t := range b.targets {
		if t.open(b.evacuated) {
			b.services[t.up.Service] = append(b.services[t.up.Service], t)
		}
	}
	for _, list := range b.services {
		slices.SortFunc(list, func(t, o *target) int { return cmp.Compare(t.up.ID, o.up.ID) })
	}
}

// open reports whether the upstream accepts requests, and its place is not evacuated.
func (t *target) open(e fleet.Evacuations) bool { return t.accepts() && !e.Contains(t.up.Place) }

// accepts reports whether the upstream accepts requests.
func (t *target) accepts() bool { return t.up.State == fleet.UpstreamReady && !t.leaving }
