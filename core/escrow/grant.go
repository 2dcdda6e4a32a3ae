package escrow

import (
	"cmp"
	"math"

	"dotterelgap/core/fleet"
)

// Tokens is a number of prompt and completion tokens.
type Tokens int64

// GrantID identifies a grant. The ledger assigns ids in ascending order.
type GrantID uint64

// Grant is a part of a customer's budget that is set aside for one holder. It is
// immutable once the ledger has opened it.
type Grant struct {
	ID       GrantID      `cbor:"id" json:"id"`
	Customer string       `cbor:"customer" json:"customer"`
	Place    fleet.Place  `cbor:"place" json:"place"`
	Holder   fleet.NodeID `cbor:"holder" json:"holder"`
	Amount   Tokens       `cbor:"amount" json:"amount"`
	// Witnesses are the agents at which slices of the grant are claimed. Without
	// witnesses, the first holder owns the whole grant and no successor can take
	// it over.
	Witnesses []fleet.NodeID `cbor:"witnesses" json:"witnesses,omitempty"`
}

// Majority returns the number of witnesses that must accept a claim.
func (g Grant) Majority() int {
	return len(g.Witnesses)/2 + 1
}

// Part is the amount that a request has reserved in one grant.
type Part struct {
	Grant  GrantID `cbor:"grant" json:"grant"`
	Amount Tokens  `cbor:"amount" json:"amount"`
}

// Total returns the sum of the parts' amounts.
func Total(parts []Part) Tokens {
	var sum Tokens
	for _, p := range parts {
		sum += p.Amount
	}
	return sum
}

// Split distributes used tokens over the parts, in order.
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

// FirstBallot returns the ballot of the holder that the ledger opened g for.
func FirstBallot(g Grant) Ballot {
	return Ballot{Round: 1, Node: g.Holder}
}

// ClosingBallot returns a ballot above every holder's ballot. A witness that has
// promised it accepts no more claims.
func ClosingBallot() Ballot {
	return Ballot{Round: math.MaxUint64}
}

// Compare returns -1, 0 or 1 if b is below, equal to or above o.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Node, o.Node))
}
