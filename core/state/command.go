package state

import (
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/ledger"
	"dotterelgap/core/quota"
)

// Command is one step of the state machine. Exactly one of its pointers or
// lists is set.
type Command struct {
	// At is the leader's time. It starts with the time of day and never steps
	// while the leader's process lives.
	At time.Time `cbor:"at"`
	// By and Term name the leader that proposed the command.
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
}

// EndsHolder tells whether the command may end a holder of prepaid budgets.
func (c Command) EndsHolder() bool {
	return c.EndHolder != nil || c.Quota != nil && (c.Quota.Replaces.Holder != "" || c.Quota.Left)
}

// Publish proposes a routing policy. The highest number is in force.
type Publish struct {
	Number uint64 `cbor:"number"`
	// Data is the policy, packed by the node that its operator sent it to.
	Data []byte `cbor:"data"`
	// Prepaid are the customers' prepaid tokens, as the policy says.
	Prepaid map[string]escrow.Tokens `cbor:"prepaid"`
}

// ApplyConfig proposes the next version of the configuration.
type ApplyConfig struct {
	// ChangeID makes a resent change get its first result again.
	ChangeID string `cbor:"change_id"`
	// Base is the version that the operator started from.
	Base uint64 `cbor:"base"`
	// Digest is the fingerprint of the configuration that is proposed.
	Digest uint64        `cbor:"digest"`
	Change config.Change `cbor:"change"`
	// By names the operator, for the history.
	By string `cbor:"by"`
}

// Leave is an agent's orderly end, with its last reports.
type Leave struct {
	Agent   fleet.NodeID    `cbor:"agent"`
	Reports []escrow.Report `cbor:"reports"`
}

// ChangeResult is the stored result of a proposed change. It never changes afterwards.
type ChangeResult struct {
	ChangeID string `cbor:"change_id" json:"change_id"`
	Accepted bool   `cbor:"accepted" json:"accepted"`
	Base     uint64 `cbor:"base" json:"base"`
	Digest   uint64 `cbor:"digest" json:"digest"`
	// Version is the version that the change became, or the one in force when
	// it lost.
	Version uint64 `cbor:"version" json:"version"`
	// Winner is the change that took the number base + 1, where this one lost.
	Winner string `cbor:"winner,omitempty" json:"winner,omitempty"`
	// Reason says why the change was refused, if not for a conflict.
	Reason string `cbor:"reason,omitempty" json:"reason,omitempty"`
}

// Result is what a command came to. Err is for the one who asked; it never
// stops the log.
type Result struct {
	Change  *ChangeResult
	Answers []ledger.Answer
	Claim   *ClaimAnswer
	Order   uint64
	Joined  escrow.GrantID
	// Published is the number in force after a Publish. Accepted is set where that
	// publish put it in force.
	Published  uint64
	Accepted   bool
	Allowances []quota.Allowance
	// NotRecorded says that a statement was not recorded and must be assessed again.
	NotRecorded bool
	// Ended says that the statement came from a holder that was ended.
	Ended bool
	Err   error
}
