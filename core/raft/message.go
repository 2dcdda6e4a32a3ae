package raft

// EntryKind says what an entry's data is.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand carries a command of the replicated state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is a new leader's first entry.
	EntryNoop
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one place in the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint"`
	// Members is set for EntryMembership.
	Members *Membership `cbor:"5,keyasint,omitempty"`
}

// State is what must be synced before it is answered for.
type State struct {
	Term uint64   `cbor:"1,keyasint"`
	Vote MemberID `cbor:"2,keyasint"`
}

// Snapshot replaces the log up to and including Index.
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
)

// Message goes from one member to another. Which fields count depends on Kind.
type Message struct {
	Kind Kind     `cbor:"1,keyasint"`
	From MemberID `cbor:"2,keyasint"`
	To   MemberID `cbor:"3,keyasint"`
	Term uint64   `cbor:"4,keyasint"`
	// Index and LogTerm are the position before Entries, or the voter's last.
	Index   uint64  `cbor:"5,keyasint"`
	LogTerm uint64  `cbor:"6,keyasint"`
	Entries []Entry `cbor:"7,keyasint"`
	Commit  uint64  `cbor:"8,keyasint"`
	// ReadSeq numbers the rounds by which a leader confirms that it leads.
	ReadSeq uint64 `cbor:"9,keyasint"`
	// Granted answers a vote; Match and Hint answer an append.
	Granted  bool      `cbor:"10,keyasint"`
	Match    uint64    `cbor:"11,keyasint"`
	Hint     uint64    `cbor:"12,keyasint"`
	Snapshot *Snapshot `cbor:"13,keyasint,omitempty"`
}

// Read says that the machine led at Index after the read was asked for.
type Read struct {
	ID    uint64
	Index uint64
	// OK is false where the machine stopped leading before it could confirm.
	OK bool
}

// Output is what a driver must carry out, in the order of the fields.
type Output struct {
	State *State
	// Installed replaces log and state machine. It was sent by a leader.
	Installed *Snapshot
	// Entries are appended; existing ones from the first index on are dropped.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []Read
}

// Empty tells whether there is nothing to do.
func (o Output) Empty() bool {
	return o.State == nil && o.Installed == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Reads) == 0
}
