// Package node runs a node: an entry that calls upstreams directly, together with a
// control host if it has a data folder. Nodes discover each other through a few seeds.
// Upstreams send their heartbeats to any node.
//
// # Usage
//
//	n, err := node.Start(node.Deps{Log: log, Pool: pool, Server: srv, ...})
//	defer n.Close(ctx)
package node
