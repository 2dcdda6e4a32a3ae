package entry

import (
	"context"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/io/wire"
)

// Limits of booking an attempt whose agent does not answer.
const (
	bookTries = 15
	bookPause = 2 * time.Second
)

// booking ends an attempt that ran or may have run.
type booking struct {
	e    *Entry
	node fleet.Node
	run  wire.RunID
	res  reservation
	// billed is what the caller owes for the attempt, 0 if it got nothing.
	billed escrow.Tokens
	// earlier are the agents that were tried before for the same key.
	earlier []fleet.NodeID
}

// book finds out what the attempt is billed at and releases the reservation.
// Where the agent can't tell, the ledger settles the grants.
func (b booking) book() {
	if b.billed > 0 && !b.voidEarlier() {
		b.billed = 0
	}
	for try := range bookTries {
		billed, ended, ok := b.ask()
		if ok && ended {
			b.e.metrics.used(billed)
			b.e.budget.release(b.res, billed)
			return
		}
		if ok || !b.e.pause(min(resumePause<<try, bookPause)) {
			break
		}
	}
	b.e.budget.abandon(b.res)
}

// ask books at the agent. ended is false where its life is over.
func (b booking) ask() (billed escrow.Tokens, ended, ok bool) {
	r, ok := b.e.resolve(b.node, b.run)
	switch {
	case !ok || r.Running:
		return 0, false, false
	case r.OtherLife:
		return 0, false, true
	case r.NotRun || r.Expired || r.Payment != b.res.id:
		return 0, true, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	var reply wire.AckReply
	err := b.e.deps.Pool.Call(ctx, b.node.Addr, "Agent.Ack", &wire.AckArgs{RunID: b.run, Billed: b.billed}, &reply)
	return reply.Billed, !reply.OtherLife, err == nil
}

// voidEarlier makes sure that no earlier attempt for the key is billed. If that
// can't be had, this attempt is not billed, so that the key never is twice.
func (b booking) voidEarlier() bool {
	for _, id := range b.earlier {
		if !b.void(id) {
			return false
		}
	}
	return true
}

func (b booking) void(id fleet.NodeID) bool {
	run := b.run
	run.Agent = id
	for try := range bookTries {
		n, ok := b.e.nodeByID(id)
		if !ok {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
		var reply wire.VoidReply
		err := b.e.deps.Pool.Call(ctx, n.Addr, "Agent.Void", &run, &reply)
		cancel()
		if err == nil {
			return reply.Voided
		}
		if !b.e.pause(min(resumePause<<try, bookPause)) {
			return false
		}
	}
	return false
}

// pause waits between two tries. It is false once the entry is stopping: the
// ledger then settles what is left.
func (e *Entry) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-e.stopping:
		return false
	case <-t.C:
		return true
	}
}
