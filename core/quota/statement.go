package quota

import (
	"net/netip"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
)

// Tokens counts tokens of a budget.
type Tokens = escrow.Tokens

// Statement is a holder's report on its allocations. It is cumulative, so that applying
// one twice is harmless.
type Statement struct {
	Holder fleet.NodeID   `cbor:"1,keyasint"`
	Addr   netip.AddrPort `cbor:"2,keyasint"`
	// Seq orders the statements of a holder. Heard is the Seq of the latest one that the
	// holder got a reply to.
	Seq   uint64  `cbor:"3,keyasint"`
	Heard uint64  `cbor:"4,keyasint"`
	Uses  []Usage `cbor:"5,keyasint"`
	// Left is set by a holder that shuts down and spends nothing more.
	Left bool `cbor:"6,keyasint,omitempty"`
	// Age is how long ago the holder's process started.
	Age time.Duration `cbor:"7,keyasint"`
	// Replaces is set by the leader of the control group if the holder replaces another
	// one at its address. It says how that one ended.
	Replaces Ending `cbor:"13,keyasint"`
	// Witnesses are the nodes of which half must have recorded what the holder spends
	// beyond its initial limits. Without any, no record is needed.
	Witnesses []fleet.NodeID `cbor:"9,keyasint,omitempty"`
	// Keepers are the witnesses with a disk. What half of them have recorded opens earlier.
	Keepers []fleet.NodeID `cbor:"12,keyasint,omitempty"`
	// Testimony is what the node has recorded as a witness. It is set with Left, when the node
	// records nothing more.
	Testimony Testimony `cbor:"14,keyasint"`
}

// Usage is a holder's report on one customer.
type Usage struct {
	Customer string `cbor:"1,keyasint"`
	// Spent is the total spent, Reserved what requests in progress may still spend.
	Spent    Tokens `cbor:"2,keyasint"`
	Reserved Tokens `cbor:"3,keyasint"`
	// Mark is the cutoff limit that the holder asks for. If it is below the present one,
	// the holder lowers its limit. Start is the initial limit, the part of Mark that may
	// begin immediately. The rest opens evenly until CutOff while no reply comes.
	Mark  Tokens `cbor:"4,keyasint"`
	Start Tokens `cbor:"10,keyasint"`
	// GiveBack is set if the holder gives back what its allocation has above Limit.
	GiveBack bool   `cbor:"9,keyasint,omitempty"`
	Limit    Tokens `cbor:"5,keyasint"`
	// Need is the sum of the worst cases of requests that the allocation did not cover.
	Need Tokens `cbor:"6,keyasint"`
	// Rate is the demand in tokens per second.
	Rate float64 `cbor:"7,keyasint"`
	// Largest is the worst case of the largest recent request.
	Largest Tokens `cbor:"8,keyasint"`
	// Unbegun is the part of Reserved of requests of which nothing was passed on yet.
	Unbegun Tokens `cbor:"11,keyasint,omitempty"`
}

// Allowance is the ledger's reply for one customer.
type Allowance struct {
	Customer string
	// Unbounded is set if the customer has no prepaid amount.
	Unbounded bool
	Granted   Tokens
	// Mark is the cutoff limit, Start the initial limit.
	Mark  Tokens
	Start Tokens
	// Recall is set if the holder is asked to give back what it has above Keep.
	Recall bool
	Keep   Tokens
	// Wanted is set if another holder waits for what this one is to give back.
	Wanted bool
	// Rate is the demand of the holder that this one replaced, in tokens per second. It
	// is set only until the holder has a reply.
	Rate float64
	// Unspent is what the customer has left over all holders if all requests in progress
	// use their worst case, as far as the holders have reported.
	Unspent Tokens
}
