package raft

import "time"

// AddLearner adds a member that receives the log but does not vote. It returns the index
// of the entry that holds the membership.
func (m *Machine) AddLearner(now time.Time, mem Member) (uint64, error) {
	mem.Voter = false
	if old, ok := m.members.Find(mem.ID); ok && old.Addr == mem.Addr {
		return m.membersIndex, nil
	}
	return m.change(now, m.members.With(mem))
}

// Promote makes a learner a voter. The learner must keep up with the log and have replied
// within the election timeout: an unreachable voter would make the quorum larger without
// contributing to it.
func (m *Machine) Promote(now time.Time, id MemberID) (uint64, error) {
	mem, ok := m.members.Find(id)
	if !ok {
		return 0, &UnknownMemberError{Member: id}
	}
	if mem.Voter {
		return m.membersIndex, nil
	}
	if m.role == Leader && !m.caughtUp(now, id) {
		return 0, &BehindError{Member: id, Match: m.progress(id, now).matchIndex, Commit: m.commitIndex}
	}
	mem.Voter = true
	return m.change(now, m.members.With(mem))
}

// Demote makes a voter a learner. It keeps receiving the log.
func (m *Machine) Demote(now time.Time, id MemberID) (uint64, error) {
	mem, ok := m.members.Find(id)
	if !ok || !mem.Voter {
		return m.membersIndex, nil
	}
	mem.Voter = false
	return m.change(now, m.members.With(mem))
}

// Remove removes a member from the group.
func (m *Machine) Remove(now time.Time, id MemberID) (uint64, error) {
	if _, ok := m.members.Find(id); !ok {
		return m.membersIndex, nil
	}
	return m.change(now, m.members.Without(id))
}

// change appends a membership that differs from the present one in one member. The
// present membership must be committed, and so must an entry of the current term.
func (m *Machine) change(now time.Time, next Membership) (uint64, error) {
	if m.role != Leader || m.transferring(now) {
		return 0, &NotLeaderError{Leader: m.leader}
	}
	if m.changePending() {
		return 0, &ChangePendingError{Index: max(m.membersIndex, m.termStart)}
	}
	if next.Voters() == 0 {
		return 0, &LastVoterError{}
	}
	index := m.append(Entry{Kind: EntryMembership, Members: &next})
	m.broadcast(now, false)
	return index, nil
}

// changePending reports whether the present membership, or the first entry of the leader's term,
// is not committed yet.
func (m *Machine) changePending() bool {
	return m.membersIndex > m.commitIndex || m.commitIndex < m.termStart
}

// VoteHandedOver reports whether a member has no vote and the membership that says so is
// committed, so that the loss of the member costs the group nothing.
func (m *Machine) VoteHandedOver(id MemberID) bool {
	return m.role == Leader && !m.changePending() && !m.members.IsVoter(id)
}

// VoterCaughtUp reports whether a voter keeps up with the log, so that any one other member may be
// lost.
func (m *Machine) VoterCaughtUp(now time.Time, id MemberID) bool {
	return m.role == Leader && m.members.IsVoter(id) && m.membersIndex <= m.commitIndex && m.caughtUp(now, id)
}

// SinceLastReply returns the time since a member last replied to this leader.
func (m *Machine) SinceLastReply(now time.Time, id MemberID) time.Duration {
	if m.role != Leader || id == m.self {
		return 0
	}
	return now.Sub(m.progress(id, now).lastContact)
}
