package quota

import (
	"slices"

	"dotterelgap/core/fleet"
)

// panel is the witnesses that a statement names.
type panel struct {
	// witnesses live in memory; half of them must record a raise.
	witnesses []fleet.NodeID
	// keepers have a disk; one of them must record what is spent early.
	keepers []fleet.NodeID
}

func (p panel) equal(o panel) bool {
	return slices.Equal(p.witnesses, o.witnesses) && slices.Equal(p.keepers, o.keepers)
}

// recorded tells whether enough of the witnesses have recorded a raise.
func (p panel) recorded(acked map[fleet.NodeID]bool) bool {
	n := 0
	for _, id := range p.witnesses {
		if acked[id] {
			n++
		}
	}
	return n >= toRaise(len(p.witnesses))
}

// kept tells whether a keeper has recorded a raise. Where there are none, the
// ledger does not expect it.
func (p panel) kept(acked map[fleet.NodeID]bool) bool {
	return len(p.keepers) == 0 || slices.ContainsFunc(p.keepers, func(id fleet.NodeID) bool { return acked[id] })
}
