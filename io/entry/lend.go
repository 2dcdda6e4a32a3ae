package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/io/wire"

	"golang.org/x/sync/errgroup"
)

// Service is the net/rpc service "Entry", which the other entries call.
type Service struct {
	e *Entry
}

// Reserve lends tokens of this entry's grants to another entry.
func (s *Service) Reserve(args *wire.ReserveArgs, reply *wire.ReserveReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	result := s.e.budget.reserveLocal(ctx, escrow.Request{
		ID: args.ID, Customer: args.Customer, Worst: args.Worst, Borrower: args.Borrower, NoWait: args.NoWait,
	})
	reply.Parts, reply.Reason = result.Parts, result.Reason
	return nil
}

// Release ends a loan.
func (s *Service) Release(args *wire.ReleaseArgs, _ *wire.Empty) error {
	s.e.budget.releaseLocal(args.ID, args.Used)
	return nil
}

// Ping does nothing. Its reply shows that the entry is alive.
func (s *Service) Ping(_ *wire.Empty, _ *wire.Empty) error { return nil }

// reservation describes the tokens that are reserved for one attempt, at this entry or at
// another one.
type reservation struct {
	id     string
	parts  []escrow.Part
	holder fleet.NodeID
}

// localHolders returns the entries of this place that are asked for a customer's tokens.
// The first one is the customer's home entry, by rendezvous hashing. Without a membership
// view, it is this entry.
func (b *budget) localHolders(customer string) []fleet.NodeID {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if len(b.entries) == 0 {
		return []fleet.NodeID{b.e.deps.Node.ID}
	}
	return fleet.Rendezvous(customer, b.entries)[:min(len(b.entries), maxLocalHolders)]
}

// maxLocalHolders limits the number of holders of this place that are asked for one request.
const maxLocalHolders = 3

// remoteHolders returns the customer's home entry of each other place.
func (b *budget) remoteHolders(customer string) []fleet.NodeID {
	b.mu.RLock()
	defer b.mu.RUnlock()
	byPlace := map[fleet.Place][]fleet.NodeID{}
	for id, n := range b.nodes {
		if n.Place != b.e.deps.Node.Place && !n.Draining {
			byPlace[n.Place] = append(byPlace[n.Place], id)
		}
	}
	var out []fleet.NodeID
	for _, place := range slices.Sorted(maps.Keys(byPlace)) {
		out = append(out, fleet.Rendezvous(customer, byPlace[place])[0])
	}
	return out
}

// reserve reserves the worst-case tokens of an attempt. It asks, in this order, the
// holders of this place for tokens that they already have, the home entry, which requests
// tokens from the control group, and the holders of other places for tokens that they
// already have. If the first holder refuses for a reason other than
// ReasonUnfilled, it asks the other places before the home entry. If the home entry's
// reason is ReasonUnreachable, it asks this entry's own holder last.
func (b *budget) reserve(ctx context.Context, r escrow.Request) (reservation, escrow.Reason) {
	r.Borrower = b.e.deps.Node.ID
	local := b.localHolders(r.Customer)
	res, reason := b.reserveNoWait(ctx, local, r)
	if reason == "" {
		return res, ""
	}
	waited := reason == escrow.ReasonUnfilled
	if waited {
		if res, reason = b.reserveAt(ctx, local[0], withID(r, "home")); reason == "" {
			return res, ""
		}
	}
	if res, remoteReason := b.reserveNoWait(ctx, b.remoteHolders(r.Customer), r); remoteReason == "" {
		return res, ""
	}
	if !waited {
		res, reason = b.reserveAt(ctx, local[0], withID(r, "home"))
	}
	if reason == escrow.ReasonUnreachable && local[0] != b.e.deps.Node.ID {
		return b.reserveAt(ctx, b.e.deps.Node.ID, withID(r, "own"))
	}
	return res, reason
}

// withID returns the request with an ID of its own for one of several tries.
func withID(r escrow.Request, try string) escrow.Request {
	r.ID += "/" + try
	return r
}

// reserveNoWait asks holders one after another for tokens that they already have. If none
// has enough, it returns the reason of the first one.
func (b *budget) reserveNoWait(ctx context.Context, holders []fleet.NodeID, r escrow.Request) (reservation, escrow.Reason) {
	r.NoWait = true
	firstReason := escrow.Reason("")
	for _, holder := range holders {
		res, reason := b.reserveAt(ctx, holder, withID(r, string(holder)))
		if reason == "" {
			return res, ""
		}
		if firstReason == "" {
			firstReason = reason
		}
	}
	if firstReason == "" {
		firstReason = escrow.ReasonUnreachable
	}
	return reservation{}, firstReason
}

