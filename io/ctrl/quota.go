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

	"go.uber.org/zap"
)

// Times of ending holders that don't respond.
const (
	// holderTimeout is longer than a partitioned holder can serve without a raise, so
	// a holder that is alive and serves has recorded raises at its witnesses by then.
	holderTimeout = 6 * time.Second
	// endRetryInterval is the time between two attempts to end a holder.
	endRetryInterval = 2 * time.Second
)

// endUnresponsiveHolders ends the holders that have sent no statement for
// holderTimeout and have recorded no raise at their witnesses since. It must run on
// the loop.
func (h *Host) endUnresponsiveHolders(now time.Time) {
	for id, holder := range h.state.Quota.Holders {
		if holder.Ended || now.Sub(h.leader.since) < holderTimeout || now.Sub(h.leader.endAttempts[id]) < endRetryInterval {
			continue
		}
		sameClock := holder.Last.Term == h.machine.HardState().Term
		if sameClock && h.logTime().Sub(holder.Last.At) < holderTimeout {
			continue
		}
		h.leader.endAttempts[id] = now
		p := predecessor{id: id, state: *holder, witnesses: h.witnessesOf(*holder)}
		h.wg.Go(func() { h.endHolder(p) })
	}
}

// endHolder ends a holder if its witnesses report no raise. It asks twice: only the
// second call fences the holder, so that a live one can go on with its raises.
func (h *Host) endHolder(p predecessor) {
	if raised, result := p.state.Assess(h.askWitnesses(p.witnesses, p.id, peek)); result != quota.Settled || len(raised) > 0 {
		return
	}
	raised, result := p.state.Assess(h.askWitnesses(p.witnesses, p.id, fence))
	if result != quota.Settled {
		return
	}
	h.log.Info("control: an unresponsive holder of budgets is ended", zap.String("holder", string(p.id)),
		zap.Stringer("addr", p.state.Addr), zap.Any("raised", raised))
	h.commit(state.Command{EndHolder: &quota.Ending{
		Holder: p.id, Seq: p.state.Seq, Evidence: quota.Evidence{Witnessed: true, Raised: raised},
	}})
}

// witnessesOf returns the addresses of a holder's witnesses. It must run on the loop.
func (h *Host) witnessesOf(holder quota.HolderState) map[fleet.NodeID]netip.AddrPort {
	out := map[fleet.NodeID]netip.AddrPort{}
	for _, w := range holder.Witnesses {
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
