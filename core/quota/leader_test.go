package quota_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"

	"pgregory.net/rapid"
)

// apply applies a statement as a leader does, and sends the reply.
func (sim *simulation) apply(h *host, holder *quota.Holder, s quota.Statement) {
	decided := false
	if s.Replaces, decided = sim.replaces(s); !decided {
		return
	}
	allowances, applied := sim.ledger.Apply(sim.currentTimestamp(), s)
	if !applied {
		return
	}
	ended := sim.ledger.Ended(s.Holder)
	sim.send(func() {
		if h.partitioned || h.holder != holder || !h.alive {
			return
		}
		if ended {
			sim.incarnations++
			sim.recordUse(holder)
			holder.Renew(fleet.NodeID(fmt.Sprint("entry-", sim.incarnations)))
			return
		}
		holder.HandleReply(sim.now, s.Seq, allowances)
	})
}

// replaces assesses the holder that a statement's holder replaces, as a leader does.
func (sim *simulation) replaces(s quota.Statement) (quota.Ending, bool) {
	id, e, decided := sim.evidence(s)
	if l, ok := sim.ledger.Holders[id]; ok {
		return quota.Ending{Holder: id, Seq: l.Seq, Evidence: e}, decided
	}
	return quota.Ending{}, decided
}

// evidence bounds what a replaced holder can have spent, as a leader does.
func (sim *simulation) evidence(s quota.Statement) (id fleet.NodeID, e quota.Evidence, decided bool) {
	if _, known := sim.ledger.Holders[s.Holder]; known {
		return id, e, true
	}
	id, ok := sim.ledger.EarlierAt(s.Addr, s.Holder)
	if !ok {
		return id, e, true
	}
	state := *sim.ledger.Holders[id]
	gap := sim.now.Sub(state.Acknowledged.At) - s.Age
	if !state.Acknowledged.At.IsZero() {
		kept, assessment := state.AssessKeepers(sim.keeperReports(state, id))
		if assessment == quota.Pending && s.Age <= time.Second {
			return id, e, false
		}
		e = sim.opts.ByTime(gap, kept, assessment)
	}
	if e.Timed && gap <= sim.opts.OpenAfter {
		return id, e, true
	}
	var assessment quota.Assessment
	e.Raised, assessment = state.Assess(sim.witnessReports(state, id, false))
	e.Witnessed = assessment == quota.Settled
	if !e.Timed && assessment == quota.Pending && s.Age <= 3*time.Second {
		return id, e, false
	}
	return id, e, true
}

// keeperReports asks the keepers that the control group can reach. A replaced disk has
// none of their records.
func (sim *simulation) keeperReports(state quota.HolderState, id fleet.NodeID) []quota.WitnessReport {
	var reports []quota.WitnessReport
	for _, k := range state.Keepers {
		i := slices.IndexFunc(sim.hosts, func(h *host) bool { return h.keeperID == k })
		switch {
		case i < 0:
			reports = append(reports, quota.WitnessReport{})
		case sim.hosts[i].alive && !sim.hosts[i].partitioned:
			reports = append(reports, sim.hosts[i].keeper.Peek(k, id))
		}
	}
	return reports
}

// stepEndUnresponsive ends a holder that is not responding, as a leader does: its witnesses
// are asked first, and the ending is applied later.
func (sim *simulation) stepEndUnresponsive(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(sim.ledger.Holders)) {
		state := *sim.ledger.Holders[id]
		state.Testified = maps.Clone(state.Testified)
		if state.Ended || sim.now.Sub(state.Last.At) < sim.opts.CutOff {
			continue
		}
		peeked := sim.witnessReports(state, id, true)
		if _, bounded := sim.boundSilent(t, state, peeked); !bounded || (len(state.Raised(peeked)) > 0 && rapid.Bool().Draw(t, "still active")) {
			continue
		}
		if e, bounded := sim.boundSilent(t, state, sim.witnessReports(state, id, false)); bounded {
			sim.send(func() { sim.ledger.End(quota.Ending{Holder: id, Seq: state.Seq, Evidence: e}) })
		}
	}
}

// boundSilent returns the evidence on a silent holder, as a leader does.
func (sim *simulation) boundSilent(t *rapid.T, state quota.HolderState, reports []quota.WitnessReport) (quota.Evidence, bool) {
	raised, assessment := state.Assess(reports)
	if assessment == quota.Settled {
		return quota.Evidence{Witnessed: true, Raised: raised}, true
	}
	since, raised, fenced := state.Fenced(reports)
	if !fenced || state.Acknowledged.At.IsZero() || (assessment == quota.Pending && rapid.Bool().Draw(t, "waits")) {
		return quota.Evidence{}, false
	}
	return sim.opts.ByFence(sim.now.Sub(state.Acknowledged.At)-since, raised), true
}

// witnessReports asks the witnesses that the control group can reach.
func (sim *simulation) witnessReports(state quota.HolderState, id fleet.NodeID, peek bool) []quota.WitnessReport {
	var reports []quota.WitnessReport
	for _, o := range sim.hosts {
		if o.alive && !o.partitioned && sim.witnessAt(state, o) {
			ask := o.witness.Fence
			if peek {
				ask = o.witness.Peek
			}
			r := ask(witnessOf(state, o, sim), id)
			r.Age = sim.now.Sub(o.startedAt)
			reports = append(reports, r)
		}
	}
	return reports
}

// witnessAt reports whether one of the holder's witnesses was at a host's address.
func (sim *simulation) witnessAt(state quota.HolderState, o *host) bool {
	return witnessOf(state, o, sim) != ""
}

func witnessOf(state quota.HolderState, o *host, sim *simulation) fleet.NodeID {
	for _, id := range state.Unheard() {
		if l, ok := sim.ledger.Holders[id]; ok && l.Addr == o.addr {
			return id
		}
	}
	return ""
}
