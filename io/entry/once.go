package entry

import (
	"context"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/state"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/telem"
	"dotterelgap/io/wire"

	"github.com/google/uuid"
)

// Limits of requests that must not be repeated.
const (
	keyClaimTimeout = 5 * time.Second
	maxStoredBytes  = 64 << 10
	claimAttempts   = 4
)

// serveOnce runs a request that must not be repeated. The control group binds its key to
// one agent before the request is dispatched there.
func (j *job) serveOnce(ctx context.Context, s *sink) *Problem {
	ctx, cancel := context.WithTimeout(ctx, j.timeout)
	defer cancel()
	owner := uuid.NewString()
	last := refusalProblem(wire.CodeUpstreamDown)
	for range claimAttempts {
		// Without an agent, the claim only looks up the result of an earlier
		// dispatch.
		node, _ := j.choose(ctx)
		answer, err := j.claim(ctx, node.ID, owner)
		if err != nil {
			return inDoubt("control_unreachable", "nothing was sent now, but an earlier try with this key can't be ruled out")
		}
		if answer.Record.State == state.ClaimNotRun {
			return last
		}
		done, problem := j.handleClaim(ctx, node, answer, s)
		if done {
			return problem
		}
		last = problem
		j.tried = append(j.tried, node.ID)
	}
	return last
}

func (j *job) claim(ctx context.Context, agent fleet.NodeID, owner string) (state.ClaimAnswer, error) {
	ctx, span := telem.Span(ctx, "entry.claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, keyClaimTimeout)
	defer cancel()
	c := state.Claim{ClaimKey: j.claimKey(), Body: j.bodyDigest, Agent: agent, Owner: owner}
	j.e.metrics.controlCall()
	reply, err := ctrl.Call[wire.ClaimReply](ctx, j.e.client, "Control.Claim", &c)
	return reply.Answer, err
}

func (j *job) claimKey() state.ClaimKey {
	return state.ClaimKey{Customer: j.caller.customer, Key: j.caller.key}
}

// handleClaim continues the request according to the record of its key. done reports
// whether the request has ended. If not, it is certain that nothing ran, and another agent
// may be tried.
func (j *job) handleClaim(ctx context.Context, node fleet.Node, a state.ClaimAnswer, s *sink) (done bool, p *Problem) {
	r := a.Record
	switch {
	case a.Mismatch:
		return true, refusalProblem(wire.CodeKeyReused)
	case r.State == state.ClaimDone:
		s.replay(r)
		return true, nil
	case a.Mine:
		return j.runClaimed(ctx, node, r.Attempt, s, false)
	}
	holder, ok := j.e.nodeByID(r.Agent)
	if !ok {
		return true, inDoubt("agent_unreachable", "the agent that may have run the request can't be reached")
	}
	return j.runClaimed(ctx, holder, r.Attempt, s, true)
}

// runClaimed dispatches the claimed attempt. If attach is set, it only attaches to the run
// that an earlier dispatch started.
func (j *job) runClaimed(ctx context.Context, n fleet.Node, attempt int, s *sink, attach bool) (bool, *Problem) {
	var res reservation
	if !attach {
		reserved, reason := j.reserve(ctx, attempt)
		if reason != "" {
			j.finishClaim(state.FinishClaim{ClaimKey: j.claimKey(), Attempt: attempt, State: state.ClaimNotRun})
			return true, budgetProblem(reason)
		}
		res = reserved
	}
	d := j.dispatch(ctx, n, attempt, res)
	d.AttachOnly = attach
	st := newStream(j.e, n, d, s)
	j.e.attemptStarted(n.ID)
	result := j.awaitResult(context.WithoutCancel(ctx), st)
	j.e.attemptEnded(n.ID, st, j, result)
	j.finishClaim(j.outcome(attempt, result, s))
	if !attach {
		j.settle(n, attempt, res, result)
	}
	switch {
	case result.done:
		s.finish()
		return true, nil
	case result.refusalCode == wire.CodeKeyReused:
		return true, refusalProblem(result.refusalCode)
	case result.refusalCode != "":
		return false, refusalProblem(result.refusalCode)
	}
	return true, inDoubt(result.doubtCode, "the request may have run; ask again with the same key")
}

// outcome returns the outcome to record for the claim.
func (j *job) outcome(attempt int, result attemptResult, s *sink) state.FinishClaim {
	f := state.FinishClaim{ClaimKey: j.claimKey(), Attempt: attempt, State: state.ClaimInDoubt}
	switch {
	case result.done && len(s.buffered) <= maxStoredBytes:
		f.State, f.Answer = state.ClaimDone, s.buffered
		if s.head != nil {
			f.Status, f.Type = s.head.Status, s.head.Type
		}
	case result.refusalCode != "" && result.refusalCode != wire.CodeKeyReused:
		f.State = state.ClaimNotRun
	}
	return f
}

// finishClaim records the outcome of a claim. If the control group is unreachable, the
// claim stays open. This is safe: the key stays bound to its agent.
func (j *job) finishClaim(f state.FinishClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), keyClaimTimeout)
	defer cancel()
	j.e.metrics.controlCall()
	_, _ = ctrl.Call[wire.ClaimReply](ctx, j.e.client, "Control.Finish", &f)
}

// replay sends the response that is stored with a claim.
func (s *sink) replay(r state.ClaimRecord) {
	s.reset()
	s.head = &wire.Piece{Status: r.Status, Type: r.Type}
	s.buffered = r.Answer
	s.finish()
}
