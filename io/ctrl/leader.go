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
)

// leaderState is the state that a leader keeps in memory only: which processes are
// alive, the agents' reports on fenced grants, and the recalled grants.
type leaderState struct {
	presence *fleet.Presence
	loads    map[fleet.NodeID]wire.Load
	reports  map[escrow.GrantID]map[fleet.NodeID]escrow.Report
	recalls  map[fleet.NodeID][]escrow.GrantID
	// denied holds the tokens that were free when a refill was denied, by holder and
	// customer.
	denied map[fleet.NodeID]map[string]escrow.Tokens
	// proposed holds the time of the latest proposal for each grant.
	proposed  map[escrow.GrantID]time.Time
	roster    *wire.Roster
	rosterSeq uint64
	// since is when this host became the leader, and silent holds the holders of prepaid
	// budgets that send no statements.
	since  time.Time
	silent map[fleet.NodeID]*silentHolder
	// lockedAt is when locked tokens were last reported.
	lockedAt time.Time
	// leaving holds the time of the latest request of each member that is about to stop.
	leaving map[raft.MemberID]time.Time
}

// proposalTimeout is the time after which a proposal without effect is repeated.
const proposalTimeout = time.Second

func newLeaderState(p *fleet.Presence) *leaderState {
	ls := &leaderState{presence: p}
	ls.reset(time.Time{})
	return ls
}

func (ls *leaderState) reset(now time.Time) {
	ls.presence.Reset(now)
	ls.loads = map[fleet.NodeID]wire.Load{}
	ls.reports = map[escrow.GrantID]map[fleet.NodeID]escrow.Report{}
	ls.recalls = map[fleet.NodeID][]escrow.GrantID{}
	ls.denied = map[fleet.NodeID]map[string]escrow.Tokens{}
	ls.proposed = map[escrow.GrantID]time.Time{}
	ls.roster = nil
	ls.since = now
	ls.silent = map[fleet.NodeID]*silentHolder{}
	ls.lockedAt = now
	ls.leaving = map[raft.MemberID]time.Time{}
}

func (ls *leaderState) report(r escrow.Report) {
	m, ok := ls.reports[r.Grant]
	if !ok {
		m = map[fleet.NodeID]escrow.Report{}
		ls.reports[r.Grant] = m
	}
	m[r.Agent] = r
}

// pendingFences returns the settling grants for which the agent's final report is
// missing.
func (ls *leaderState) pendingFences(agent fleet.NodeID, settling []escrow.Grant) []escrow.Grant {
	var out []escrow.Grant
	for _, g := range settling {
		r, ok := ls.reports[g.ID][agent]
		if !ok || !r.Done() {
			out = append(out, g)
		}
	}
	return out
}

func (ls *leaderState) recall(l *ledger.Ledger, ids []escrow.GrantID) {
	for _, id := range ids {
		g, ok := l.Grants[id]
		if !ok {
			continue
		}
		holder := g.Grant.Holder
		if !slices.Contains(ls.recalls[holder], id) {
			ls.recalls[holder] = append(ls.recalls[holder], id)
		}
	}
}

// takeRecalls returns and clears the recalls of a holder's grants.
func (ls *leaderState) takeRecalls(holder fleet.NodeID) []escrow.GrantID {
	ids := ls.recalls[holder]
	delete(ls.recalls, holder)
	return ids
}

// recordDenials records the denied refills, so that takeFunded can report to their holders
// when the customer has more free tokens.
func (ls *leaderState) recordDenials(refills []escrow.Refill, answers []ledger.Answer) {
	for i, a := range answers {
		if a.Denial == nil {
			continue
		}
		holder := refills[i].Holder
		if ls.denied[holder] == nil {
			ls.denied[holder] = map[string]escrow.Tokens{}
		}
		ls.denied[holder][a.Denial.Customer] = a.Denial.Free
	}
}

// takeFunded returns and clears the customers with more free tokens than when the
// holder's refill was denied.
func (ls *leaderState) takeFunded(holder fleet.NodeID, l *ledger.Ledger) []string {
	var out []string
	for c, free := range ls.denied[holder] {
		if l.Free(c) > free {
			out = append(out, c)
			delete(ls.denied[holder], c)
		}
	}
	return out
}

// rosterFor returns the membership view: the live entries and the live agents that
// have joined.
func (ls *leaderState) rosterFor(term uint64, l *ledger.Ledger) *wire.Roster {
	if ls.roster != nil && ls.rosterSeq == ls.presence.Version() && ls.roster.Version.Term == term {
		return ls.roster
	}
	ls.rosterSeq = ls.presence.Version()
	r := &wire.Roster{Version: wire.RosterVersion{Term: term, Seq: ls.rosterSeq}}
	for _, s := range ls.presence.Nodes() {
		if s.Node.Role == fleet.RoleAgent && !joined(l, s.Node.ID) {
			continue
		}
		r.Nodes = append(r.Nodes, s.Node)
	}
	ls.roster = r
	return r
}

func joined(l *ledger.Ledger, id fleet.NodeID) bool {
	a, ok := l.Agents[id]
	return ok && !a.Gone
}

// runLeaderTasks runs the periodic tasks of the leader.
func (h *Host) runLeaderTasks(now time.Time) {
	// The leader's state is reset when the change of role is detected, and the tasks
	// need a state in which all committed entries are applied.
	if h.machine.Behind() || now.Sub(h.leaderWorkAt) < leaderInterval || h.lastRole != raft.Leader || h.machine.Status().Role != raft.Leader {
		return
	}
	h.leaderWorkAt = now
	h.leader.presence.Expire(now)
	h.settleSuspected(now)
	h.advanceSettling(now)
	h.adjustVoters(now)
	h.endSilentHolders(now)
	h.reportLocked(now)
	if h.deps.Replace {
		h.removeSilentLearners(now)
	}
}

// settleSuspected starts to settle the grants of holders that are suspected to have
// failed.
func (h *Host) settleSuspected(now time.Time) {
	for _, holder := range h.state.Ledger.Holders() {
		if !h.leader.presence.Suspects(now, holder) {
			continue
		}
		ids := h.state.Ledger.HeldBy(holder)
		if len(ids) > 0 && h.shouldPropose(now, ids[0]) {
			h.propose(now, state.Command{Settle: ids}, nil)
		}
	}
}

func (h *Host) advanceSettling(now time.Time) {
	var steps []ledger.Progress
	settling := h.state.Ledger.Settling()
	for _, g := range settling {
		p, ok := h.state.Ledger.Assess(g.ID, h.leader.reports[g.ID])
		if ok && h.shouldPropose(now, g.ID) {
			steps = append(steps, p)
		}
	}
	if len(steps) > 0 {
		h.propose(now, state.Command{Progress: steps}, nil)
	}
	for id := range h.leader.reports {
		if _, open := h.state.Ledger.Grants[id]; !open {
			delete(h.leader.reports, id)
			delete(h.leader.proposed, id)
		}
	}
}

func (h *Host) shouldPropose(now time.Time, id escrow.GrantID) bool {
	if now.Sub(h.leader.proposed[id]) < proposalTimeout {
		return false
	}
	h.leader.proposed[id] = now
	return true
}
