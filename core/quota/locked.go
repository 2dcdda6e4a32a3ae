package quota

import (
	"cmp"
	"slices"

	"dotterelgap/core/fleet"
)

// Locked is what holders that are not heard have of one customer and have not reported as used.
type Locked struct {
	Customer string `json:"customer"`
	Tokens   Tokens `json:"tokens"`
}

// Locked returns what the holders that match have, with the largest amounts first.
func (l *Ledger) Locked(match func(fleet.NodeID) bool) []Locked {
	var out []Locked
	for c, a := range l.Accounts {
		sum := Tokens(0)
		for id, r := range a.Allocations {
			if a.Bounded && match(id) {
				sum += r.Granted - r.Used
			}
		}
		if sum > 0 {
			out = append(out, Locked{Customer: c, Tokens: sum})
		}
	}
	slices.SortFunc(out, func(a, b Locked) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Customer, b.Customer))
	})
	return out
}
