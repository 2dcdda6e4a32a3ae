// Package mesh runs core/gossip over net/rpc: it exchanges deltas with other nodes and
// provides the node's view of the nodes and upstreams. A node's record contains the number
// of its routing policy, so that nodes with an older policy can fetch the newer one.
//
// # Usage
//
//	m, err := mesh.Start(mesh.Deps{
//		Log: log, Pool: pool, Server: srv, Self: peer, Seeds: seeds, Rand: rnd, Changed: onChange,
//	})
//	defer m.Close()
//	m.RecordHeartbeat(upstream)
//	ups := m.Upstreams(inUse)
package mesh
