package raft

import "time"

// leaderAlive reports whether the member leads, or was contacted by the leader within the
// election timeout. While it is true, the member denies pre-votes and ignores vote requests
// of a higher term, so that a working leader is not replaced.
func (m *Machine) leaderAlive(now time.Time) bool {
	return m.role == Leader || (m.leader != 0 && now.Sub(m.lastContact) < m.electionTimeout)
}

// campaign requests votes from the other voters. A PreCandidate requests pre-votes, which
// do not increase the term; with a quorum of them it becomes a Candidate.
func (m *Machine) campaign(now time.Time, role Role) { m.requestVotes(now, role, false) }

func (m *Machine) requestVotes(now time.Time, role Role, transfer bool) {
	m.role = role
	m.leader = 0
	m.resetTimeout(now)
	m.votes = map[MemberID]bool{m.self: true}
	term := m.state.Term + 1
	kind := KindPreVote
	if role == Candidate {
		m.setState(State{Term: term, Vote: m.self})
		m.awaitedWrites = candidateWrites
		kind = KindVote
	}
	for _, mem := range m.members.Members {
		if mem.Voter && mem.ID != m.self {
			m.send(Message{Kind: kind, To: mem.ID, Term: term, Index: m.log.last(), LogTerm: m.log.lastTerm(), Transfer: transfer})
		}
	}
	m.countVotes(now)
}

func (m *Machine) onVote(now time.Time, msg Message) {
	reply := Message{Kind: msg.Kind + 1, To: msg.From, Term: m.state.Term}
	upToDate := msg.LogTerm > m.log.lastTerm() ||
		(msg.LogTerm == m.log.lastTerm() && msg.Index >= m.log.last())
	if msg.Kind == KindPreVote {
		reply.Granted = msg.Term > m.state.Term && upToDate && !m.leaderAlive(now)
		if reply.Granted {
			reply.Term = msg.Term
		}
		m.send(reply)
		return
	}
	canVote := m.state.Vote == 0 || m.state.Vote == msg.From
	if msg.Term == m.state.Term && canVote && upToDate && m.role != Leader {
		m.setState(State{Term: msg.Term, Vote: msg.From})
		m.resetTimeout(now)
		m.awaitedWrites = voterWrites
		reply.Granted = true
	}
	m.send(reply)
}

func (m *Machine) onVoteReply(now time.Time, msg Message) {
	switch {
	case msg.Kind == KindPreVoteReply && m.role == PreCandidate:
		if !msg.Granted && msg.Term > m.state.Term {
			m.becomeFollower(now, msg.Term, 0)
			return
		}
		if msg.Granted && msg.Term != m.state.Term+1 {
			return
		}
	case msg.Kind == KindVoteReply && m.role == Candidate && msg.Term == m.state.Term:
	default:
		return
	}
	m.votes[msg.From] = msg.Granted
	m.countVotes(now)
}

func (m *Machine) countVotes(now time.Time) {
	granted := 0
	for id, ok := range m.votes {
		if ok && m.members.IsVoter(id) {
			granted++
		}
	}
	if granted < m.members.Quorum() {
		return
	}
	if m.role == PreCandidate {
		m.campaign(now, Candidate)
		return
	}
	m.becomeLeader(now)
}

func (m *Machine) becomeLeader(now time.Time) {
	m.role = Leader
	m.leader = m.self
	m.peers = map[MemberID]*progress{}
	m.transferTo = 0
	m.timeout = now.Add(m.electionTimeout / heartbeatsPerElection)
	m.termStart = m.log.last() + 1
	m.append(Entry{Kind: EntryNoop})
	m.broadcast(now, true)
}
