// Package state is the replicated state machine of the control group:
// configuration, ledger, quota ledger, routing policy, claims for requests that must not
// run twice, and the numbers of orders to engines.
//
// The state machine is deterministic: every control host that applies the same commands in
// the same order has the same state. Time enters only as a field of a command, set by the
// leader, and decides only how long records are kept and how demand for quota is weighted.
//
// # Usage
//
//	m := state.New()
//	res := m.Apply(state.Command{TopUp: &ledger.TopUp{...}})
package state
