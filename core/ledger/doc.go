// Package ledger keeps every customer's prepaid budget: the tokens paid, the
// tokens billed, and the grants that hold tokens in escrow.
//
// The ledger is a deterministic state machine on the replicated log. At every
// index
//
//	billed + the sum of all grants' outstanding tokens <= paid
//
// holds for every customer. A grant is removed in one of three ways: its only
// holder closes it, the agents' reports settle it after all agents have fenced
// it, or an operator writes it off.
//
// # Usage
//
//	l := ledger.New()
//	l.TopUp(ledger.TopUp{ID: "inv-7", Customer: "acme", Tokens: 50_000})
//	res := l.Open(refill)
package ledger
