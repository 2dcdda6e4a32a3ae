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

// Times of ending holders that are silent.
const (
	// holderSilence is longer than a holder in a cut can do without its witnesses,
	// so that one that lives and serves has told them.
	holderSilence = 6 * time.Second
	// endAgain is the time between two attempts to end a holder.
	endAgain = 2 * time.Second
)

// endSilent looks for holders that have been silent for long, and ends those
// whose witnesses have not seen them at work since. Loop only.
func (h *Host) endSilent(now time.Time) {
	for id, life := range h.state.Quota.Holders {
		if life.Ended || now.Sub(h.duty.since) < holderSilence || now.Sub(h.duty.ending[id]) < endAgain {
			continue
		}
		sameClock := life.Last.Term == h.machine.HardState().Term
		if sameClock && h.steady().Sub(life.Last.At) < holderSilence {
			continue
		}
		h.duty.ending[id] = now
		r := replaced{id: id, life: *life, witnesses: h.witnessesOf(*life)}
		h.wg.Go(func() { h.endHolder(r) })
	}
}

func (h *Host) endHolder(r replaced) {
	if raised, verdict := r.life.Assess(h.ask(r.witnesses, r.id, peek)); verdict != quota.Settled || len(raised) > 0 {
		return
	}
	raised, verdict := r.life.Assess(h.ask(r.witnesses, r.id, fence))
	if verdict != quota.Settled {
		return
	}
	h.log.Info("control: a silent holder of budgets is ended", zap.String("holder", string(r.id)),
		zap.Stringer("addr", r.life.Addr), zap.Any("raised", raised))
	h.commit(state.Command{EndHolder: &quota.Ending{
		Holder: r.id, Seq: r.life.Seq, Evidence: quota.Evidence{Witnessed: true, Raised: raised},
	}})
}

// witnessesOf finds the addresses of a holder's witnesses. Loop only.
func (h *Host) witnessesOf(life quota.HolderState) map[fleet.NodeID]netip.AddrPort {
	out := map[fleet.NodeID]netip.AddrPort{}
	for _, w := range life.Witnesses {
		if l, ok := h.state.Quota.Holders[w]; ok {
			out[w] = l.Addr
		}
	}
	return out
}

// keeperPrefix begins the ids of keepers.
const keeperPrefix = "keeper-"

// KeeperID names the witness on a control host's disk.
func KeeperID(m raft.MemberID) fleet.NodeID {
	return fleet.NodeID(fmt.Sprintf("%s%016x", keeperPrefix, uint64(m)))
}

// IsKeeper tells whether an id is that of a keeper.
func IsKeeper(id fleet.NodeID) bool { return strings.HasPrefix(string(id), keeperPrefix) }

// keepersOf finds the addresses of a holder's keepers; that of one which is no
// member any more is not valid. Loop only.
func (h *Host) keepersOf(life quota.HolderState) map[fleet.NodeID]netip.AddrPort {
	out := map[fleet.NodeID]netip.AddrPort{}
	for _, k := range life.Keepers {
		out[k] = netip.AddrPort{}
	}
	for _, m := range h.machine.Status().Members.Members {
		if _, ok := out[KeeperID(m.ID)]; ok {
			out[KeeperID(m.ID)] = m.Addr
		}
	}
	return out
}

// HolderEnded tells whether the ledger has ended a holder, as far as is known here.
func (h *Host) HolderEnded(id fleet.NodeID) bool {
	ended := false
	h.view(func(time.Time) { ended = h.state.Quota.Ended(id) })
	return ended
}

// Quota takes in a holder's statement on its allowances.
func (s *Service) Quota(args *quota.Statement, reply *wire.QuotaReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	st := *args
	if r, ok := h.replaces(st); ok {
		if !r.leading {
			// This host may lead by the time that the statement is booked.
			h.view(func(time.Time) { reply.Hint = h.hint() })
			reply.Undecided = true
			return nil
		}
		var decided bool
		if st.Replaces, decided = h.evidence(r, st, bootTime()); !decided {
			reply.Undecided = true
			return nil
		}
	}
	res, hint := h.commit(state.Command{Quota: &st})
	reply.Hint, reply.Allowances, reply.Ended, reply.Undecided = hint, res.Allowances, res.Ended, res.NotRecorded
	return nil
}
