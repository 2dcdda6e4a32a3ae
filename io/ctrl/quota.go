package ctrl

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"
	"dotterelgap/core/raft"
	"dotterelgap/core/state"
	"dotterelgap/io/wire"
)

// witnessesOf returns the addresses of the witnesses of a holder whose reports the ledger does not
// have. It must run on the loop.
func (h *Host) witnessesOf(holder quota.HolderState) map[fleet.NodeID]netip.AddrPort {
	out := map[fleet.NodeID]netip.AddrPort{}
	for _, w := range holder.Unheard() {
		if s, ok := h.state.Quota.Holders[w]; ok {
			out[w] = s.Addr
		}
	}
	return out
}

// keeperPrefix is the prefix of the ids of keepers.
const keeperPrefix = "keeper-"

// KeeperID returns the id of the keeper on a control host's disk.
func KeeperID(m raft.MemberID) fleet.NodeID {
	return fleet.NodeID(fmt.Sprintf("%s%016x", keeperPrefix, uint64(m)))
}

// IsKeeper reports whether an id is that of a keeper.
func IsKeeper(id fleet.NodeID) bool { return strings.HasPrefix(string(id), keeperPrefix) }

// keepersOf returns the addresses of a holder's keepers. The address of a keeper that
// is no longer a member is the zero value. It must run on the loop.
func (h *Host) keepersOf(holder quota.HolderState) map[fleet.NodeID]netip.AddrPort {
	out := map[fleet.NodeID]netip.AddrPort{}
	for _, k := range holder.Keepers {
		out[k] = netip.AddrPort{}
	}
	for _, m := range h.machine.Status().Members.Members {
		if _, ok := out[KeeperID(m.ID)]; ok {
			out[KeeperID(m.ID)] = m.Addr
		}
	}
	return out
}

// HolderEnded reports whether the ledger has ended a holder, as of this host's
// applied state.
func (h *Host) HolderEnded(id fleet.NodeID) bool {
	ended := false
	h.onLoop(func(time.Time) { ended = h.state.Quota.Ended(id) })
	return ended
}

// Quota records a holder's statement and replies with its allowances. A statement
// from the successor of another holder is recorded only once that holder's end is
// assessed; until then the reply is undecided.
func (s *Service) Quota(args *quota.Statement, reply *wire.QuotaReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	st := *args
	if p, ok := h.findPredecessor(st); ok {
		if !p.upToDate {
			// Without an assessment the statement must not be recorded, and this host
			// may have become the leader by the time of a commit.
			h.onLoop(func(time.Time) { reply.Hint = h.hint() })
			reply.Undecided = true
			return nil
		}
		var decided bool
		if st.Replaces, decided = h.assessEnding(p, st, bootTime()); !decided {
			reply.Undecided = true
			return nil
		}
	}
	res, hint := h.commit(state.Command{Quota: &st})
	reply.Hint, reply.Allowances, reply.Ended, reply.Undecided = hint, res.Allowances, res.Ended, res.NotRecorded
	return nil
}
