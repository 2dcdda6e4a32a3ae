package fleet

import (
	"net/netip"
	"time"
)

// Sharer is an address at which a node runs or has run lately. All sharers together keep the
// bounds that hold for the sum of what nodes send. A node that restarts at its address takes
// the part of its earlier incarnation.
type Sharer struct {
	Addr netip.AddrPort
	// Settled is set once all sharers have agreed on a set that contains this one.
	Settled bool
	// Silent is the time since the latest heartbeat from the address.
	Silent time.Duration
}

// Sharers is one node's view of the sharers. It contains every node that may use a part, since
// a node joins only after all others know it.
type Sharers struct {
	Self netip.AddrPort
	// All are the addresses of the sharers, sorted, including Self.
	All []netip.AddrPort
	// Joined is set if the node may use its part. It is not while the node is new or restarted,
	// nor after it has heard no majority of the sharers for long.
	Joined bool
}
