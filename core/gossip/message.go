package gossip

import "dotterelgap/core/fleet"

// Request starts an exchange. It contains the sender's changes and the stamp up to which
// the sender has merged the partner's changes.
type Request struct {
	From fleet.Peer
	// Life is the id of the partner's incarnation that Have refers to.
	Life  fleet.NodeID
	Have  uint64
	Delta Delta
}

// Reply is a node's reply to a Request. It contains the changes that the requesting node
// lacks.
type Reply struct {
	From fleet.Peer
	// Have is the stamp of the request's delta, which is acknowledged as merged.
	Have  uint64
	Delta Delta
}

// Delta contains changed records of the sender, up to its stamp Upto.
type Delta struct {
	Upto  uint64
	Peers []fleet.Peer
	// Beats are the counters of the peers of which nothing else has changed.
	Beats     Beats
	Upstreams []fleet.Upstream
	// UpstreamBeats are the counters of the upstreams of which nothing else has changed.
	UpstreamBeats Beats
	Quarantines   []fleet.Quarantine
	// Sharers are all sharers that the sender knows, if the receiver has reported another set.
	Sharers []fleet.Sharer
	// Evacuations are the evacuated places, in every delta.
	Evacuations fleet.Evacuations
}
