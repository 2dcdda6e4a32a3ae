package quota

import (
	"slices"

	"dotterelgap/core/fleet"
)

// witnessSet holds the witnesses that a statement names. Half of each list must record a
// raise.
type witnessSet struct {
	// witnesses keep their records in memory.
	witnesses []fleet.NodeID
	// keepers have a disk. They must record what is spent early without a reply.
	keepers []fleet.NodeID
}

func (p witnessSet) equal(o witnessSet) bool {
	return slices.Equal(p.witnesses, o.witnesses) && slices.Equal(p.keepers, o.keepers)
}

// recorded reports whether enough witnesses have recorded a raise.
func (p witnessSet) recorded(acked map[fleet.NodeID]bool) bool { return hasQuorum(p.witnesses, acked) }

// kept reports whether enough keepers have recorded a raise. It is true if there are no
// keepers, since the ledger then expects no record.
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
