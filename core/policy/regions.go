package policy

import (
	"maps"
	"slices"

	"dotterelgap/core/fleet"
)

// Regions returns all regions that the policy names, each once and sorted.
func (p *Policy) Regions() []fleet.Region {
	all := map[fleet.Region]bool{}
	for _, r := range p.Routes {
		for _, region := range r.Regions {
			all[region] = true
		}
	}
	for _, cu := range p.Customers {
		for _, region := range cu.Regions {
			all[region] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
