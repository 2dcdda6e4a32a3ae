// Package gossip replicates soft state between nodes that initially know only a few seed
// addresses: which other nodes there are, which upstreams send heartbeats, which routing
// policy is in force, and which prompt parts are quarantined. The state is eventually
// consistent, so no safety property may depend on it.
//
// Machine does no I/O. Its driver calls Partners at an interval, exchanges deltas with the
// nodes that it returns, and passes their replies to OnReply. A delta contains only the
// records that the partner has not acknowledged yet, and of those in which only the heartbeat
// counter has changed the counter, so that the traffic is small while
// nothing changes and grows linearly with the number of nodes, not quadratically.
//
// # Usage
//
//	m := gossip.New(gossip.Params{Self: peer, Seeds: seeds, Rand: rnd, Now: now})
//	for _, addr := range m.Partners(now) {
//		req := m.Request(now, addr)
//		reply := call(addr, req)
//		m.OnReply(now, reply)
//	}
package gossip
