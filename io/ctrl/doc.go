// Package ctrl runs a control host. It connects the replicated log of core/raft
// to the disk, the network and the clock, applies committed entries to the state
// machine, and serves the other processes and the operators.
//
// One goroutine, the loop, owns all state. RPC handlers post tasks to it through a
// bounded queue. Tasks that are queued while one batch is synced to disk share the
// next sync.
//
// # Usage
//
//	h, err := ctrl.Start(ctrl.Deps{Log: log, Store: store, ...})
//	defer h.Close()
package ctrl
