package fleet

import "net/netip"

// Peer describes a node that serves callers itself, as it announces itself to
// the other nodes.
type Peer struct {
	ID    NodeID
	Place Place
	// Addr is the node's internal address, API the one for operators and
	// upstreams.
	Addr netip.AddrPort
	API  netip.AddrPort
	// Disk is set where the node has a data folder and can join the control group.
	Disk bool
	// Keeper is the id of the witness on the node's disk, if there is one.
	Keeper NodeID
	// Beat grows while the node lives.
	Beat uint64
	// Policy is the number of the routing policy in force at the node.
	Policy uint64
	// Leader is the node's view of the control group's leader.
	Leader netip.AddrPort
	// Term orders views of the leader.
	Term     uint64
	Draining bool
	// Left is the node's last word.
	Left bool
}

// Newer tells whether p was announced after q.
func (p Peer) Newer(q Peer) bool {
	return p.Beat > q.Beat
}
