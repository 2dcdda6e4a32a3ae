// Package node runs a node: an entry that calls upstreams directly, together
// with a control host where it has a data folder. Nodes find each other from a
// few seeds; upstreams announce themselves to any node.
//
// # Usage
//
//	n, err := node.Start(node.Deps{Log: log, Pool: pool, Server: srv, ...})
//	defer n.Close(ctx)
package node
