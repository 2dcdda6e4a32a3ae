package fleet

import "net/netip"

// Peer describes a node that serves callers itself, as sent in its heartbeats to the
// other nodes.
type Peer struct {
	ID    NodeID
	Place Place
	// Addr is the node's internal address, and API the address for operators and
	// upstreams.
	Addr netip.AddrPort
	API  netip.AddrPort
	// Disk is set if the node has a data folder and can join the control group.
	Disk bool
	// Keeper is the id of the durable witness on the node's disk, if there is one.
	Keeper NodeID
	// Beat is the heartbeat counter, which increases while the node is alive.
	Beat uint64
	// Policy is the number of the routing policy in force at the node.
	Policy uint64
	// Leader is the address of the control group's leader, as far as the node knows.
	Leader netip.AddrPort
	// Term is the term of Leader: of two nodes, the one with the higher term has the
	// more recent view.
	Term uint64
	// Sharers is a hash of the sharers that the node knows.
	Sharers  uint64
	Draining bool
	// Left is set in the node's leave message, its last heartbeat.
	Left bool
}

// Newer reports whether p is from a later heartbeat than q.
func (p Peer) Newer(q Peer) bool {
	return p.Beat > q.Beat
}
