// Package quota keeps prepaid budgets where entries call upstreams themselves,
// so that no agent beside the upstream can meter or witness their use.
//
// The replicated Ledger gives each holder (an entry) an allowance per customer:
// Granted bounds all that the holder may ever spend, Mark all that it may spend
// while the control group can be reached. Invariant: over all holders, the sum
// of Granted, with what ended holders are billed, is at most what was paid.
//
// A holder raises its mark ahead of its use, and goes beyond it, up to Granted,
// only once it has had no answer for CutOff and half of its witnesses, other nodes,
// know of it. So when a holder dies, and its successor was started within CutOff or
// more than half of the witnesses have not heard of it, the mark bounds what it
// spent, and the rest of the allowance returns to the customer. Otherwise all of
// the allowance is billed.
//
// Both machines are pure: input, now, and effects as results.
//
// # Usage
//
//	h := quota.NewHolder(id, quota.DefaultOptions(), now)
//	h.SetCustomers([]string{"acme"})
//	s, due := h.Statement(now)
//	h.Answered(now, s.Seq, ledger.Apply(now, s))
//	reason := h.Reserve(now, "r1", "acme", 900)
//	h.Settle(now, "r1", 512)
package quota
