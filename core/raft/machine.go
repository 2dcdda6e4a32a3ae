package raft

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Role is a member's role in the current term.
type Role uint8

// The roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Timeouts and limits.
const (
	// DefaultElectionTimeout is the shortest time without a leader before an election.
	DefaultElectionTimeout = 500 * time.Millisecond
	// heartbeatsPerElection is the number of heartbeats in an election timeout.
	heartbeatsPerElection = 8
	// firstElectionDivisor shortens the first election timeout after a start.
	firstElectionDivisor = 2
	// A candidate waits for its own vote and for another one, a voter for its own. Each may have to wait
	// for a write that is in progress.
	candidateWrites = 4
	voterWrites     = 2
	// maxWriteTime bounds the write time that elections allow for.
	maxWriteTime = 2 * time.Second
	// maxEntriesPerAppend limits the entries of one append message.
	maxEntriesPerAppend = 512
	// defaultTakeLimit limits the committed entries of one Output, so that a member that
	// applies a long log keeps sending heartbeats and replying to them.
	defaultTakeLimit = 64
)

// Saved is the persistent state that a member reads from its disk at start.
type Saved struct {
	State    State
	Snapshot Snapshot
	Entries  []Entry
	// Written holds, for recent terms, when the last entry of the term was written.
	Written map[uint64]Written
}

// Written is when a host wrote the last entry of a term, the one at Index, by its own
// wall clock.
type Written struct {
	At    time.Time `cbor:"1,keyasint"`
	Index uint64    `cbor:"2,keyasint"`
}

// Params are the parameters of New.
type Params struct {
	Self            MemberID
	Saved           Saved
	Rand            *rand.Rand
	Now             time.Time
	ElectionTimeout time.Duration
	// TakeLimit limits the committed entries of one Output; 0 means the default.
	TakeLimit int
	// KeptEntries is the number of entries covered by the snapshot that stay in memory,
	// so that a member slightly behind needs no snapshot; 0 means the default.
	KeptEntries int
}

// progress is a leader's view of another member's log.
type progress struct {
	matchIndex, nextIndex uint64
	lastContact           time.Time
	readSeq               uint64
	// The member had on its disk what was committed at upToDateAt. goal is what was committed at
	// goalAt.
	upToDateAt, goalAt time.Time
	goal               uint64
	// inFlight is set while sent entries or a snapshot await a reply.
	inFlight bool
	sentAt   time.Time
}

// pendingRead is a read that waits for a quorum to confirm round seq.
type pendingRead struct {
	id, seq, index uint64
}

// Machine is one member of the group.
type Machine struct {
	self            MemberID
	rnd             *rand.Rand
	electionTimeout time.Duration
	// takeLimit limits the committed entries of one Output.
	takeLimit int

	state   State
	log     log
	members Membership
	// membersIndex is the index of the entry that holds members.
	membersIndex uint64
	commitIndex  uint64
	lastApplied  uint64
	// stable is the last index that is on the disk.
	stable uint64
	// rewrites counts the times that entries were replaced.
	rewrites uint64
	// matched is the last index up to which the log equals that of the leader of the term, and
	// acked the last one that it knows to be on this disk.
	matched, acked uint64
	// repliedRead is the latest read round of the leader that was replied to.
	repliedRead uint64
	// writeTime is how long a write takes; see SetWriteTime.
	writeTime time.Duration

	role        Role
	leader      MemberID
	lastContact time.Time // last message from the leader
	timeout     time.Time // when the next election or heartbeat is due
	// awaitedWrites is for how many writes an election is given more time.
	awaitedWrites time.Duration
	votes         map[MemberID]bool
	peers         map[MemberID]*progress
	termStart     uint64
	readSeq       uint64
	reads         []pendingRead
	// transferTo is the member that the leadership is handed over to, or 0, until transferUntil.
	transferTo    MemberID
	transferUntil time.Time

	out Output
}