func (b *budget) reserveAt(ctx context.Context, holder fleet.NodeID, r escrow.Request) (reservation, escrow.Reason) {
	res := reservation{id: r.ID, holder: holder}
	if holder == b.e.deps.Node.ID {
		result := b.reserveLocal(ctx, r)
		res.parts = result.Parts
		return res, result.Reason
	}
	n, ok := b.e.nodeByID(holder)
	if !ok {
		return res, escrow.ReasonUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	args := wire.ReserveArgs{Borrower: b.e.deps.Node.ID, ID: r.ID, Customer: r.Customer, Worst: r.Worst, NoWait: r.NoWait}
	var reply wire.ReserveReply
	err := b.e.deps.Pool.Call(ctx, n.Addr, "Entry.Reserve", &args, &reply)
	var unknown *wire.UnknownOutcomeError
	if errors.As(err, &unknown) {
		b.e.wg.Go(func() { b.release(res, 0) })
	}
	if err != nil {
		return res, escrow.ReasonUnreachable
	}
	res.parts = reply.Parts
	return res, reply.Reason
}

// release ends a reservation at its holder. A holder that stays unreachable ends the
// reservation by itself: see escrow.Holder.BorrowerLost.
func (b *budget) release(res reservation, used escrow.Tokens) {
	if res.holder == b.e.deps.Node.ID {
		b.releaseLocal(res.id, used)
		return
	}
	for try := range releaseTries {
		n, ok := b.e.nodeByID(res.holder)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		err := b.e.deps.Pool.Call(ctx, n.Addr, "Entry.Release", &wire.ReleaseArgs{ID: res.id, Used: used}, &wire.Empty{})
		cancel()
		if err == nil {
			return
		}
		if !b.e.waitUnlessStopping(time.Duration(try+1) * releaseDelay) {
			return
		}
	}
}

// Limits of the retries when a loan is released at another entry.
const (
	releaseTries = 20
	releaseDelay = 250 * time.Millisecond
)

// search asks the agents of this place for grants of the customer, and tries to take over
// those whose holder does not respond.
func (b *budget) search(customer string) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	found := map[escrow.GrantID]escrow.Grant{}
	results := make(chan wire.GrantsReply, maxSearchedAgents)
	var g errgroup.Group
	for _, n := range b.localAgents() {
		g.Go(func() error {
			var reply wire.GrantsReply
			err := b.e.deps.Pool.Call(ctx, n.Addr, "Agent.Grants", &wire.GrantsArgs{Customer: customer, Place: n.Place}, &reply)
			if err == nil {
				results <- reply
			}
			return nil
		})
	}
	_ = g.Wait()
	close(results)
	for reply := range results {
		for _, gr := range reply.Grants {
			found[gr.ID] = gr
		}
	}
	for _, gr := range found {
		if gr.Holder != b.e.deps.Node.ID && !b.alive(ctx, gr.Holder) {
			b.tryPost(func(now time.Time, h *escrow.Holder, fx *escrow.Effects) { h.TakeOver(now, gr, fx) })
		}
	}
}

// maxSearchedAgents limits the number of agents that are asked in one search.
const maxSearchedAgents = 256

func (b *budget) localAgents() []fleet.Node {
	b.e.mu.RLock()
	defer b.e.mu.RUnlock()
	var out []fleet.Node
	for _, n := range b.e.roster.Nodes {
		if n.Role == fleet.RoleAgent && n.Place == b.e.deps.Node.Place && len(out) < maxSearchedAgents {
			out = append(out, n)
		}
	}
	return out
}

func (b *budget) alive(ctx context.Context, id fleet.NodeID) bool {
	n, ok := b.e.nodeByID(id)
	if !ok {
		return false
	}
	return b.e.deps.Pool.Call(ctx, n.Addr, "Entry.Ping", &wire.Empty{}, &wire.Empty{}) == nil
}

// Drain starts a graceful shutdown: the entry reports that it is not ready, and its
// process exits.
func (s *Service) Drain(_ *wire.Empty, _ *wire.Empty) error {
	if s.e.deps.Stop != nil {
		s.e.deps.Stop()
	}
	return nil
}
