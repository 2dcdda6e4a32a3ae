package raft

import (
	"cmp"
	"slices"
	"time"
)

// VoterRules say which members are to vote.
type VoterRules struct {
	// Size is the intended number of voters.
	Size int
	// Leaving holds the members that are about to stop or that have lost their data folder.
	Leaving map[MemberID]bool
	// ReplaceAfter is the time without a reply after which a learner replaces a voter. 0 means
	// never.
	ReplaceAfter time.Duration
}

// StepKind is a kind of VoterStep.
type StepKind uint8

// The kinds of steps.
const (
	// NoStep means that nothing is to be done, or that it can't be done yet.
	NoStep StepKind = iota
	// PromoteStep made a learner a voter.
	PromoteStep
	// DemoteStep made a voter a learner.
	DemoteStep
	// TransferStep began to hand the leadership over.
	TransferStep
)

// String returns a word for logs.
func (k StepKind) String() string {
	return [...]string{"none", "promote", "demote", "transfer"}[k]
}

// VoterStep is what AdjustVoters did, and to which member.
type VoterStep struct {
	Kind   StepKind
	Member MemberID
}

// AdjustVoters takes the next step towards the voters that the rules ask for, if this member
// leads and the step before is committed. A voter is replaced by first promoting a learner and
// then demoting the voter. In between there is one voter more, of which a majority must agree,
// so that a voter that still responds bears the loss of any other member at every step. A
// leader that leaves hands the leadership over once its vote has a successor.
func (m *Machine) AdjustVoters(now time.Time, r VoterRules) VoterStep {
	if m.role != Leader || m.changePending() || m.transferring(now) {
		return VoterStep{}
	}
	retiring, found := m.retiring(now, r)
	voters := m.members.Voters()
	if voters < r.Size || (voters == r.Size && found) {
		if id, ok := m.readyLearner(now, r.Leaving); ok && m.keepsQuorum(now, Member{ID: id, Voter: true}) {
			return m.stepOf(PromoteStep, id, func() error { _, err := m.Promote(now, id); return err })
		}
	}
	if voters > r.Size {
		if !found {
			retiring = m.mostBehind(now)
		}
		if retiring != m.self && m.keepsQuorum(now, Member{ID: retiring}) {
			return m.stepOf(DemoteStep, retiring, func() error { _, err := m.Demote(now, retiring); return err })
		}
	}
	if r.Leaving[m.self] {
		if to, ok := m.successor(now, r.Leaving); ok {
			return m.stepOf(TransferStep, to, func() error { return m.Transfer(now, to) })
		}
	}
	return VoterStep{}
}

func (m *Machine) stepOf(kind StepKind, id MemberID, take func() error) VoterStep {
	if take() != nil {
		return VoterStep{}
	}
	return VoterStep{Kind: kind, Member: id}
}

// keepsQuorum reports whether a quorum responds once a member is a voter or not. A voter that is
// silent for a moment may hold data that the others have lost.
func (m *Machine) keepsQuorum(now time.Time, changed Member) bool {
	next := m.members.With(changed)
	n := 0
	for _, mem := range next.Members {
		if mem.Voter && (mem.ID == m.self || now.Sub(m.progress(mem.ID, now).lastContact) < m.electionTimeout) {
			n++
		}
	}
	return n >= next.Quorum()
}

// retiring returns the voter to replace next: one that does not respond or whose disk hangs, or else one
// that leaves. The latter can still vote, and comes back if it only restarts.
func (m *Machine) retiring(now time.Time, r VoterRules) (MemberID, bool) {
	for _, mem := range m.members.Members {
		if mem.Voter && r.ReplaceAfter > 0 && (m.SinceLastReply(now, mem.ID) > r.ReplaceAfter || m.writesNothing(now, mem.ID)) {
			return mem.ID, true
		}
	}
	for _, mem := range m.members.Members {
		if mem.Voter && r.Leaving[mem.ID] {
			return mem.ID, true
		}
	}
	return 0, false
}

// readyLearner returns a learner that Promote accepts.
func (m *Machine) readyLearner(now time.Time, leaving map[MemberID]bool) (MemberID, bool) {
	for _, mem := range m.members.Members {
		if !mem.Voter && !leaving[mem.ID] && m.caughtUp(now, mem.ID) {
			return mem.ID, true
		}
	}
	return 0, false
}

// LearnerReady reports whether AdjustVoters could promote a learner.
func (m *Machine) LearnerReady(now time.Time, leaving map[MemberID]bool) bool {
	_, ok := m.readyLearner(now, leaving)
	return m.role == Leader && ok
}

// lagsPerElection is the time for which a member that keeps up may be behind, in election timeouts:
// a log that always grows is never whole on a disk that is slow.
const lagsPerElection = 4

// writesNothing reports whether a member replies, but has not had on its disk for a long time what was
// committed then: twice the time for which one that keeps up may be behind.
func (m *Machine) writesNothing(now time.Time, id MemberID) bool {
	if id == m.self {
		return false
	}
	p := m.progress(id, now)
	m.measureLag(now, p)
	return p.matchIndex < p.goal && now.Sub(p.goalAt) > 2*lagsPerElection*m.electionTimeout
}

// caughtUp reports whether a member keeps up with the log, and has replied within the election
// timeout.
func (m *Machine) caughtUp(now time.Time, id MemberID) bool {
	p := m.progress(id, now)
	m.measureLag(now, p)
	return now.Sub(p.upToDateAt) < lagsPerElection*m.electionTimeout && now.Sub(p.lastContact) < m.electionTimeout
}

// measureLag records since when a member has had on its disk what was committed then.
func (m *Machine) measureLag(now time.Time, p *progress) {
	if p.matchIndex < p.goal {
		return
	}
	p.upToDateAt = p.goalAt
	if p.matchIndex >= m.commitIndex {
		p.upToDateAt = now
	}
	p.goal, p.goalAt = m.commitIndex, now
}

// mostBehind returns the voter, other than this member, that has been silent for longest or
// else has the shortest log.
func (m *Machine) mostBehind(now time.Time) MemberID {
	var others []MemberID
	for _, mem := range m.members.Members {
		if mem.Voter && mem.ID != m.self {
			others = append(others, mem.ID)
		}
	}
	return slices.MinFunc(others, func(a, b MemberID) int {
		p, q := m.progress(a, now), m.progress(b, now)
		return cmp.Or(p.lastContact.Compare(q.lastContact), cmp.Compare(p.matchIndex, q.matchIndex), cmp.Compare(a, b))
	})
}

// successor returns the caught-up voter with the longest log that does not leave.
func (m *Machine) successor(now time.Time, leaving map[MemberID]bool) (best MemberID, ok bool) {
	for _, mem := range m.members.Members {
		if !mem.Voter || mem.ID == m.self || leaving[mem.ID] || !m.caughtUp(now, mem.ID) {
			continue
		}
		if !ok || m.progress(mem.ID, now).matchIndex > m.progress(best, now).matchIndex {
			best, ok = mem.ID, true
		}
	}
	return best, ok
}
