// Package ledger keeps every customer's prepaid budget: what was paid, what was
// billed, and the grants that hold tokens in escrow.
//
// It is a deterministic machine on the replicated log. At every index
//
//	billed + the sum of all grants' outstanding tokens <= paid
//
// holds for every customer. A grant leaves the ledger in one of two ways: its
// only holder closes it, or the agents' reports settle it after all of them
// have fenced it.
//
// # Usage
//
//	l := ledger.New()
//	l.TopUp(ledger.TopUp{ID: "inv-7", Customer: "acme", Tokens: 50_000})
//	res := l.Open(refill)
package ledger
