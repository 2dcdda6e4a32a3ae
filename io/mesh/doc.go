// Package mesh drives core/gossip: it exchanges deltas with other nodes over
// net/rpc and hands out what is known of the fleet. It also carries the routing
// policy to nodes that lack it.
//
// # Usage
//
//	m, err := mesh.Start(mesh.Deps{Log: log, Pool: pool, Server: srv, Self: peer, Seeds: seeds, Rand: rnd})
//	defer m.Close()
//	m.RecordHeartbeat(upstream)
//	ups := m.Upstreams()
package mesh
