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

// Limits of following one attempt.
const (
	resumeTries    = 5
	resumePause    = 50 * time.Millisecond
	resolveTimeout = time.Second
	routePause     = 50 * time.Millisecond
	routeWait      = 2 * time.Second
)

// job is one request of a caller, over all its attempts.
type job struct {
	e       *Entry
	caller  caller
	service config.Service
	access  config.Access
	request wire.Request
	body    uint64
	worst   escrow.Tokens
	tokens  int
	blocks  []uint64
	timeout time.Duration

	tried   []fleet.NodeID
	retried bool
}

// verdict is how one attempt ended.
type verdict struct {
	// done: the whole answer was read, and used tokens are charged.
	done bool
	// refusal is why the attempt did not run, if that is certain.
	refusal string
	// doubt is why the attempt may have run without a whole answer.
	doubt string
	// unresolved: the agent could not be asked about the attempt.
	unresolved bool
	used       escrow.Tokens
	// payment names the reservation that pays for the run.
	payment string
}

// serve runs a repeatable request: tries follow one another until one succeeds,
// a part of the answer has been passed on, or the tries are used up.
func (j *job) serve(ctx context.Context, s *sink) *Problem {
	ctx, cancel := context.WithTimeout(ctx, j.timeout)
	defer cancel()
	last := refusalProblem(wire.CodeUpstreamDown)
	for attempt := 1; attempt <= j.e.deps.Limits.Attempts; attempt++ {
		node, ok := j.choose(ctx)
		if !ok {
			break
		}
		v, problem := j.attempt(ctx, node, attempt, s)
		if problem != nil {
			return problem
		}
		if v.done {
			s.end()
			return nil
		}
		last = j.problem(v)
		if s.begun {
			s.fail(last)
		}
		if ctx.Err() != nil || v.refusal == wire.CodeKeyReused {
			break
		}
		s.reset()
		j.retried = j.retried || v.doubt != ""
		j.tried = append(j.tried, node.ID)
	}
	if j.retried {
		return inDoubt("upstream_failed", "the request ran and its answer was lost; a retry with the same key is safe")
	}
	return last
}

func (j *job) problem(v verdict) *Problem {
	if v.doubt != "" {
		return inDoubt(v.doubt, "the request may have run; its answer is not whole")
	}
	return refusalProblem(v.refusal)
}

