package raft

// EntryKind is the kind of an entry.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand holds a command of the replicated state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is a new leader's first entry.
	EntryNoop
	// EntryMembership holds a Membership.
	EntryMembership
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint"`
	// Members is set for EntryMembership.
	Members *Membership `cbor:"5,keyasint,omitempty"`
}

// State is the current term and the vote in it. It must be synced before any message that
// depends on it is sent.
type State struct {
	Term uint64   `cbor:"1,keyasint"`
	Vote MemberID `cbor:"2,keyasint"`
}

// Snapshot replaces the log up to and including Index. Term is the term of the entry at
// Index, and Members is the membership in force there.
type Snapshot struct {
	Index   uint64     `cbor:"1,keyasint"`
	Term    uint64     `cbor:"2,keyasint"`
	Members Membership `cbor:"3,keyasint"`
	Data    []byte     `cbor:"4,keyasint"`
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	KindPreVote Kind = iota + 1
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindAppend
	KindAppendReply
	KindSnapshot
	// KindCampaign is the leader's request to campaign, since it hands its leadership over.
	KindCampaign
)

// Message is a request or reply between members. Which fields are set depends on Kind.
type Message struct {
	Kind Kind     `cbor:"1,keyasint"`
	From MemberID `cbor:"2,keyasint"`
	To   MemberID `cbor:"3,keyasint"`
	Term uint64   `cbor:"4,keyasint"`
	// Index and LogTerm are those of the entry before Entries (prevLogIndex and
	// prevLogTerm), or of the candidate's last entry in a vote request.
	Index   uint64  `cbor:"5,keyasint"`
	LogTerm uint64  `cbor:"6,keyasint"`
	Entries []Entry `cbor:"7,keyasint"`
	Commit  uint64  `cbor:"8,keyasint"`
	// ReadSeq numbers the rounds in which a leader confirms that it still leads.
	ReadSeq uint64 `cbor:"9,keyasint"`
	// Granted is set in the reply to a vote that is granted or an append that succeeds.
	// Match is the last index up to which the member has the leader's log on its disk; Hint is the
	// last index that may match after a failed append.
	Granted  bool      `cbor:"10,keyasint"`
	Match    uint64    `cbor:"11,keyasint"`
	Hint     uint64    `cbor:"12,keyasint"`
	Snapshot *Snapshot `cbor:"13,keyasint,omitempty"`
	// Received is, in the reply to an append that succeeds, the last index that the member has from the
	// leader, be it on its disk or not.
	Received uint64 `cbor:"15,keyasint,omitempty"`
	// Transfer is set in a vote request that the leader has asked for, so that it counts although
	// the leader is alive.
	Transfer bool `cbor:"14,keyasint,omitempty"`
}

// Read is the result of Machine.Read. If OK is set, the member still led after the request,
// and the state at Index or later may serve it.
type Read struct {
	ID    uint64
	Index uint64
	// OK is false if the member stopped leading before a quorum confirmed.
	OK bool
}

// Output is the work that a driver must do. Writes are made in the order of the outputs, each with
// the fields in their order.
type Output struct {
	State *State
	// Installed is a snapshot from a leader. It replaces the log and the state machine.
	Installed *Snapshot
	// Entries are to be appended; existing entries from the first index on are removed.
	Entries []Entry
	// Messages may be sent once every State and Installed up to this Output is on the disk. They do
	// not wait for Entries.
	Messages  []Message
	Committed []Entry
	Reads     []Read
}

// Empty reports whether there is nothing to do.
func (o Output) Empty() bool {
	return o.State == nil && o.Installed == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Reads) == 0
}
