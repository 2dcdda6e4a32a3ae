package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/route"
	"dotterelgap/io/telem"
	"dotterelgap/io/wire"
)

// Limits and delays of the retries within one request.
const (
	resumeTries    = 5
	resumeDelay    = 50 * time.Millisecond
	resolveTimeout = time.Second
	routeDelay     = 50 * time.Millisecond
	routeWait      = 2 * time.Second
)

// job is one request of a caller with all its attempts.
type job struct {
	e          *Entry
	caller     caller
	service    config.Service
	access     config.Access
	request    wire.Request
	bodyDigest uint64
	worstCase  escrow.Tokens
	tokens     int
	blocks     []uint64
	timeout    time.Duration

	tried   []fleet.NodeID
	retried bool
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	// done is set if the response was read completely.
	done bool
	// refusalCode is the reason why the attempt did not run, if that is certain.
	refusalCode string
	// doubtCode is the reason why the attempt is in doubt: it may have run, but the
	// response is not complete.
	doubtCode string
	// unresolved is set if the outcome of the attempt at the agent is unknown.
	unresolved bool
	// used is the charge of the attempt.
	used escrow.Tokens
	// payment is the ID of the reservation that the run is charged to.
	payment string
}

// serve runs a repeatable request. It starts further attempts until one succeeds, a part
// of a response has been forwarded, or the limit of attempts is reached.
func (j *job) serve(ctx context.Context, s *sink) *Problem {
	ctx, cancel := context.WithTimeout(ctx, j.timeout)
	defer cancel()
	last := refusalProblem(wire.CodeUpstreamDown)
	for attempt := 1; attempt <= j.e.deps.Limits.Attempts; attempt++ {
		node, ok := j.choose(ctx)
		if !ok {
			break
		}
		result, problem := j.attempt(ctx, node, attempt, s)
		if problem != nil {
			return problem
		}
		if result.done {
			s.finish()
			return nil
		}
		last = j.problem(result)
		if s.headWritten {
			s.fail(last)
		}
		if ctx.Err() != nil || result.refusalCode == wire.CodeKeyReused {
			break
		}
		s.reset()
		j.retried = j.retried || result.doubtCode != ""
		j.tried = append(j.tried, node.ID)
	}
	if j.retried {
		return inDoubt("upstream_failed", "the request ran and its answer was lost; a retry with the same key is safe")
	}
	return last
}

func (j *job) problem(result attemptResult) *Problem {
	if result.doubtCode != "" {
		return inDoubt(result.doubtCode, "the request may have run; its answer is not whole")
	}
	return refusalProblem(result.refusalCode)
}

// choose chooses an agent. If the caller sent a key, the key determines the agent, so that
// a retry through another entry finds the run of the first attempt.
func (j *job) choose(ctx context.Context) (fleet.Node, bool) {
	deadline := time.Now().Add(routeWait)
	for {
		if n, ok := j.pick(); ok {
			return n, true
		}
		if len(j.tried) > 0 || ctx.Err() != nil || time.Now().After(deadline) {
			return fleet.Node{}, false
		}
		wait(ctx, routeDelay)
	}
}

func (j *job) pick() (fleet.Node, bool) {
	j.e.routeMu.Lock()
	defer j.e.routeMu.Unlock()
	if j.caller.keyed {
		return j.pickByKey()
	}
	id, ok := j.e.router.Pick(time.Now(), route.Query{
		Service: j.service.Name, Tokens: j.tokens, Blocks: j.blocks, Exclude: j.tried,
	})
	if !ok {
		return fleet.Node{}, false
	}
	return j.e.router.Node(id)
}

func (j *job) pickByKey() (fleet.Node, bool) {
	ranked := fleet.Rendezvous(j.caller.customer+"/"+j.caller.key, j.e.router.Members(j.service.Name))
	if len(j.tried) >= len(ranked) {
		return fleet.Node{}, false
	}
	j.retried = j.retried || len(j.tried) > 0
	return j.e.router.Node(ranked[len(j.tried)])
}

// attempt reserves tokens for one attempt, dispatches it and starts its settlement. After
// a problem, no further attempt may follow.
func (j *job) attempt(ctx context.Context, n fleet.Node, attempt int, s *sink) (attemptResult, *Problem) {
	res, reason := j.reserve(ctx, attempt)
	if reason != "" {
		return attemptResult{}, budgetProblem(reason)
	}
	d := j.dispatch(ctx, n, attempt, res)
	st := newStream(j.e, n, d, s)
	j.e.attemptStarted(n.ID)
	result := j.awaitResult(ctx, st)
	j.e.attemptEnded(n.ID, st, j, result)
	if !result.done && !s.headWritten {
		result.used = 0
	}
	j.settle(n, attempt, res, result)
	return result, nil
}

func (j *job) reserve(ctx context.Context, attempt int) (reservation, escrow.Reason) {
	ctx, span := telem.Span(ctx, "entry.reserve")
	defer span.End()
	id := fmt.Sprintf("%s/%s/%s/%d", j.e.deps.Node.ID, j.caller.customer, j.caller.key, attempt)
	return j.e.budget.reserve(ctx, escrow.Request{ID: id, Customer: j.caller.customer, Worst: j.worstCase})
}

func (j *job) dispatch(ctx context.Context, n fleet.Node, attempt int, res reservation) wire.Dispatch {
	return wire.Dispatch{
		Agent: n.ID, Customer: j.caller.customer, Key: j.caller.key, Attempt: attempt, Body: j.bodyDigest,
		Payment: res.id, Parts: res.parts, Retried: j.retried, Priority: j.access.Priority, Timeout: j.timeout,
		Trace: telem.Inject(ctx), Request: j.request,
	}
}

