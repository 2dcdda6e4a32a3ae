package escrow

import (
	"cmp"
	"math"

	"dotterelgap/core/fleet"
)

// Tokens counts prompt and completion tokens.
type Tokens int64

// GrantID numbers the grants in the order in which the ledger opened them.
type GrantID uint64

// Grant is a part of a customer's budget that was set aside for one holder.
// Its fields never change after the ledger opened it.
type Grant struct {
	ID       GrantID      `cbor:"id" json:"id"`
	Customer string       `cbor:"customer" json:"customer"`
	Place    fleet.Place  `cbor:"place" json:"place"`
	Holder   fleet.NodeID `cbor:"holder" json:"holder"`
	Amount   Tokens       `cbor:"amount" json:"amount"`
	// Witnesses are the agents at which slices of the grant are claimed. With
	// none, the whole grant is the first holder's and can't be taken over.
	Witnesses []fleet.NodeID `cbor:"witnesses" json:"witnesses,omitempty"`
}

// Majority is the number of witnesses that must agree.
func (g Grant) Majority() int {
	return len(g.Witnesses)/2 + 1
}

// Part is an amount that is reserved in one grant for one request.
type Part struct {
	Grant  GrantID `cbor:"grant" json:"grant"`
	Amount Tokens  `cbor:"amount" json:"amount"`
}

// Total sums the amounts of the parts.
func Total(parts []Part) Tokens {
	var sum Tokens
	for _, p := range parts {
		sum += p.Amount
	}
	return sum
}

// Split assigns used tokens to the parts, in their order.
func Split(parts []Part, used Tokens) []Part {
	out := make([]Part, 0, len(parts))
	for _, p := range parts {
		n := min(p.Amount, used)
		used -= n
		out = append(out, Part{Grant: p.Grant, Amount: n})
	}
	return out
}

// Ballot orders the attempts to hold a grant. The higher ballot wins.
type Ballot struct {
	Round uint64       `cbor:"round" json:"round"`
	Node  fleet.NodeID `cbor:"node" json:"node"`
}

// FirstBallot is the ballot of the holder that the ledger named.
func FirstBallot(g Grant) Ballot {
	return Ballot{Round: 1, Node: g.Holder}
}

// ClosingBallot is above every holder's ballot: after it nobody claims.
func ClosingBallot() Ballot {
	return Ballot{Round: math.MaxUint64}
}

// Compare returns -1, 0 or 1 as b is below, equal to or above o.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Node, o.Node))
}
