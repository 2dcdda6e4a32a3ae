package entry

import (
	"context"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/io/wire"
)

// Limits of the retries for an attempt whose agent does not respond.
const (
	settleTries    = 15
	maxSettleDelay = 2 * time.Second
)

// settlement settles the charge of an attempt that ran or may have run.
type settlement struct {
	e    *Entry
	node fleet.Node
	run  wire.RunID
	res  reservation
	// billed is the number of tokens to bill for the attempt, or 0 if the caller got no
	// part of the response.
	billed escrow.Tokens
	// earlier lists the agents of earlier attempts for the same key.
	earlier []fleet.NodeID
}

// settle records the charge at the agent and releases the reservation. If the agent
// does not know the charge, settle abandons the reservation and the ledger settles its
// grants.
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

// recordCharge records the charge at the agent and returns what the agent bills. ended
// is false if the agent has restarted since and does not know the attempt. ok is false
// if the agent does not respond or the attempt is still running.
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

// voidEarlier voids the earlier attempts for the key and reports whether it is certain
// that none of them is billed. Otherwise settle does not bill this attempt, so that the
// key is never billed twice.
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

// waitUnlessStopping waits for d between two tries. It returns false once the entry is
// stopping; the ledger then settles the remaining grants.
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
