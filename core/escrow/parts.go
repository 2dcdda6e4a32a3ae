package escrow

import (
	"cmp"
	"slices"
)

func hasGrant(parts []Part, id GrantID) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return p.Grant == id })
}

func compareCharges(a, b Charge) int {
	return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Attempt, b.Attempt))
}
