package quota

import (
	"net/netip"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
)

// Tokens counts tokens of a budget.
type Tokens = escrow.Tokens

// Statement is a holder's word on all its allowances. It is cumulative, so a
// resent or repeated one is harmless.
type Statement struct {
	Holder fleet.NodeID   `cbor:"1,keyasint"`
	Addr   netip.AddrPort `cbor:"2,keyasint"`
	// Seq orders the statements of a holder. Heard is the Seq of the latest one
	// that the holder got an answer to.
	Seq   uint64  `cbor:"3,keyasint"`
	Heard uint64  `cbor:"4,keyasint"`
	Uses  []Usage `cbor:"5,keyasint"`
	// Left is set by a holder that ends and spends nothing more.
	Left bool `cbor:"6,keyasint,omitempty"`
	// Age is how long the holder's process has run.
	Age time.Duration `cbor:"7,keyasint"`
	// Replaces is set by the control group's leader where the holder replaces one at
	// its address: how that one ended.
	Replaces Ending `cbor:"13,keyasint"`
	// Witnesses are the nodes of which half must have recorded what the holder
	// spends beyond its starts. Without any it needs nobody's word.
	Witnesses []fleet.NodeID `cbor:"9,keyasint,omitempty"`
	// Keepers are the witnesses with a disk, half of which may record it too.
	Keepers []fleet.NodeID `cbor:"12,keyasint,omitempty"`
}

// Usage is a holder's word on one customer.
type Usage struct {
	Customer string `cbor:"1,keyasint"`
	// Spent is all that was spent, Reserved what requests in progress may still
	// spend.
	Spent    Tokens `cbor:"2,keyasint"`
	Reserved Tokens `cbor:"3,keyasint"`
	// Mark asks for this mark. Below the present one it gives back. Start is the
	// part of it that may be spent at once; the rest opens evenly over CutOff while
	// no answer comes.
	Mark  Tokens `cbor:"4,keyasint"`
	Start Tokens `cbor:"10,keyasint"`
	// GiveBack is set where the holder gives back what its allowance has above
	// Limit.
	GiveBack bool   `cbor:"9,keyasint,omitempty"`
	Limit    Tokens `cbor:"5,keyasint"`
	// Need is the worst case of a request that the allowance did not cover.
	Need Tokens `cbor:"6,keyasint"`
	// Rate is the demand in tokens per second.
	Rate float64 `cbor:"7,keyasint"`
	// Largest is the worst case of the largest request of late.
	Largest Tokens `cbor:"8,keyasint"`
}

// Allowance is the ledger's answer for one customer.
type Allowance struct {
	Customer string
	// Unbounded is set where the customer has no prepaid amount.
	Unbounded bool
	Granted   Tokens
	Mark      Tokens
	Start     Tokens
	// Recall is set where the holder is asked to give back what it has above Keep.
	Recall bool
	Keep   Tokens
	// Wanted is set where another holder waits for what this one is to give back.
	Wanted bool
	// Rate is the demand of the holder that this one replaced, in tokens per second; 0
	// but in the first answer.
	Rate float64
	// Unspent is what the customer has left over all holders if all requests in
	// progress use their worst case, as far as the holders have said.
	Unspent Tokens
}
