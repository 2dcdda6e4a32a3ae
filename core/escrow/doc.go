// Package escrow decides who may spend which tokens of a customer's prepaid
// budget, without any clock in the safety argument.
//
// The control group moves tokens from a customer's budget into grants. A grant
// is escrow: only its holder, an entry, spends from it, for as long as it
// likes. The holder claims the grant slice by slice at a majority of witnesses
// (agents), so that a successor can take over the unclaimed rest when the
// holder dies, also while the control group can't be reached. Agents run work
// and meter it per grant, and refuse grants that were fenced.
//
// Three machines live here: Holder (at entries), Witness and Meter (at agents).
// All are pure: input, now and effects; no I/O, no goroutines, no locks.
//
// # Usage
//
//	var fx escrow.Effects
//	h := escrow.NewHolder("entry-1", "sialkot", escrow.DefaultOptions())
//	h.AddGrant(now, grant, &fx)
//	h.Reserve(now, escrow.Request{ID: "r1", Customer: "acme", Worst: 900}, &fx)
//	for _, v := range fx.Verdicts { ... }
package escrow
