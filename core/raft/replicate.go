package raft

import "time"

// append appends an entry to the leader's log and returns its index.
func (m *Machine) append(e Entry) uint64 {
	e.Index = m.log.last() + 1
	e.Term = m.state.Term
	m.log.entries = append(m.log.entries, e)
	m.out.Entries = append(m.out.Entries, e)
	m.members, m.membersIndex = m.latestMembers(e)
	return e.Index
}

func (m *Machine) latestMembers(e Entry) (Membership, uint64) {
	if e.Members != nil {
		return *e.Members, e.Index
	}
	return m.members, m.membersIndex
}

// Propose appends a command to the leader's log and returns its index and term.
func (m *Machine) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	if m.role != Leader || m.transferring(now) {
		return 0, 0, &NotLeaderError{Leader: m.leader}
	}
	index = m.append(Entry{Kind: EntryCommand, Data: data})
	m.broadcast(now, false)
	return index, m.state.Term, nil
}

// broadcast sends the other members the entries that they lack. With heartbeat set it
// also sends to members that lack none.
func (m *Machine) broadcast(now time.Time, heartbeat bool) {
	for _, mem := range m.members.Members {
		if mem.ID != m.self {
			m.replicate(now, mem.ID, heartbeat)
		}
	}
}

func (m *Machine) replicate(now time.Time, to MemberID, heartbeat bool) {
	p := m.progress(to, now)
	stalled := p.inFlight && now.Sub(p.sentAt) >= m.electionTimeout/2
	if p.inFlight && !stalled && !heartbeat {
		return
	}
	prev := p.nextIndex - 1
	prevTerm, ok := m.log.term(prev)
	if !ok {
		m.sendSnapshot(now, to, p)
		return
	}
	var entries []Entry
	if !p.inFlight || stalled {
		entries = m.log.from(p.nextIndex, maxEntriesPerAppend)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	if len(entries) > 0 {
		p.inFlight = true
		p.sentAt = now
	}
	m.send(Message{
		Kind: KindAppend, To: to, Term: m.state.Term, Index: prev, LogTerm: prevTerm,
		Entries: entries, Commit: m.commitIndex, ReadSeq: m.readSeq,
	})
}

func (m *Machine) sendSnapshot(now time.Time, to MemberID, p *progress) {
	if p.inFlight && now.Sub(p.sentAt) < m.electionTimeout {
		return
	}
	p.inFlight = true
	p.sentAt = now
	s := m.log.snapshot
	m.send(Message{Kind: KindSnapshot, To: to, Term: m.state.Term, Snapshot: &s, ReadSeq: m.readSeq})
}

func (m *Machine) onAppend(now time.Time, msg Message) {
	reply := Message{Kind: KindAppendReply, To: msg.From, Term: m.state.Term, ReadSeq: msg.ReadSeq}
	if msg.Term < m.state.Term {
		m.send(reply)
		return
	}
	m.follow(now, msg.From)
	if !m.checkConsistency(msg, &reply) {
		m.send(reply)
		return
	}
	for i, e := range msg.Entries {
		t, ok := m.log.term(e.Index)
		if e.Index <= m.log.snapshot.Index || (ok && t == e.Term) {
			continue
		}
		m.replaceFrom(msg.Entries[i:])
		break
	}
	matched := msg.Index + uint64(len(msg.Entries))
	m.matched = max(m.matched, matched)
	m.commitIndex = max(m.commitIndex, min(msg.Commit, matched))
	// The reply to new entries waits until they are on the disk. Heartbeats and reads don't.
	if len(msg.Entries) == 0 || m.matched <= m.stable || msg.ReadSeq > m.repliedRead {
		m.sendGranted(reply)
	}
}

// sendGranted sends the reply to an append that succeeded.
func (m *Machine) sendGranted(reply Message) {
	m.acked = max(m.acked, min(m.matched, m.stable))
	m.repliedRead = max(m.repliedRead, reply.ReadSeq)
	reply.Granted, reply.Match, reply.Received = true, m.acked, m.matched
	m.send(reply)
}

// acknowledge tells the leader that more of its log is on the disk.
func (m *Machine) acknowledge() {
	if m.leader != 0 && min(m.matched, m.stable) > m.acked {
		m.sendGranted(Message{Kind: KindAppendReply, To: m.leader, Term: m.state.Term})
	}
}

func (m *Machine) follow(now time.Time, leader MemberID) {
	if m.role != Follower {
		m.becomeFollower(now, m.state.Term, leader)
	}
	m.leader = leader
	m.lastContact = now
	m.resetTimeout(now)
}

// checkConsistency is the consistency check of AppendEntries: it reports whether the log
// holds the entry before the sent ones, or has a snapshot that covers it. If not, it
// sets Hint in the reply.
func (m *Machine) checkConsistency(msg Message, reply *Message) bool {
	if msg.Index < m.log.snapshot.Index {
		return true
	}
	t, ok := m.log.term(msg.Index)
	if ok && t == msg.LogTerm {
		return true
	}
	reply.Hint = min(m.log.last(), msg.Index-1)
	return false
}

// replaceFrom replaces the log from the first of the leader's entries on by these entries.
func (m *Machine) replaceFrom(entries []Entry) {
	first := entries[0].Index
	if first <= m.log.last() {
		m.rewrites++
	}
	m.log.truncate(first)
	m.stable = min(m.stable, first-1)
	m.log.entries = append(m.log.entries, entries...)
	for len(m.out.Entries) > 0 && m.out.Entries[len(m.out.Entries)-1].Index >= first {
		m.out.Entries = m.out.Entries[:len(m.out.Entries)-1]
	}
	m.out.Entries = append(m.out.Entries, entries...)
	m.members, m.membersIndex = m.log.members()
}

func (m *Machine) onAppendReply(now time.Time, msg Message) {
	if m.role != Leader || msg.Term != m.state.Term {
		return
	}
	p := m.progress(msg.From, now)
	p.lastContact = now
	p.readSeq = max(p.readSeq, msg.ReadSeq)
	if !msg.Granted {
		p.inFlight = false
		p.nextIndex = max(min(p.nextIndex-1, msg.Hint+1), p.matchIndex+1)
		m.replicate(now, msg.From, false)
		return
	}
	if msg.Match > p.matchIndex {
		p.matchIndex = msg.Match
	}
	if received := max(msg.Match, msg.Received); received >= p.nextIndex {
		p.nextIndex = received + 1
		p.inFlight = false
	}
	m.advanceCommit(now)
	m.measureLag(now, p)
	m.confirmReads()
	if m.role == Leader {
		m.replicate(now, msg.From, false)
		m.continueTransfer(now)
	}
}

func (m *Machine) onSnapshot(now time.Time, msg Message) {
	reply := Message{Kind: KindAppendReply, To: msg.From, Term: m.state.Term, ReadSeq: msg.ReadSeq}
	if msg.Term < m.state.Term || msg.Snapshot == nil {
		m.send(reply)
		return
	}
	m.follow(now, msg.From)
	s := *msg.Snapshot
	if s.Index > m.commitIndex {
		m.install(s)
	}
	m.matched = max(m.matched, s.Index)
	m.sendGranted(reply)
}

func (m *Machine) install(s Snapshot) {
	m.collectCommitted()
	m.log.compact(s)
	m.rewrites++
	m.out.Installed = &s
	m.out.Committed = nil
	m.out.Entries = m.log.from(s.Index+1, len(m.log.entries))
	m.commitIndex = s.Index
	m.lastApplied = s.Index
	m.stable = s.Index
	m.members, m.membersIndex = m.log.members()
}

// advanceCommit advances the commit index to the last entry that a quorum has on disk, if
// that entry is of the current term.
func (m *Machine) advanceCommit(now time.Time) {
	var matches []uint64
	for _, mem := range m.members.Members {
		if !mem.Voter {
			continue
		}
		if mem.ID == m.self {
			matches = append(matches, m.stable)
			continue
		}
		matches = append(matches, m.progress(mem.ID, now).matchIndex)
	}
	if len(matches) == 0 {
		return
	}
	n := sortedDescending(matches)[m.members.Quorum()-1]
	if n <= m.commitIndex || n < m.termStart {
		return
	}
	m.commitIndex = n
	m.confirmReads()
	if !m.members.IsVoter(m.self) && m.commitIndex >= m.membersIndex {
		m.becomeFollower(now, m.state.Term, 0)
		return
	}
	// The other members learn the commit index from the next entries or heartbeat.
	m.broadcast(now, false)
}
