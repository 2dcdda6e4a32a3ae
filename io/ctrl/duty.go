package ctrl

import (
	"slices"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/ledger"
	"dotterelgap/core/raft"
	"dotterelgap/core/state"
	"dotterelgap/io/wire"

	"go.uber.org/zap"
)

// duty is what only a leader keeps, in memory: who is alive, what agents said
// of fenced grants, and which grants are recalled.
type duty struct {
	presence *fleet.Presence
	loads    map[fleet.NodeID]wire.Load
	reports  map[escrow.GrantID]map[fleet.NodeID]escrow.Report
	recalls  map[fleet.NodeID][]escrow.GrantID
	// denied holds what was free when a holder was denied, by customer.
	denied map[fleet.NodeID]map[string]escrow.Tokens
	// proposed holds what was proposed for a grant and is not applied yet.
	proposed map[escrow.GrantID]time.Time
	roster   *wire.Roster
	builtFor uint64
	// since is when this host began to lead; ending when it last tried to end a
	// silent holder of budgets.
	since  time.Time
	ending map[fleet.NodeID]time.Time
}

// proposeAgain is the time after which an unanswered proposal is repeated.
const proposeAgain = time.Second

func newDuty(p *fleet.Presence) *duty {
	d := &duty{presence: p}
	d.reset(time.Time{})
	return d
}

func (d *duty) reset(now time.Time) {
	d.presence.Reset(now)
	d.loads = map[fleet.NodeID]wire.Load{}
	d.reports = map[escrow.GrantID]map[fleet.NodeID]escrow.Report{}
	d.recalls = map[fleet.NodeID][]escrow.GrantID{}
	d.denied = map[fleet.NodeID]map[string]escrow.Tokens{}
	d.proposed = map[escrow.GrantID]time.Time{}
	d.roster = nil
	d.since = now
	d.ending = map[fleet.NodeID]time.Time{}
}

func (d *duty) report(r escrow.Report) {
	m, ok := d.reports[r.Grant]
	if !ok {
		m = map[fleet.NodeID]escrow.Report{}
		d.reports[r.Grant] = m
	}
	m[r.Agent] = r
}

// fences lists the settling grants on which an agent's word is not final yet.
func (d *duty) fences(agent fleet.NodeID, settling []escrow.Grant) []escrow.Grant {
	var out []escrow.Grant
	for _, g := range settling {
		r, ok := d.reports[g.ID][agent]
		if !ok || !r.Done() {
			out = append(out, g)
		}
	}
	return out
}

func (d *duty) recall(l *ledger.Ledger, ids []escrow.GrantID) {
	for _, id := range ids {
		g, ok := l.Grants[id]
		if !ok {
			continue
		}
		holder := g.Grant.Holder
		if !slices.Contains(d.recalls[holder], id) {
			d.recalls[holder] = append(d.recalls[holder], id)
		}
	}
}

// takeRecalls returns and clears the recalls for a holder.
func (d *duty) takeRecalls(holder fleet.NodeID) []escrow.GrantID {
	ids := d.recalls[holder]
	delete(d.recalls, holder)
	return ids
}

// noteDenials remembers who is to be told once there is more.
func (d *duty) noteDenials(refills []escrow.Refill, answers []ledger.Answer) {
	for i, a := range answers {
		if a.Denial == nil {
			continue
		}
		holder := refills[i].Holder
		if d.denied[holder] == nil {
			d.denied[holder] = map[string]escrow.Tokens{}
		}
		d.denied[holder][a.Denial.Customer] = a.Denial.Free
	}
}

// takeFunded returns the customers for whom there is more than when the holder
// was denied.
func (d *duty) takeFunded(holder fleet.NodeID, l *ledger.Ledger) []string {
	var out []string
	for c, free := range d.denied[holder] {
		if l.Free(c) > free {
			out = append(out, c)
			delete(d.denied[holder], c)
		}
	}
	return out
}

