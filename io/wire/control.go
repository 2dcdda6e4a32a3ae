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

// Hint is part of every reply of a control host. If NotLeader is set, the host did
// nothing; Leader is the address of the leader, if known.
type Hint struct {
	NotLeader bool
	Leader    netip.AddrPort
}

// Load is the load of an agent's upstream, in runs.
type Load struct {
	Running int
	Waiting int
}

// BeatArgs is a process's heartbeat to the control group.
type BeatArgs struct {
	Node fleet.Node
	// Config is the version of the configuration in force in the process.
	Config uint64
	// Roster is the version of the membership view that the process has.
	Roster RosterVersion
	Load   Load
	// Reports are the agent's reports on the grants in the Fence of earlier replies.
	Reports []escrow.Report
	// Unknown lists the grants of which the agent does not know whether they are open. The
	// reply lists each of them in Open or Shut.
	Unknown []escrow.GrantID
	// Left marks the leave message of a process that shuts down and holds nothing more.
	Left bool
}

// RosterVersion orders membership views, also those of different leaders.
type RosterVersion struct {
	Term, Seq uint64
}

// Roster is the leader's membership view: the processes that it considers alive.
type Roster struct {
	Version RosterVersion
	Nodes   []fleet.Node
}

// BeatReply is the reply to a heartbeat.
type BeatReply struct {
	Hint
	Config config.Delta
	Roster *Roster
	// Joined is the ledger's next grant id when the agent joined, or 0 before it joins.
	Joined escrow.GrantID
	// Fence lists grants that the agent must fence and report on.
	Fence []escrow.Grant
	// Floor is the lowest open grant in the ledger.
	Floor escrow.GrantID
	// Open and Shut divide BeatArgs.Unknown into the grants that are open and those
	// that are not.
	Open, Shut []escrow.GrantID
	// Recalls lists grants that the entry should return.
	Recalls []escrow.GrantID
	// Funded lists customers for whom the ledger has more tokens than when it denied
	// the entry a refill.
	Funded []string
	// Order is the highest order number assigned for the agent's engine. It is
	// confirmed by a quorum if BeatArgs.Config was 0.
	Order uint64
	// Control lists the members of the control group.
	Control []netip.AddrPort
}

// BudgetArgs contains a holder's refills and its statements on spending.
type BudgetArgs struct {
	Refills []escrow.Refill
	Spends  []escrow.Spend
	Closes  []escrow.Close
}

// BudgetReply contains the ledger's reply to each refill, in the same order.
type BudgetReply struct {
	Hint
	Answers []ledger.Answer
}

// ClaimReply is the reply to a claim for work that must not be repeated.
type ClaimReply struct {
	Hint
	Answer state.ClaimAnswer
}

// OrderReply contains an order number.
type OrderReply struct {
	Hint
	Number uint64
	// Accepted is set if this publish put the policy in force. A retry of it, or
	// another policy with the same number, is not accepted again.
	Accepted bool
}

// JoinArgs requests that a host is added to the control group.
type JoinArgs struct {
	Member raft.Member
}

// JoinReply reports whether the host is a member of the group and whether it is a voter
// or still a learner.
type JoinReply struct {
	Hint
	Member bool
	Voter  bool
}

// LeaveArgs says that a member of the control group is about to stop. It is repeated until the
// reply says that nothing is left to do.
type LeaveArgs struct {
	Member raft.MemberID
}

// LeaveReply reports whether the member may stop without a loss to the group.
type LeaveReply struct {
	Hint
	// Handed is set once the member has no vote.
	Handed bool
	// NoSuccessor is set if no other member can take over the vote.
	NoSuccessor bool
}

// PublishReply is the reply to a publish. Number is the number of the policy in force.
type PublishReply struct {
	Hint
	Number uint64
	// Accepted is set if this publish put the policy in force. A retry of it, or
	// another policy with the same number, is not accepted again.
	Accepted bool
}

// PolicyArgs requests the routing policy in force, confirmed by a quorum.
type PolicyArgs struct {
	// Have is the number of the policy that the caller has. If that policy is still in
	// force, the reply does not include its data.
	Have uint64
}

// EvacuateReply is the reply to an order to evacuate a place, or to end that.
type EvacuateReply struct {
	Hint
	// Evacuations are the evacuated places after the order. InForce is unset if the order was
	// outdated and changed nothing.
	Evacuations fleet.Evacuations
	InForce     bool
}

// DepartReply is the reply to a departure, which is in the log if the reply comes from the leader.
type DepartReply struct {
	Hint
}

// PolicyReply contains the routing policy in force and the evacuated places.
type PolicyReply struct {
	Hint
	Policy      state.Published
	Evacuations fleet.Evacuations
}

// QuotaReply is the reply to a holder's statement.
type QuotaReply struct {
	Hint
	Allowances []quota.Allowance
	// Ended is set if the ledger has ended the holder.
	Ended bool
	// Undecided is set if the statement was not recorded because the assessment of the
	// holder that this one replaces is not finished.
	Undecided bool
}

// AccountArgs asks where a customer's tokens are.
type AccountArgs struct {
	Customer string
}

// AccountReply is the leader's reply. Known is false if it does not know the customer.
type AccountReply struct {
	Hint
	Known   bool
	Account quota.AccountView
}

// ElapsedArgs asks a control host how long ago it wrote the last entry of a term.
type ElapsedArgs struct {
	Term uint64
}

// ElapsedReply is the reply to ElapsedArgs.
type ElapsedReply struct {
	Member raft.MemberID
	Since  time.Duration
	// Index is the index of the entry.
	Index uint64
	// Known is unset if the host has no entry of the term.
	Known bool
}

// FenceArgs asks a witness for its report on a holder. Unless Peek is set, the witness
// refuses the holder's raises from then on.
type FenceArgs struct {
	Witness fleet.NodeID
	Holder  fleet.NodeID
	Peek    bool
}

// Empty is the type of empty arguments and replies.
type Empty struct{}

// GetHint returns the hint of a reply.
func (h Hint) GetHint() Hint { return h }