// choose picks an upstream. Requests with a caller's key go to an agent that
// the key decides on, so that a retry over another entry finds its run.
func (j *job) choose(ctx context.Context) (fleet.Node, bool) {
	deadline := time.Now().Add(routeWait)
	for {
		if n, ok := j.pick(); ok {
			return n, true
		}
		if len(j.tried) > 0 || ctx.Err() != nil || time.Now().After(deadline) {
			return fleet.Node{}, false
		}
		wait(ctx, routePause)
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

// attempt reserves, dispatches and settles one attempt. A problem means that
// no further attempt is of use.
func (j *job) attempt(ctx context.Context, n fleet.Node, attempt int, s *sink) (verdict, *Problem) {
	res, reason := j.reserve(ctx, attempt)
	if reason != "" {
		return verdict{}, budgetProblem(reason)
	}
	d := j.dispatch(ctx, n, attempt, res)
	st := newStream(j.e, n, d, s)
	j.e.started(n.ID)
	v := j.follow(ctx, st)
	j.e.ended(n.ID, st, j, v)
	if !v.done && !s.begun {
		v.used = 0
	}
	j.settle(n, attempt, res, v)
	return v, nil
}

func (j *job) reserve(ctx context.Context, attempt int) (reservation, escrow.Reason) {
	ctx, span := telem.Span(ctx, "entry.reserve")
	defer span.End()
	id := fmt.Sprintf("%s/%s/%s/%d", j.e.deps.Node.ID, j.caller.customer, j.caller.key, attempt)
	return j.e.budget.reserve(ctx, escrow.Request{ID: id, Customer: j.caller.customer, Worst: j.worst})
}

func (j *job) dispatch(ctx context.Context, n fleet.Node, attempt int, res reservation) wire.Dispatch {
	return wire.Dispatch{
		Agent: n.ID, Customer: j.caller.customer, Key: j.caller.key, Attempt: attempt, Body: j.body,
		Payment: res.id, Parts: res.parts, Retried: j.retried, Priority: j.access.Priority, Timeout: j.timeout,
		Trace: telem.Inject(ctx), Request: j.request,
	}
}

// follow reads an attempt's answer, and finds out what became of the attempt
// where the connection breaks.
func (j *job) follow(ctx context.Context, st *stream) verdict {
	for try := 0; ; try++ {
		last, err := st.read(ctx)
		if err == nil {
			return conclude(st, last, try > 0)
		}
		var gone *callerGoneError
		if errors.As(err, &gone) || ctx.Err() != nil {
			return j.abandon(st)
		}
		var broken *brokenError
		if errors.As(err, &broken) && !broken.sent && try == 0 && !st.dispatch.AttachOnly {
			return verdict{refusal: wire.CodeUpstreamDown}
		}
		r, ok := j.resolve(st)
		switch {
		case ok && r.OtherLife:
			return verdict{doubt: wire.CodeAgentRestarted, unresolved: true}
		case ok && r.NotRun && !st.headSeen:
			return verdict{refusal: wire.CodeUpstreamDown}
		case try >= resumeTries:
			return verdict{doubt: wire.CodeUpstreamDown, unresolved: !ok, used: r.Used, payment: r.Payment}
		}
		wait(ctx, resumePause<<try)
	}
}

// conclude turns the last piece into a verdict. An agent that was restarted
// since the first dispatch can't tell what its earlier life did.
func conclude(st *stream, last wire.Piece, again bool) verdict {
	v := verdict{used: last.Used, payment: last.Payment}
	switch last.Kind {
	case wire.PieceEnd:
		v.done = true
	case wire.PieceRefused:
		if last.Code == wire.CodeExpired {
			v.doubt = last.Code
			return v
		}
		if last.Code == wire.CodeAgentRestarted && (again || st.dispatch.AttachOnly) {
			v.doubt = last.Code
			v.unresolved = true
			return v
		}
		v.refusal = last.Code
	default:
		v.doubt = last.Code
	}
	return v
}

// abandon stops a run whose caller is gone; what was made is charged.
func (j *job) abandon(st *stream) verdict {
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
			return verdict{refusal: wire.CodeCanceled}
		}
		if !r.Running {
			return verdict{doubt: wire.CodeCanceled, used: r.Used, payment: r.Payment}
		}
		wait(ctx, resumePause)
	}
	return verdict{doubt: wire.CodeCanceled, unresolved: true}
}

func (s *stream) runID() wire.RunID {
	d := s.dispatch
	return wire.RunID{Agent: d.Agent, Customer: d.Customer, Key: d.Key, Attempt: d.Attempt}
}

// resolve asks the agent what became of the attempt.
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

// settle books the attempt: first at the agent, which decides for its runs, then
// at the holder. An attempt whose answer the caller did not get is not billed,
// unless a part of it was passed on.
func (j *job) settle(n fleet.Node, attempt int, res reservation, v verdict) {
	if v.refusal == wire.CodeFenced {
		for _, p := range res.parts {
			j.e.budget.fenced(p.Grant)
		}
	}
	earlier := slices.Clone(j.tried)
	j.e.wg.Go(func() {
		if v.refusal != "" || (!v.unresolved && v.payment != res.id) {
			j.e.budget.release(res, 0)
			return
		}
		b := booking{e: j.e, node: n, run: j.runID(n, attempt), res: res, billed: v.used, earlier: earlier}
		b.book()
	})
}

func (j *job) runID(n fleet.Node, attempt int) wire.RunID {
	return wire.RunID{Agent: n.ID, Customer: j.caller.customer, Key: j.caller.key, Attempt: attempt}
}

func (e *Entry) started(id fleet.NodeID) {
	e.routeMu.Lock()
	defer e.routeMu.Unlock()
	e.router.Started(id)
}

func (e *Entry) ended(id fleet.NodeID, st *stream, j *job, v verdict) {
	res := route.Result{FirstToken: st.first, Tokens: j.tokens, Blocks: j.blocks, Failed: !v.done && v.doubt != wire.CodeCanceled}
	if st.load != nil {
		res.Load = &route.Load{Running: st.load.Running, Waiting: st.load.Waiting}
	}
	e.routeMu.Lock()
	defer e.routeMu.Unlock()
	e.router.Ended(time.Now(), id, res)
}