// rosterFor lists the live entries and the live agents that have joined.
func (d *duty) rosterFor(term uint64, l *ledger.Ledger) *wire.Roster {
	if d.roster != nil && d.builtFor == d.presence.Version() && d.roster.Version.Term == term {
		return d.roster
	}
	d.builtFor = d.presence.Version()
	r := &wire.Roster{Version: wire.RosterVersion{Term: term, Seq: d.builtFor}}
	for _, s := range d.presence.Nodes() {
		if s.Node.Role == fleet.RoleAgent && !joined(l, s.Node.ID) {
			continue
		}
		r.Nodes = append(r.Nodes, s.Node)
	}
	d.roster = r
	return r
}

func joined(l *ledger.Ledger, id fleet.NodeID) bool {
	a, ok := l.Agents[id]
	return ok && !a.Gone
}

// work is the leader's regular work.
func (h *Host) work(now time.Time) {
	// What a leader keeps is reset once its new role was noticed, and it judges by its
	// state only once it has applied all that is committed.
	if h.machine.Behind() || now.Sub(h.dutyAt) < dutyInterval || h.wasRole != raft.Leader || h.machine.Status().Role != raft.Leader {
		return
	}
	h.dutyAt = now
	h.duty.presence.Expire(now)
	h.settleDead(now)
	h.advanceSettling(now)
	h.promoteJoined(now)
	h.endUnresponsiveHolders(now)
	if h.deps.Replace {
		h.replaceSilent(now)
	}
}

// settleDead starts to take back the grants of holders that are silent.
func (h *Host) settleDead(now time.Time) {
	for _, holder := range h.state.Ledger.Holders() {
		if !h.duty.presence.Suspects(now, holder) {
			continue
		}
		ids := h.state.Ledger.HeldBy(holder)
		if len(ids) > 0 && h.mayPropose(now, ids[0]) {
			h.propose(now, state.Command{Settle: ids}, nil)
		}
	}
}

func (h *Host) advanceSettling(now time.Time) {
	var steps []ledger.Progress
	settling := h.state.Ledger.Settling()
	for _, g := range settling {
		p, ok := h.state.Ledger.Assess(g.ID, h.duty.reports[g.ID])
		if ok && h.mayPropose(now, g.ID) {
			steps = append(steps, p)
		}
	}
	if len(steps) > 0 {
		h.propose(now, state.Command{Progress: steps}, nil)
	}
	for id := range h.duty.reports {
		if _, open := h.state.Ledger.Grants[id]; !open {
			delete(h.duty.reports, id)
			delete(h.duty.proposed, id)
		}
	}
}

func (h *Host) mayPropose(now time.Time, id escrow.GrantID) bool {
	if now.Sub(h.duty.proposed[id]) < proposeAgain {
		return false
	}
	h.duty.proposed[id] = now
	return true
}

// promoteJoined makes caught-up learners voters while the group is too small.
func (h *Host) promoteJoined(now time.Time) {
	ms := h.machine.Status().Members
	if ms.Voters() >= h.deps.Size {
		return
	}
	for _, m := range ms.Members {
		if m.Voter {
			continue
		}
		if _, err := h.machine.Promote(now, m.ID); err == nil {
			return
		}
	}
}

// Silences after which a leader takes members out by itself.
const (
	voterSilence   = 3 * time.Second
	learnerSilence = 30 * time.Second
)

// replaceSilent takes out a silent voter once a learner could stand in for it,
// and learners that never come back.
func (h *Host) replaceSilent(now time.Time) {
	status := h.machine.Status()
	ready := h.learnerReady(now, status)
	for _, m := range status.Members.Members {
		silence := h.machine.SinceLastReply(now, m.ID)
		if (m.Voter && ready && silence > voterSilence) || (!m.Voter && silence > learnerSilence) {
			_, err := h.machine.Remove(now, m.ID)
			h.log.Info("control: a silent member is taken out", zap.Stringer("addr", m.Addr),
				zap.Bool("voter", m.Voter), zap.Duration("silence", silence), zap.Error(err))
			return
		}
	}
}