// New returns a follower that continues from the saved state.
func New(p Params) *Machine {
	m := &Machine{
		self: p.Self, rnd: p.Rand, electionTimeout: p.ElectionTimeout, state: p.Saved.State,
		log: newLog(p.Saved.Snapshot, p.Saved.Entries), takeLimit: cmp.Or(p.TakeLimit, defaultTakeLimit),
	}
	m.log.keptEntries = uint64(cmp.Or(p.KeptEntries, defaultKeptEntries))
	if m.electionTimeout == 0 {
		m.electionTimeout = DefaultElectionTimeout
	}
	m.members, m.membersIndex = m.log.members()
	m.commitIndex = p.Saved.Snapshot.Index
	m.lastApplied = m.commitIndex
	m.stable = m.log.last()
	// After a restart there may be no leader. A pre-vote does not disturb an existing
	// leader, so the first one is requested early.
	m.timeout = p.Now.Add(time.Duration(p.Rand.Int64N(int64(m.electionTimeout))) / firstElectionDivisor)
	if m.members.IsVoter(m.self) && m.members.Voters() == 1 {
		m.timeout = p.Now
	}
	return m
}

// Bootstrap returns the saved state of the only member of a new group.
func Bootstrap(self Member) Saved {
	self.Voter = true
	return Saved{Snapshot: Snapshot{Index: 1, Term: 1, Members: Membership{Members: []Member{self}}}}
}

// Take returns the pending Output and clears it.
func (m *Machine) Take() Output {
	m.collectCommitted()
	m.confirmReads()
	out := m.out
	m.out = Output{}
	return out
}

func (m *Machine) collectCommitted() {
	if m.lastApplied >= m.commitIndex {
		return
	}
	entries := m.log.from(m.lastApplied+1, min(int(m.commitIndex-m.lastApplied), m.takeLimit))
	m.out.Committed = append(m.out.Committed, entries...)
	m.lastApplied += uint64(len(entries))
}

// Current reports whether the member leads and has handed out every entry committed in
// earlier terms. Its driver's state is then no older than that of any earlier leader.
func (m *Machine) Current() bool {
	return m.role == Leader && m.commitIndex >= m.termStart && !m.Behind()
}

// Behind reports whether there are committed entries that Take has not handed out yet.
func (m *Machine) Behind() bool { return m.lastApplied < m.commitIndex }

// Status is a member's view of the group.
type Status struct {
	Self    MemberID   `json:"self"`
	Role    Role       `json:"role"`
	Term    uint64     `json:"term"`
	Leader  MemberID   `json:"leader"`
	Commit  uint64     `json:"commit"`
	Last    uint64     `json:"last"`
	First   uint64     `json:"first"`
	Members Membership `json:"members"`
	// LastContact is when the last message from the leader arrived. A leader does not set it.
	LastContact time.Time `json:"-"`
	// Match is, at a leader, the last index known to be on each member's disk.
	Match map[MemberID]uint64 `json:"match,omitempty"`
}

// Status returns this member's view of the group.
func (m *Machine) Status() Status {
	s := Status{
		Self: m.self, Role: m.role, Term: m.state.Term, Leader: m.leader, Commit: m.commitIndex,
		Last: m.log.last(), First: m.log.snapshot.Index, Members: m.members, LastContact: m.lastContact,
	}
	if m.role == Leader {
		s.Match = map[MemberID]uint64{m.self: m.stable}
		for id, p := range m.peers {
			s.Match[id] = p.matchIndex
		}
	}
	return s
}

// Tick starts an election, sends heartbeats or steps down as a leader without a quorum,
// as is due. One call per tenth of the election timeout is enough.
func (m *Machine) Tick(now time.Time) {
	if m.role == Leader {
		m.tickLeader(now)
		return
	}
	if now.Before(m.timeout.Add(m.awaitedWrites*m.writeTime)) || !m.members.IsVoter(m.self) {
		return
	}
	m.campaign(now, PreCandidate)
}

func (m *Machine) tickLeader(now time.Time) {
	if !m.quorumActive(now) {
		m.becomeFollower(now, m.state.Term, 0)
		return
	}
	if now.Before(m.timeout) {
		return
	}
	m.timeout = now.Add(m.electionTimeout / heartbeatsPerElection)
	m.broadcast(now, true)
}

// quorumActive reports whether a quorum has replied within the election timeout.
func (m *Machine) quorumActive(now time.Time) bool {
	n := 0
	for _, mem := range m.members.Members {
		if !mem.Voter {
			continue
		}
		if mem.ID == m.self || now.Sub(m.progress(mem.ID, now).lastContact) < m.electionTimeout {
			n++
		}
	}
	return n >= m.members.Quorum()
}

