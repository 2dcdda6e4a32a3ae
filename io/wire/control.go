package wire

import (
	"net/netip"
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/ledger"
	"dotterelgap/core/quota"
	"dotterelgap/core/raft"
	"dotterelgap/core/state"
)

// Hint is part of every answer of a control host. NotLeader means that nothing
// was done; Leader is where to ask instead, if known.
type Hint struct {
	NotLeader bool
	Leader    netip.AddrPort
}

// Load is what an agent says of its upstream's work.
type Load struct {
	Running int
	Waiting int
}

// BeatArgs is a process's regular announcement to the control group.
type BeatArgs struct {
	Node fleet.Node
	// Config is the version that is in force at the process.
	Config uint64
	// Roster is the roster version that the process has.
	Roster RosterVersion
	Load   Load
	// Reports answer the fences of earlier replies.
	Reports []escrow.Report
	// Unknown are grants that the agent wants to know about.
	Unknown []escrow.GrantID
	// Left is set by a process that ends now and holds nothing more.
	Left bool
}

// RosterVersion orders rosters over leaders.
type RosterVersion struct {
	Term, Seq uint64
}

// Roster lists the processes that are alive, as the leader sees them.
type Roster struct {
	Version RosterVersion
	Nodes   []fleet.Node
}

// BeatReply answers a beat.
type BeatReply struct {
	Hint
	Config config.Delta
	Roster *Roster
	// Joined is the next grant id when the agent joined; 0 while it has not.
	Joined escrow.GrantID
	// Fence lists grants that the agent must fence and report on.
	Fence []escrow.Grant
	Floor escrow.GrantID
	// Open and Shut answer BeatArgs.Unknown.
	Open, Shut []escrow.GrantID
	// Recalls are grants that the entry should give back.
	Recalls []escrow.GrantID
	// Funded are customers of whom there is more than when the entry was denied.
	Funded []string
	// Order is the highest order number given out for the agent's engine; it is
	// confirmed by a quorum if BeatArgs.Config was 0.
	Order uint64
	// Control lists the members of the control group.
	Control []netip.AddrPort
}

// BudgetArgs carries a holder's refills and statements.
type BudgetArgs struct {
	Refills []escrow.Refill
	Spends  []escrow.Spend
	Closes  []escrow.Close
}

// BudgetReply answers the refills in their order.
type BudgetReply struct {
	Hint
	Answers []ledger.Answer
}

// ClaimReply answers a claim for work that must not repeat.
type ClaimReply struct {
	Hint
	Answer state.ClaimAnswer
}

// OrderReply carries an order number.
type OrderReply struct {
	Hint
	Number uint64
	// Accepted is set where this publish put the policy in force. A resent one,
	// or another policy with its number, is not accepted again.
	Accepted bool
}

// JoinArgs asks to add a control host.
type JoinArgs struct {
	Member raft.Member
}

// JoinReply says that the host is a learner or voter of the group.
type JoinReply struct {
	Hint
	Member bool
	Voter  bool
}

// PublishReply answers a publish with the number in force.
type PublishReply struct {
	Hint
	Number uint64
	// Accepted is set where this publish put the policy in force. A resent one,
	// or another policy with its number, is not accepted again.
	Accepted bool
}

// PolicyArgs asks for the routing policy in force, confirmed by a quorum.
type PolicyArgs struct {
	// Have is the number that the asker has; its data is not sent again.
	Have uint64
}

// PolicyReply is the routing policy in force.
type PolicyReply struct {
	Hint
	Policy state.Published
}

// QuotaReply answers a holder's statement.
type QuotaReply struct {
	Hint
	Allowances []quota.Allowance
	Ended      bool
	// Undecided is set where the statement was not taken in, since the end of the holder
	// that this one replaces is still being judged.
	Undecided bool
}

// ElapsedArgs asks how long ago a host wrote the last entry of a term.
type ElapsedArgs struct {
	Term uint64
}

// ElapsedReply answers it; Known is false if the host has no entry of the term.
type ElapsedReply struct {
	Member raft.MemberID
	Since  time.Duration
	// Index is that of the entry.
	Index uint64
	Known bool
}

// FenceArgs asks a witness about a holder, and to refuse its further raises unless
// Peek is set.
type FenceArgs struct {
	Witness fleet.NodeID
	Holder  fleet.NodeID
	Peek    bool
}

// Empty is the answer of calls that answer nothing.
type Empty struct{}

// GetHint returns the hint of an answer.
func (h Hint) GetHint() Hint { return h }
