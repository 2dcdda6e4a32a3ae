package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/state"
	"dotterelgap/io/wire"
)

// catchUp fetches a newer policy from the peers that have one. It does not wait for them: some
// may be on the other side of a partition and still count as alive. One fetch runs at a time.
func (n *Node) catchUp(ctx context.Context, alive []fleet.Peer) {
	var newer []netip.AddrPort
	for _, p := range alive {
		if p.Policy > n.number() && p.Addr != n.self {
			newer = append(newer, p.Addr)
		}
	}
	if len(newer) == 0 || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	rand.Shuffle(len(newer), func(i, j int) { newer[i], newer[j] = newer[j], newer[i] })
	n.wg.Go(func() {
		defer n.fetching.Store(false)
		n.fetchPolicy(ctx, newer)
	})
}

// fetchPolicy asks peers for a newer policy, one more each hedgeAfter, until one has replied
// or all have failed.
func (n *Node) fetchPolicy(ctx context.Context, peers []netip.AddrPort) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan state.Published, len(peers))
	next := time.NewTicker(hedgeAfter)
	defer next.Stop()
	for asked, replied := 0, 0; replied < len(peers); {
		if asked < len(peers) {
			addr := peers[asked]
			asked++
			n.wg.Go(func() { replies <- n.policyOf(ctx, addr) })
		}
		select {
		case <-ctx.Done():
			return
		case p := <-replies:
			replied++
			if p.Number > 0 {
				n.offer(p)
				return
			}
		case <-next.C:
		}
	}
}

// policyOf returns a peer's policy if it is newer, else one with the number 0.
func (n *Node) policyOf(ctx context.Context, addr netip.AddrPort) state.Published {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var got state.Published
	if err := n.deps.Pool.Call(ctx, addr, "Node.Policy", &wire.PolicyArgs{Have: n.number()}, &got); err != nil {
		return state.Published{}
	}
	return got
}
