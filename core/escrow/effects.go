package escrow

import (
	"time"

	"dotterelgap/core/fleet"
)

// Request asks a holder to reserve the worst-case tokens of one attempt.
type Request struct {
	ID       string
	Customer string
	Worst    Tokens
	// Borrower is the entry that dispatches the attempt, if it is not the holder.
	Borrower fleet.NodeID
	// NoWait refuses the request immediately if the holder's grants do not cover
	// it, so that the caller can ask the other holders first.
	NoWait bool
}

// Reason says why a request was refused.
type Reason string

// The reasons for a refusal. A refused request has run nothing.
const (
	// ReasonExhausted means that the control group has no more tokens for the
	// customer.
	ReasonExhausted Reason = "budget_exhausted"
	// ReasonUnreachable means that more tokens may exist, but the holder did not
	// get them in time.
	ReasonUnreachable Reason = "budget_unreachable"
	// ReasonUnfilled means that the holder has too few tokens and has not asked
	// the control group yet. It is returned for NoWait requests only.
	ReasonUnfilled Reason = "budget_unfilled"
)

// Result is the outcome of a Request. Parts is empty if the request was refused.
type Result struct {
	ID     string
	Parts  []Part
	Reason Reason
}

// Refill asks the ledger for a new grant. A refill that is resent with the same
// Seq returns the same grant.
type Refill struct {
	Holder   fleet.NodeID `cbor:"holder" json:"holder"`
	Place    fleet.Place  `cbor:"place" json:"place"`
	Customer string       `cbor:"customer" json:"customer"`
	Seq      uint64       `cbor:"seq" json:"seq"`
	// Latest is the newest grant that the holder received for the customer. A
	// newer grant in the ledger was opened by a delayed refill, so the ledger
	// returns that grant.
	Latest GrantID `cbor:"latest" json:"latest"`
	// Rate is the demand in tokens per second.
	Rate float64 `cbor:"rate" json:"rate"`
	// Have is the amount that the holder can still reserve.
	Have Tokens `cbor:"have" json:"have"`
	// Need is the shortfall of the smallest waiting request, Want that of all
	// waiting requests together.
	Need Tokens `cbor:"need" json:"need"`
	Want Tokens `cbor:"want" json:"want"`
	// Away lists the holders that the control group can't reach. The leader of
	// the control group sets it.
	Away []fleet.NodeID `cbor:"away" json:"away"`
	// Horizon is the time, in seconds, that the holder's stock should last.
	Horizon float64 `cbor:"horizon" json:"horizon"`
}

// Close returns a grant to the ledger. Final means that no other holder can have
// spent from it; otherwise the ledger settles it from the agents' reports.
type Close struct {
	Grant  GrantID      `cbor:"grant"`
	Holder fleet.NodeID `cbor:"holder"`
	Spent  Tokens       `cbor:"spent"`
	// Open is the amount that is still reserved. The grant stays open with it.
	Open  Tokens `cbor:"open"`
	Final bool   `cbor:"final"`
}

// Spend reports the cumulative use of a grant, so that a resend is idempotent.
type Spend struct {
	Grant  GrantID      `cbor:"grant"`
	Holder fleet.NodeID `cbor:"holder"`
	Spent  Tokens       `cbor:"spent"`
}

// Effects lists the messages and results that a Holder emits for an input.
type Effects struct {
	Results []Result
	Claims  []Claim
	Refills []Refill
	Closes  []Close
	Spends  []Spend
	// Searches lists customers for whom the agents of the place may know grants
	// of a dead holder.
	Searches []string
}

// Reset empties the effects and keeps the allocated memory.
func (fx *Effects) Reset() {
	fx.Results = fx.Results[:0]
	fx.Claims = fx.Claims[:0]
	fx.Refills = fx.Refills[:0]
	fx.Closes = fx.Closes[:0]
	fx.Spends = fx.Spends[:0]
	fx.Searches = fx.Searches[:0]
}

// Denial is the ledger's reply to a Refill that it can't meet.
type Denial struct {
	Customer string `cbor:"customer"`
	Seq      uint64 `cbor:"seq"`
	// Free is the amount that the ledger could have granted to a smaller request.
	Free Tokens `cbor:"free"`
	// Recalling is set while the ledger recalls tokens from other holders.
	Recalling bool `cbor:"recalling"`
}

type waitingRequest struct {
	req      Request
	deadline time.Time
}
