package quota

import (
	"slices"

	"dotterelgap/core/fleet"
)

// witnessSet is the witnesses that a statement names. Half of each list must record a raise.
type witnessSet struct {
	// witnesses live in memory.
	witnesses []fleet.NodeID
	// keepers have a disk; they must record what is spent early.
	keepers []fleet.NodeID
}

func (p witnessSet) equal(o witnessSet) bool {
	return slices.Equal(p.witnesses, o.witnesses) && slices.Equal(p.keepers, o.keepers)
}

// recorded tells whether enough of the witnesses have recorded a raise.
func (p witnessSet) recorded(acked map[fleet.NodeID]bool) bool { return hasQuorum(p.witnesses, acked) }

// kept tells whether enough of the keepers have recorded a raise. Where there are none,
// the ledger does not expect it.
func (p witnessSet) kept(acked map[fleet.NodeID]bool) bool { return hasQuorum(p.keepers, acked) }

func hasQuorum(ids []fleet.NodeID, acked map[fleet.NodeID]bool) bool {
	n := 0
	for _, id := range ids {
		if acked[id] {
			n++
		}
	}
	return n >= RaiseQuorum(len(ids))
}
