package gossip

import "dotterelgap/core/fleet"

// Request opens an exchange: what the sender has for its partner, and up to
// which of the partner's stamps it has everything.
type Request struct {
	From fleet.Peer
	// Life is the life of the partner that Have counts for.
	Life  fleet.NodeID
	Have  uint64
	Delta Delta
}

// Reply answers a Request with what its sender lacks.
type Reply struct {
	From fleet.Peer
	// Have repeats the stamp of the request's delta, which is merged now.
	Have  uint64
	Delta Delta
}

// Delta is the records that changed up to a stamp of the sender.
type Delta struct {
	Upto      uint64
	Peers     []fleet.Peer
	Upstreams []fleet.Upstream
}
