package escrow

import (
	"time"

	"dotterelgap/core/fleet"
)

// Request asks a holder for the worst case of one attempt.
type Request struct {
	ID       string
	Customer string
	Worst    Tokens
	// Borrower is the entry that will dispatch, if it is not the holder.
	Borrower fleet.NodeID
	// NoWait refuses at once what the holder's grants don't cover, so that the
	// other holders can be asked first.
	NoWait bool
}

// Reason says why a request was refused.
type Reason string

// The reasons for a refusal. All of them mean that nothing ran.
const (
	// ReasonExhausted: the control group has no more tokens for the customer.
	ReasonExhausted Reason = "budget_exhausted"
	// ReasonUnreachable: more tokens may exist but could not be had in time.
	ReasonUnreachable Reason = "budget_unreachable"
	// ReasonUnfilled: nothing is at hand, and the control group was not asked
	// yet. It answers a request that does not wait.
	ReasonUnfilled Reason = "budget_unfilled"
)

// Result is the outcome of a Request. Parts is empty if the request was refused.
type Result struct {
	ID     string
	Parts  []Part
	Reason Reason
}

// Refill asks the ledger for a new grant. Repeating one with the same Seq
// returns the same grant.
type Refill struct {
	Holder   fleet.NodeID `cbor:"holder" json:"holder"`
	Place    fleet.Place  `cbor:"place" json:"place"`
	Customer string       `cbor:"customer" json:"customer"`
	Seq      uint64       `cbor:"seq" json:"seq"`
	// Latest is the newest grant that the holder got for the customer. A newer
	// one in the ledger was opened by a message that came late, and is the answer.
	Latest GrantID `cbor:"latest" json:"latest"`
	// Rate is the demand in tokens per second.
	Rate float64 `cbor:"rate" json:"rate"`
	// Have is what the holder could still reserve.
	Have Tokens `cbor:"have" json:"have"`
	// Need is what the smallest waiting request lacks, Want what all lack.
	Need Tokens `cbor:"need" json:"need"`
	Want Tokens `cbor:"want" json:"want"`
	// Away lists holders that the control group can't reach; its leader sets it.
	Away []fleet.NodeID `cbor:"away" json:"away"`
	// Horizon is the time to stock for, in seconds.
	Horizon float64 `cbor:"horizon" json:"horizon"`
}

// Close gives a grant back to the ledger. Final means that nobody else can have
// spent from it; otherwise the ledger settles it from the agents' reports.
type Close struct {
	Grant  GrantID      `cbor:"grant"`
	Holder fleet.NodeID `cbor:"holder"`
	Spent  Tokens       `cbor:"spent"`
	// Open is what is still reserved; the grant stays open for it.
	Open  Tokens `cbor:"open"`
	Final bool   `cbor:"final"`
}

// Spend is a cumulative statement of a grant's use, so repeating it is harmless.
type Spend struct {
	Grant  GrantID      `cbor:"grant"`
	Holder fleet.NodeID `cbor:"holder"`
	Spent  Tokens       `cbor:"spent"`
}

// Effects are what a Holder wants done after an input.
type Effects struct {
	Results []Result
	Claims  []Claim
	Refills []Refill
	Closes  []Close
	Spends  []Spend
	// Searches names customers whose grants a dead holder may have left at
	// the agents of the place.
	Searches []string
}

// Reset empties the effects and keeps their memory.
func (fx *Effects) Reset() {
	fx.Results = fx.Results[:0]
	fx.Claims = fx.Claims[:0]
	fx.Refills = fx.Refills[:0]
	fx.Closes = fx.Closes[:0]
	fx.Spends = fx.Spends[:0]
	fx.Searches = fx.Searches[:0]
}

// Denial is the ledger's answer to a Refill that it can't meet.
type Denial struct {
	Customer string `cbor:"customer"`
	Seq      uint64 `cbor:"seq"`
	// Free is what could have been granted, if less had been needed.
	Free Tokens `cbor:"free"`
	// Recalling is set while other holders are asked to give tokens back.
	Recalling bool `cbor:"recalling"`
}

type waiting struct {
	req      Request
	deadline time.Time
}
