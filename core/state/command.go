package state

import (
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/ledger"
	"dotterelgap/core/quota"
)

// Command is one step of the state machine. It sets one of the pointers, or Retire, or
// the lists of budget changes.
type Command struct {
	// At is the leader's time. It starts at the wall clock's time and never jumps while
	// the leader's process runs.
	At time.Time `cbor:"at"`
	// By and Term identify the leader that proposed the command.
	By        uint64            `cbor:"by"`
	Term      uint64            `cbor:"term"`
	Apply     *ApplyConfig      `cbor:"apply,omitempty"`
	TopUp     *ledger.TopUp     `cbor:"top_up,omitempty"`
	Refills   []escrow.Refill   `cbor:"refills,omitempty"`
	Spends    []escrow.Spend    `cbor:"spends,omitempty"`
	Closes    []escrow.Close    `cbor:"closes,omitempty"`
	Settle    []escrow.GrantID  `cbor:"settle,omitempty"`
	Progress  []ledger.Progress `cbor:"progress,omitempty"`
	WriteOff  *ledger.WriteOff  `cbor:"write_off,omitempty"`
	Join      *fleet.Node       `cbor:"join,omitempty"`
	Retire    fleet.NodeID      `cbor:"retire,omitempty"`
	Leave     *Leave            `cbor:"leave,omitempty"`
	Claim     *Claim            `cbor:"claim,omitempty"`
	Finish    *FinishClaim      `cbor:"finish,omitempty"`
	Order     *Order            `cbor:"order,omitempty"`
	Publish   *Publish          `cbor:"publish,omitempty"`
	Quota     *quota.Statement  `cbor:"quota,omitempty"`
	EndHolder *quota.Ending     `cbor:"end_holder,omitempty"`
	Evacuate  *Evacuate         `cbor:"evacuate,omitempty"`
	Depart    *fleet.Departure  `cbor:"depart,omitempty"`
}

// EndsHolder reports whether the command may end a holder of prepaid budgets.
func (c Command) EndsHolder() bool {
	return c.EndHolder != nil || c.Quota != nil && (c.Quota.Replaces.Holder != "" || c.Quota.Left)
}

// Ending returns the ending of a holder that the command may apply.
func (c Command) Ending() quota.Ending {
	switch {
	case c.EndHolder != nil:
		return *c.EndHolder
	case c.Quota != nil:
		return c.Quota.Ending()
	}
	return quota.Ending{}
}

// Publish proposes a routing policy. The policy with the highest number is in force.
type Publish struct {
	Number uint64 `cbor:"number"`
	// Data is the policy, encoded by the node that received it from the operator.
	Data []byte `cbor:"data"`
	// Prepaid holds the prepaid tokens of each customer in the policy.
	Prepaid map[string]escrow.Tokens `cbor:"prepaid"`
}

// ApplyConfig proposes the next version of the configuration.
type ApplyConfig struct {
	// ChangeID identifies the change, so that a retry gets the first result again.
	ChangeID string `cbor:"change_id"`
	// Base is the version that the change was made against.
	Base uint64 `cbor:"base"`
	// Digest is the fingerprint of the proposed configuration.
	Digest uint64        `cbor:"digest"`
	Change config.Change `cbor:"change"`
	// By is the name of the operator, for the history.
	By string `cbor:"by"`
}

// Leave is the leave message of an agent that shuts down, with its last reports.
type Leave struct {
	Agent   fleet.NodeID    `cbor:"agent"`
	Reports []escrow.Report `cbor:"reports"`
}

// ChangeResult is the result of a proposed change. It is stored and never modified.
type ChangeResult struct {
	ChangeID string `cbor:"change_id" json:"change_id"`
	Accepted bool   `cbor:"accepted" json:"accepted"`
	Base     uint64 `cbor:"base" json:"base"`
	Digest   uint64 `cbor:"digest" json:"digest"`
	// Version is the version that the change became, or the one in force when it was
	// rejected.
	Version uint64 `cbor:"version" json:"version"`
	// Winner is the id of the change that became version Base+1, if this one conflicts
	// with it.
	Winner string `cbor:"winner,omitempty" json:"winner,omitempty"`
	// Reason says why the change was rejected, if not for a conflict, or which top-ups of
	// an accepted change failed. It is part of the replicated state.
	Reason string `cbor:"reason,omitempty" json:"reason,omitempty"`
}

// Result is the result of a command. Err goes to the sender of the command; it never
// stops the log from being applied.
type Result struct {
	Change  *ChangeResult
	Answers []ledger.Answer
	Claim   *ClaimAnswer
	Order   uint64
	Joined  escrow.GrantID
	// Published is the number of the policy in force after a Publish. Accepted is set if
	// that command put it in force.
	Published  uint64
	Accepted   bool
	Allowances []quota.Allowance
	// NotRecorded is set if a statement was not recorded and the holder that it replaces
	// must be assessed again.
	NotRecorded bool
	// Evacuations are the evacuated places after an Evacuate. InForce is unset if the order was
	// outdated and changed nothing.
	Evacuations fleet.Evacuations
	InForce     bool
	// Ended is set if the statement came from a holder that has been ended.
	Ended bool
	Err   error
}