func (m *Machine) progress(id MemberID, now time.Time) *progress {
	p, ok := m.peers[id]
	if !ok {
		p = &progress{nextIndex: m.log.last() + 1, lastContact: now, goal: m.commitIndex, goalAt: now}
		m.peers[id] = p
	}
	return p
}

func (m *Machine) resetTimeout(now time.Time) {
	m.timeout = now.Add(m.electionTimeout + time.Duration(m.rnd.Int64N(int64(m.electionTimeout))))
	m.awaitedWrites = 0
}

func (m *Machine) setState(s State) {
	if s == m.state {
		return
	}
	m.state = s
	m.out.State = &s
}

func (m *Machine) send(msg Message) {
	msg.From = m.self
	m.out.Messages = append(m.out.Messages, msg)
}

func (m *Machine) becomeFollower(now time.Time, term uint64, leader MemberID) {
	if term > m.state.Term {
		m.setState(State{Term: term})
	}
	m.role = Follower
	m.leader = leader
	m.matched, m.acked, m.repliedRead = 0, 0, 0
	m.failReads()
	m.resetTimeout(now)
}

func (m *Machine) failReads() {
	for _, r := range m.reads {
		m.out.Reads = append(m.out.Reads, Read{ID: r.id})
	}
	m.reads = nil
}

// Step handles a message from another member.
func (m *Machine) Step(now time.Time, msg Message) {
	if msg.To != m.self {
		return
	}
	if msg.Term > m.state.Term && msg.Kind != KindPreVote && msg.Kind != KindPreVoteReply {
		if msg.Kind == KindVote && m.leaderAlive(now) && !msg.Transfer {
			return
		}
		m.becomeFollower(now, msg.Term, 0)
	}
	switch msg.Kind {
	case KindPreVote, KindVote:
		m.onVote(now, msg)
	case KindPreVoteReply, KindVoteReply:
		m.onVoteReply(now, msg)
	case KindAppend:
		m.onAppend(now, msg)
	case KindAppendReply:
		m.onAppendReply(now, msg)
	case KindSnapshot:
		m.onSnapshot(now, msg)
	case KindCampaign:
		m.onCampaign(now, msg)
	}
}

// Mark is a state of the log, for Stable.
type Mark struct {
	last, rewrites uint64
}

// Mark returns the present state of the log, which includes all entries that Take has returned.
func (m *Machine) Mark() Mark { return Mark{last: m.log.last(), rewrites: m.rewrites} }

// Stable records that what was to be written when the mark was taken is on the disk. It has no effect if
// entries have been replaced since then: the write that replaces them is still to come, and its
// mark counts for all.
func (m *Machine) Stable(now time.Time, mark Mark) {
	if mark.rewrites != m.rewrites || mark.last <= m.stable {
		return
	}
	m.stable = mark.last
	switch m.role {
	case Leader:
		m.advanceCommit(now)
	case Follower:
		m.acknowledge()
	}
}

// LastIndex returns the index of the last entry in the log, synced or not.
func (m *Machine) LastIndex() uint64 {
	return m.log.last()
}

// SetWriteTime sets how long a write to the disk takes at present. A member that waits for its own
// vote or that of another to be written allows for it.
func (m *Machine) SetWriteTime(d time.Duration) { m.writeTime = min(d, maxWriteTime) }

// Compact replaces the log up to index, which must be applied, by a snapshot whose state
// is data.
func (m *Machine) Compact(index uint64, data []byte) Snapshot {
	term, _ := m.log.term(index)
	s := Snapshot{Index: index, Term: term, Members: m.log.membersAt(index), Data: data}
	m.log.compact(s)
	return s
}

// Tail returns the entries after the latest snapshot, for rewriting the log file.
func (m *Machine) Tail() []Entry {
	return m.log.from(m.log.snapshot.Index+1, len(m.log.entries))
}

// LastOfTerm returns the index of the last entry of a term, or 0 if the log holds none.
func (m *Machine) LastOfTerm(term uint64) uint64 {
	for i := m.log.last(); i > m.log.base; i-- {
		switch t, _ := m.log.term(i); {
		case t == term:
			return i
		case t < term:
			return 0
		}
	}
	if m.log.baseTerm == term {
		return m.log.base
	}
	return 0
}

// HardState returns the current term and vote.
func (m *Machine) HardState() State {
	return m.state
}

func sortedDescending(xs []uint64) []uint64 {
	slices.SortFunc(xs, func(a, b uint64) int { return cmp.Compare(b, a) })
	return xs
}
