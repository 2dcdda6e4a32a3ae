package sched

import "dotterelgap/core/fleet"

// SetRegions sets the regions of the places.
func (b *Balancer) SetRegions(r fleet.Regions) { b.regions = r }

// inRegions reports whether both the route and the customer allow the upstream's region.
func (b *Balancer) inRegions(t *target, q Query) bool {
	return b.regions.Allows(q.RouteRegions, t.up.Place) && b.regions.Allows(q.CustomerRegions, t.up.Place)
}

// Barred reports whether the operators let no known upstream of the service get the request,
// and whether that is because of Evacuated or OutsideRegions.
func (b *Balancer) Barred(q Query) (reason Reason, barred bool) {
	known, inside, evacuated := false, false, false
	for _, t := range b.targets {
		if t.up.Service != q.Service {
			continue
		}
		known = true
		if !b.inRegions(t, q) {
			continue
		}
		inside = true
		if t.open(b.evacuated) {
			return "", false
		}
		evacuated = evacuated || t.accepts()
	}
	switch {
	case evacuated:
		return Evacuated, true
	case known && !inside:
		return OutsideRegions, true
	}
	return "", false
}
