// Package ctrl runs a control host: it drives the replicated log of core/raft
// with disk, network and time, applies it to the state machine, and serves the
// other processes and the operators.
//
// One goroutine owns all state. RPC handlers post tasks to it through a bounded
// queue; everything that queued up while a batch was synced shares the next
// sync.
//
// # Usage
//
//	h, err := ctrl.Start(ctrl.Deps{Log: log, Store: store, ...})
//	defer h.Close()
package ctrl
