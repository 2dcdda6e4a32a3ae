// Package gossip spreads soft state over nodes that know a few seeds only: who
// the other nodes are, which upstreams announced themselves, and which routing
// policy is in force. Nothing that must hold rests on it.
//
// Machine is pure. Its driver asks for Partners at an interval, exchanges deltas
// with them, and feeds what comes back. A delta holds only what the partner has
// not acknowledged yet, so the traffic of a calm fleet is small and grows with
// the number of nodes, not with its square.
//
// # Usage
//
//	m := gossip.New(gossip.Params{Self: peer, Seeds: seeds, Rand: rnd, Now: now})
//	for _, to := range m.Partners(now) {
//		req := m.Request(now, to)
//		reply := call(to, req)
//		m.OnReply(now, to, reply)
//	}
package gossip
