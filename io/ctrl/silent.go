package ctrl

import (
	"maps"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"
	"dotterelgap/core/state"

	"go.uber.org/zap"
)

// Times of ending holders that don't respond.
const (
	// holderTimeout is longer than a partitioned holder can serve without a raise, so
	// a holder that is alive and serves has recorded raises at its witnesses by then.
	holderTimeout = 6 * time.Second
	// endRetryInterval is the time between two attempts to end a holder.
	endRetryInterval = 2 * time.Second
	// witnessWait is how long a witness that does not reply is waited for. Its report would
	// show what the holder has raised; without it, the holder is billed what it can have raised.
	witnessWait = 2 * holderTimeout
)

// silentHolder is the leader's record of a holder that sends no statements.
type silentHolder struct {
	// since is when the leader noticed, and attemptedAt the time of the latest attempt to end
	// the holder.
	since, attemptedAt time.Time
	raises             quota.Silence
}

// endSilentHolders ends the holders that have sent no statement for holderTimeout and have
// recorded no further raise at their witnesses since. It must run on the loop.
func (h *Host) endSilentHolders(now time.Time) {
	for id, holder := range h.state.Quota.Holders {
		if !h.isSilent(now, holder) {
			delete(h.leader.silent, id)
			continue
		}
		s, ok := h.leader.silent[id]
		if !ok {
			s = &silentHolder{since: now}
			h.leader.silent[id] = s
		}
		if now.Sub(s.attemptedAt) < endRetryInterval {
			continue
		}
		s.attemptedAt = now
		p := h.predecessor(id)
		h.wg.Go(func() { h.endHolder(p) })
	}
}

// isSilent reports whether a holder that has not ended has sent no statement for holderTimeout.
func (h *Host) isSilent(now time.Time, holder *quota.HolderState) bool {
	if holder.Ended || now.Sub(h.leader.since) < holderTimeout {
		return false
	}
	sameClock := holder.Last.Term == h.machine.HardState().Term
	return !sameClock || h.logTime().Sub(holder.Last.At) >= holderTimeout
}

// endHolder ends a holder if what it can have spent is bounded. It asks the witnesses twice:
// only the second call fences the holder, so that a live one can go on with its raises.
func (h *Host) endHolder(p predecessor) {
	reports := h.askWitnesses(p.witnesses, p.id, peek)
	silence, quiet := h.observe(p, reports)
	if _, bounded := h.boundSilent(p, reports, silence); !quiet || !bounded {
		return
	}
	reports = h.askWitnesses(p.witnesses, p.id, fence)
	e, bounded := h.boundSilent(p, reports, silence)
	if !bounded {
		return
	}
	h.log.Info("control: an unresponsive holder of budgets is ended", zap.String("holder", string(p.id)),
		zap.Stringer("addr", p.state.Addr), zap.Any("testimonies", reports), zap.Any("evidence", e))
	h.commit(state.Command{EndHolder: &quota.Ending{Holder: p.id, Seq: p.state.Seq, Evidence: e}})
}

// observe records the reports on a silent holder. It returns for how long the holder has been
// silent, and whether it has recorded no raise or none for holderTimeout.
func (h *Host) observe(p predecessor, reports []quota.WitnessReport) (silence time.Duration, quiet bool) {
	raised := p.state.Raised(reports)
	h.onLoop(func(now time.Time) {
		if s, ok := h.leader.silent[p.id]; ok {
			silence = holderTimeout + now.Sub(s.since)
			quiet = s.raises.Observe(now, raised) >= holderTimeout || len(raised) == 0
		}
	})
	return silence, quiet
}

// boundSilent returns the evidence on a silent holder, if its witnesses show its raises or refuse
// further ones.
func (h *Host) boundSilent(p predecessor, reports []quota.WitnessReport, silence time.Duration) (quota.Evidence, bool) {
	raised, result := p.state.Assess(reports)
	if result == quota.Settled {
		return quota.Evidence{Witnessed: true, Raised: raised}, true
	}
	since, raised, fenced := p.state.Fenced(reports)
	if !fenced || (result == quota.Pending && silence < witnessWait) {
		return quota.Evidence{}, false
	}
	gap, known := h.sinceAcknowledged(p)
	if !known {
		return quota.Evidence{}, false
	}
	e := h.deps.Quota.ByFence(gap+bootTime()-p.takenAt-since, raised)
	// If all may be spent, ending the holder returns nothing, and it may still come back.
	return e, e.Opening.Grant < 1
}

// predecessor returns the state of a holder that has not ended. It must run on the loop.
func (h *Host) predecessor(id fleet.NodeID) predecessor {
	p := predecessor{id: id, state: *h.state.Quota.Holders[id], now: h.logTime(), takenAt: bootTime()}
	p.state.Testified = maps.Clone(p.state.Testified)
	p.last, p.clear = h.state.Quota.LastOf(p.state.Acknowledged)
	p.upToDate = h.machine.Current()
	p.sameLeader = p.upToDate && p.state.Acknowledged.Term == h.machine.HardState().Term
	p.witnesses, p.keepers = h.witnessesOf(p.state), h.keepersOf(p.state)
	return p
}
