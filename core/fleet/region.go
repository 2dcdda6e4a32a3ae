package fleet

import "slices"

// Region is the name of a group of places, as given in the settings.
type Region string

// Regions holds the region of each place that the settings name.
type Regions map[Place]Region

// Allows reports whether a place lies in one of the allowed regions. An empty list allows all
// places. A place without a region lies in none.
func (r Regions) Allows(allowed []Region, p Place) bool {
	if len(allowed) == 0 {
		return true
	}
	region, ok := r[p]
	return ok && slices.Contains(allowed, region)
}
