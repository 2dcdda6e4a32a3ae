// Package escrow decides who may spend which tokens of a customer's prepaid
// budget. Its safety does not depend on any clock.
//
// The control group moves tokens from a customer's budget into grants. A grant
// is held in escrow: only its holder, an entry, spends from it, with no time
// limit. The holder claims the grant in slices at a majority of witnesses
// (agents). If the holder dies, a successor can take over the unclaimed rest,
// even while the control group is unreachable. Agents run work, meter it per
// grant, and refuse work on fenced grants.
//
// The package has three state machines: Holder (at entries), Witness and Meter
// (at agents). They are pure functions of the input and the current time and
// return effects; they do no I/O, start no goroutines and take no locks.
//
// # Usage
//
//	var fx escrow.Effects
//	h := escrow.NewHolder("entry-1", "sialkot", escrow.DefaultOptions())
//	h.AddGrant(now, seq, grant, &fx)
//	h.Reserve(now, escrow.Request{ID: "r1", Customer: "acme", Worst: 900}, &fx)
//	for _, r := range fx.Results { ... }
package escrow
