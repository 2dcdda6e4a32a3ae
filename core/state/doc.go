// Package state is the replicated state machine of the control group:
// configuration, ledger, claims for work that must not repeat, and the numbers
// of orders to engines.
//
// It is deterministic: every control host that applies the same commands in the
// same order has the same state. Time enters only as a field of a command, set
// by the leader, and decides nothing but how long records are kept.
//
// # Usage
//
//	m := state.New()
//	res := m.Apply(state.Command{TopUp: &ledger.TopUp{...}})
package state
