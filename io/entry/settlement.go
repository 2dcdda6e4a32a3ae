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
	settleTries    = 15
	maxSettleDelay = 2 * time.Second
)

// settlement ends an attempt that ran or may have run.
type settlement struct {
	e    *Entry
	node fleet.Node
	run  wire.RunID
	res  reservation
	// billed is what the caller owes for the attempt, 0 if it got nothing.
	billed escrow.Tokens
	// earlier are the agents that were tried before for the same key.
	earlier []fleet.NodeID
}

// settle finds out what the attempt is billed at and releases the reservation.
// Where the agent can't tell, the ledger settles the grants.
func (s settlement) settle() {
	if s.billed > 0 && !s.voidEarlier() {
		s.billed = 0
	}
	for try := range settleTries {
		billed, ended, ok := s.recordCharge()
		if ok && ended {
			s.e.metrics.used(billed)
			s.e.budget.release(s.res, billed)
			return
		}
		if ok || !s.e.waitUnlessStopping(min(resumeDelay<<try, maxSettleDelay)) {
			break
		}
	}
	s.e.budget.abandon(s.res)
}

// recordCharge books at the agent. ended is false where its life is over.
func (s settlement) recordCharge() (billed escrow.Tokens, ended, ok bool) {
	r, ok := s.e.resolve(s.node, s.run)
	switch {
	case !ok || r.Running:
		return 0, false, false
	case r.OtherLife:
		return 0, false, true
	case r.NotRun || r.Expired || r.Payment != s.res.id:
		return 0, true, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	var reply wire.AckReply
	err := s.e.deps.Pool.Call(ctx, s.node.Addr, "Agent.Ack", &wire.AckArgs{RunID: s.run, Billed: s.billed}, &reply)
	return reply.Billed, !reply.OtherLife, err == nil
}

// voidEarlier makes sure that no earlier attempt for the key is billed. If that
// can't be had, this attempt is not billed, so that the key never is twice.
func (s settlement) voidEarlier() bool {
	for _, id := range s.earlier {
		if !s.void(id) {
			return false
		}
	}
	return true
}

func (s settlement) void(id fleet.NodeID) bool {
	run := s.run
	run.Agent = id
	for try := range settleTries {
		n, ok := s.e.nodeByID(id)
		if !ok {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
		var reply wire.VoidReply
		err := s.e.deps.Pool.Call(ctx, n.Addr, "Agent.Void", &run, &reply)
		cancel()
		if err == nil {
			return reply.Voided
		}
		if !s.e.waitUnlessStopping(min(resumeDelay<<try, maxSettleDelay)) {
			return false
		}
	}
	return false
}

// waitUnlessStopping waits between two tries. It is false once the entry is stopping: the
// ledger then settles what is left.
func (e *Entry) waitUnlessStopping(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-e.stopping:
		return false
	case <-t.C:
		return true
	}
}