// awaitResult reads the response of an attempt and forwards it. If the connection fails, it
// asks the agent what happened to the attempt, and resumes the response if possible.
func (j *job) awaitResult(ctx context.Context, st *stream) attemptResult {
	for try := 0; ; try++ {
		last, err := st.read(ctx)
		if err == nil {
			return resultOf(st, last, try > 0)
		}
		var disconnected *disconnectedError
		if errors.As(err, &disconnected) || ctx.Err() != nil {
			return j.cancelRun(st)
		}
		var streamErr *streamError
		if errors.As(err, &streamErr) && !streamErr.sent && try == 0 && !st.dispatch.AttachOnly {
			return attemptResult{refusalCode: wire.CodeUpstreamDown}
		}
		r, ok := j.resolve(st)
		switch {
		case ok && r.OtherLife:
			return attemptResult{doubtCode: wire.CodeAgentRestarted, unresolved: true}
		case ok && r.NotRun && !st.headSeen:
			return attemptResult{refusalCode: wire.CodeUpstreamDown}
		case try >= resumeTries:
			return attemptResult{doubtCode: wire.CodeUpstreamDown, unresolved: !ok, used: r.Used, payment: r.Payment}
		}
		wait(ctx, resumeDelay<<try)
	}
}

// resultOf returns the result that the last piece states. An agent that has restarted since
// the first dispatch does not know what its earlier incarnation ran, so the attempt is
// then in doubt.
func resultOf(st *stream, last wire.Piece, resumed bool) attemptResult {
	result := attemptResult{used: last.Used, payment: last.Payment}
	switch last.Kind {
	case wire.PieceEnd:
		result.done = true
	case wire.PieceRefused:
		if last.Code == wire.CodeExpired {
			result.doubtCode = last.Code
			return result
		}
		if last.Code == wire.CodeAgentRestarted && (resumed || st.dispatch.AttachOnly) {
			result.doubtCode = last.Code
			result.unresolved = true
			return result
		}
		result.refusalCode = last.Code
	default:
		result.doubtCode = last.Code
	}
	return result
}

// cancelRun cancels the run after the caller disconnected or the request timed out. The
// tokens that were generated by then are charged.
func (j *job) cancelRun(st *stream) attemptResult {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	id := st.runID()
	_ = j.e.deps.Pool.Call(ctx, st.node.Addr, "Agent.Cancel", &id, &wire.Empty{})
	for ctx.Err() == nil {
		r, ok := j.resolve(st)
		if !ok || r.OtherLife {
			break
		}
		if r.NotRun {
			return attemptResult{refusalCode: wire.CodeCanceled}
		}
		if !r.Running {
			return attemptResult{doubtCode: wire.CodeCanceled, used: r.Used, payment: r.Payment}
		}
		wait(ctx, resumeDelay)
	}
	return attemptResult{doubtCode: wire.CodeCanceled, unresolved: true}
}

func (s *stream) runID() wire.RunID {
	d := s.dispatch
	return wire.RunID{Agent: d.Agent, Customer: d.Customer, Key: d.Key, Attempt: d.Attempt}
}

// resolve asks the agent what happened to the attempt. ok is false if there was no reply.
func (j *job) resolve(st *stream) (wire.Resolved, bool) {
	return j.e.resolve(st.node, st.runID())
}

func (e *Entry) resolve(n fleet.Node, id wire.RunID) (wire.Resolved, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	var r wire.Resolved
	err := e.deps.Pool.Call(ctx, n.Addr, "Agent.Resolve", &id, &r)
	return r, err == nil
}

// settle settles the charge of the attempt, first at the agent, whose record of the run is
// authoritative, then at the holder. An attempt without a complete response is not billed,
// unless a part of the response was forwarded.
func (j *job) settle(n fleet.Node, attempt int, res reservation, result attemptResult) {
	if result.refusalCode == wire.CodeFenced {
		for _, p := range res.parts {
			j.e.budget.fenced(p.Grant)
		}
	}
	earlier := slices.Clone(j.tried)
	j.e.wg.Go(func() {
		if result.refusalCode != "" || (!result.unresolved && result.payment != res.id) {
			j.e.budget.release(res, 0)
			return
		}
		s := settlement{e: j.e, node: n, run: j.runID(n, attempt), res: res, billed: result.used, earlier: earlier}
		s.settle()
	})
}

func (j *job) runID(n fleet.Node, attempt int) wire.RunID {
	return wire.RunID{Agent: n.ID, Customer: j.caller.customer, Key: j.caller.key, Attempt: attempt}
}

func (e *Entry) attemptStarted(id fleet.NodeID) {
	e.routeMu.Lock()
	defer e.routeMu.Unlock()
	e.router.Started(id)
}

func (e *Entry) attemptEnded(id fleet.NodeID, st *stream, j *job, result attemptResult) {
	res := route.Result{FirstToken: st.firstToken, Tokens: j.tokens, Blocks: j.blocks, Failed: !result.done && result.doubtCode != wire.CodeCanceled}
	if st.load != nil {
		res.Load = &route.Load{Running: st.load.Running, Waiting: st.load.Waiting}
	}
	e.routeMu.Lock()
	defer e.routeMu.Unlock()
	e.router.Ended(time.Now(), id, res)
}
