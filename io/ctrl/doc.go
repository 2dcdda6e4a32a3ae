// Package ctrl runs a control host. It connects the replicated log of core/raft
// to the disk, the network and the clock, applies committed entries to the state
// machine, and serves the other processes and the operators.
//
// One goroutine, the loop, owns all state. RPC handlers post tasks to it through a
// bounded queue. Another goroutine, the writer, writes what the loop has gathered with one
// sync, while the loop goes on and gathers the next batch (docs/design/disks.md).
//
// # Usage
//
//	h, err := ctrl.Start(ctrl.Deps{Log: log, Store: store, ...})
//	defer h.Close()
package ctrl
