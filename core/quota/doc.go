// Package quota keeps prepaid budgets where entries call upstreams themselves,
// so that no agent beside the upstream can meter or witness their use.
//
// The replicated Ledger gives each holder (an entry) an allowance per customer:
// Granted bounds all that the holder may ever spend, Start what it may spend at
// once, Mark what it may spend by CutOff without an answer. Invariant: over all
// holders, the sum of Granted, with what ended holders are billed, is at most what
// was paid.
//
// While no answer comes, allowances open by and by, and beyond its starts a holder
// spends only what half of its witnesses, other nodes, have recorded, and early on half
// of its keepers, witnesses with a disk. So when a holder dies, Evidence bounds what it can
// have spent: the witnesses' records, else the keepers' and the time for which it can
// have lived without an answer. It is billed that, and the rest of its allowance
// returns to the customer.
//
// All types are pure: input, now, and effects as results. docs/design/budgets-nodes.md
// has the reasons.
//
// # Usage
//
//	h := quota.NewHolder(id, addr, quota.DefaultOptions(), now)
//	h.SetCustomers(now, []string{"acme"})
//	s := h.Statement(now)
//	h.Answered(now, s.Seq, ledger.Apply(moment, s))
//	err := h.Reserve(now, "r1", "acme", 900)
//	h.Settle(now, "r1", 512)
//
//	r, witnesses, keepers, wanted := h.Raise(later)
//	h.Recorded(r, acked)
package quota
