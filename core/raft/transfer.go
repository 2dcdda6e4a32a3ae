package raft

import "time"

// Transfer hands the leadership over to a voter: this member takes no more proposals, and asks
// the voter to campaign once it has the whole log. If it does not lead within the election
// timeout, and the time that a vote takes to be written, this member goes on as the leader.
func (m *Machine) Transfer(now time.Time, to MemberID) error {
	if m.role != Leader {
		return &NotLeaderError{Leader: m.leader}
	}
	if to == m.self || !m.members.IsVoter(to) {
		return &UnknownMemberError{Member: to}
	}
	m.transferTo, m.transferUntil = to, now.Add(m.electionTimeout+candidateWrites*m.writeTime)
	m.replicate(now, to, false)
	m.continueTransfer(now)
	return nil
}

// transferring reports whether this member is handing its leadership over.
func (m *Machine) transferring(now time.Time) bool {
	return m.transferTo != 0 && now.Before(m.transferUntil)
}

// continueTransfer asks the next leader to campaign if it has the whole log.
func (m *Machine) continueTransfer(now time.Time) {
	if !m.transferring(now) || m.progress(m.transferTo, now).matchIndex < m.log.last() {
		return
	}
	m.send(Message{Kind: KindCampaign, To: m.transferTo, Term: m.state.Term})
}

// onCampaign campaigns at the request of the leader, which expects it.
func (m *Machine) onCampaign(now time.Time, msg Message) {
	if msg.Term == m.state.Term && m.role == Follower && m.leader == msg.From && m.members.IsVoter(m.self) {
		m.requestVotes(now, Candidate, true)
	}
}
