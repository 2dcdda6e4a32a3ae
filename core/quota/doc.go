// Package quota manages prepaid budgets where entries call upstreams directly, so
// that no agent next to the upstream can meter or witness their use.
//
// The replicated Ledger gives each holder (an entry) an allocation per customer:
// Granted bounds all that the holder may ever spend, the initial limit (Start) what
// it may spend immediately, the cutoff limit (Mark) what it may spend by CutOff
// without a reply. Invariant: the sum of Granted over all holders, plus what ended
// holders are billed, is at most what was paid.
//
// While no reply comes, allocations open gradually. Beyond its initial limits a holder
// spends only what half of its witnesses, which are other nodes, have recorded. Early in
// the time without a reply, half of its keepers, which are witnesses with a disk, must
// have recorded it too. So when a holder dies, Evidence bounds what it can have spent:
// the witnesses' records, or else the keepers' records and the time for which it can
// have run without a reply. The holder is billed that bound, and the rest of its
// allocation returns to the customer.
//
// All types are pure: they take input and the current time and return their effects.
// docs/design/budgets-nodes.md has the reasons.
//
// # Usage
//
//	h := quota.NewHolder(id, addr, quota.DefaultOptions(), now)
//	h.SetCustomers(now, []string{"acme"})
//	s := h.Statement(now)
//	allowances, _ := ledger.Apply(timestamp, s)
//	h.HandleReply(now, s.Seq, allowances)
//	err := h.Reserve(now, "r1", "acme", 900)
//	h.Settle(now, "r1", 512)
//
//	r, witnesses, keepers, wanted := h.Raise(later)
//	h.HandleRecords(r, acked)
package quota
