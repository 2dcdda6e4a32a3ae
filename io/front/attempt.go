package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/policy"
	"dotterelgap/core/quota"
	"dotterelgap/core/sched"
	"dotterelgap/io/conns"
)

// maxBuffered limits the size of a response that is buffered until it is complete. A
// longer response is forwarded as it arrives.
const maxBuffered = 256 << 10

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome sched.Outcome
	// final is set if no other attempt may follow. failure is then the response to
	// the caller, or nil if the upstream's response was forwarded.
	final      bool
	failure    *responseError
	mayHaveRun bool
	// status is the HTTP status of the upstream's response, or 0 without one.
	status  int
	signals sched.Signals
}

func finalResult(o sched.Outcome) attemptResult { return attemptResult{outcome: o, final: true} }

// sendTo sends the request to one upstream and handles its response.
func (c *call) sendTo(ctx context.Context, u fleet.Upstream) attemptResult {
	a, err := c.f.deps.Conns.Send(ctx, u.Addr, c.upstreamRequest(u))
	if err != nil {
		return c.handleSendError(ctx, err)
	}
	defer a.Close()
	signals := c.f.deps.Dialect.Signals(a.Status, a.Header)
	c.f.recordSignals(c.choice, signals, c.f.deps.Dialect.NotRun(a.Status, a.Header))
	res := c.handleResponse(ctx, a)
	res.status = a.Status
	res.signals = signals
	return res
}

// handleResponse handles a response whose head has arrived.
func (c *call) handleResponse(ctx context.Context, a *conns.Response) attemptResult {
	d := c.f.deps.Dialect
	if d.NotRun(a.Status, a.Header) {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxBuffered))
		return attemptResult{outcome: sched.Rejected, failure: errUpstreamFull}
	}
	c.mayHaveRun = true
	if c.route.Kind == policy.Stream && a.Status == http.StatusOK {
		return c.relayStream(ctx, a)
	}
	if c.relayed {
		// Part of a stream was relayed, so only its remaining events may follow.
		return attemptResult{outcome: sched.Failed, failure: errInDoubt, mayHaveRun: true}
	}
	return c.forwardBuffered(ctx, a)
}

func (c *call) upstreamRequest(u fleet.Upstream) *conns.Request {
	d := c.f.deps.Dialect
	h := forwardHeader(c.r.Header, d.Strip)
	d.SetHeaders(h, c.target(u))
	return &conns.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body,
		ID: c.id, IDHeader: d.RequestID,
	}
}

// handleSendError returns the result of an attempt that got no response.
func (c *call) handleSendError(ctx context.Context, err error) attemptResult {
	c.lastErr = err
	var notSent *conns.NotSentError
	if errors.As(err, &notSent) {
		if ctx.Err() != nil {
			return attemptResult{outcome: sched.Canceled, final: true, failure: c.expiredError()}
		}
		return attemptResult{outcome: sched.Failed, failure: errNoUpstream}
	}
	c.mayHaveRun = true
	if ctx.Err() != nil {
		return attemptResult{outcome: c.stopOutcome(), final: true, failure: errTimeout, mayHaveRun: true}
	}
	if conns.ClosedByPeer(err) {
		c.recordCrash(false)
	}
	return attemptResult{outcome: sched.Failed, failure: errInDoubt, mayHaveRun: true}
}

// recordCrash records that the upstream closed the connection before it sent anything
// that can be passed on; begun is set if its response had begun.
func (c *call) recordCrash(begun bool) {
	if c.service.Engine != nil {
		c.f.guard.crashed(c.choice.Upstream, c.shared, begun)
	}
}

// stopOutcome returns the outcome of an attempt whose context ended: the caller
// disconnected, or the deadline passed.
func (c *call) stopOutcome() sched.Outcome {
	switch {
	case c.r.Context().Err() == nil:
		return sched.TimedOut
	case c.silent():
		return sched.Stalled
	}
	return sched.Canceled
}

// silent reports whether the upstream has sent nothing for longer than expected: before the
// first event than the objective and the estimate for this request, after it than the longest
// gap between events that the route allows.
func (c *call) silent() bool {
	if c.stream != nil && c.stream.events > 0 {
		return c.route.MaxGap > 0 && time.Since(c.stream.lastEventAt) > c.route.MaxGap
	}
	waited := time.Since(c.sentAt)
	return c.route.Objective > 0 && waited > c.route.Objective && c.choice.Overdue(waited)
}

// forwardBuffered forwards a response once it is complete, or leaves it to
// forwardUnbuffered if it is longer than maxBuffered.
func (c *call) forwardBuffered(ctx context.Context, a *conns.Response) attemptResult {
	var buf bytes.Buffer
	_, err := buf.ReadFrom(io.LimitReader(a.Body, maxBuffered))
	if err == nil && buf.Len() < maxBuffered {
		if a.Status >= http.StatusInternalServerError && c.mayRetry() {
			return attemptResult{outcome: sched.Failed, failure: errInDoubt, mayHaveRun: true}
		}
		if err := c.begin(ctx); err != nil {
			c.lastErr = err
			return attemptResult{outcome: c.stopOutcome(), final: true, failure: errTimeout, mayHaveRun: true}
		}
		c.copyResponseHeader(a.Header)
		c.w.Header().Set("Content-Length", strconv.Itoa(buf.Len()))
		c.writeHead(a.Status)
		if _, err := c.response.Write(buf.Bytes()); c.response.slow() {
			c.relayed, c.lastErr = true, err
			return attemptResult{outcome: sched.Served, final: true, failure: errCallerSlow}
		}
		if a.Status < http.StatusBadRequest {
			c.f.guard.answered(c.shared)
		}
		return finalResult(outcomeOfStatus(a.Status))
	}
	if err == nil {
		return c.forwardUnbuffered(ctx, a, &buf)
	}
	c.lastErr = err
	if ctx.Err() != nil {
		return attemptResult{outcome: c.stopOutcome(), final: true, failure: errTimeout, mayHaveRun: true}
	}
	if conns.ClosedByPeer(err) {
		c.recordCrash(true)
	}
	return attemptResult{outcome: sched.Failed, failure: errInDoubt, mayHaveRun: true}
}

// outcomeOfStatus returns the outcome of an attempt by the status of its response.
func outcomeOfStatus(status int) sched.Outcome {
	if status >= http.StatusInternalServerError {
		return sched.Failed
	}
	return sched.Served
}

// writeHead forwards the head of a response that is not a stream. From then on the
// customer is billed the maximum, since the tokens of such a response can't be
// counted, or only the prompt if the status is an error.
func (c *call) writeHead(status int) {
	c.billed = quota.Tokens(c.info.Input)
	if status < http.StatusBadRequest {
		c.billed = c.maxTokens()
	}
	c.firstByteAt = time.Now()
	c.w.WriteHeader(status)
}

// mayRetry reports whether the request may run again after an upstream responded with
// a server error.
func (c *call) mayRetry() bool {
	return c.route.Kind == policy.Idempotent && len(c.tried) < c.route.Attempts
}

// forwardUnbuffered forwards a long response as it arrives; head is the part that
// was read from it so far.
func (c *call) forwardUnbuffered(ctx context.Context, a *conns.Response, head io.Reader) attemptResult {
	if err := c.begin(ctx); err != nil {
		c.lastErr = err
		return attemptResult{outcome: c.stopOutcome(), final: true, failure: errTimeout, mayHaveRun: true}
	}
	c.copyResponseHeader(a.Header)
	if a.Length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	c.writeHead(a.Status)
	c.relayed = true
	if _, err := io.Copy(c.response, io.MultiReader(head, a.Body)); err != nil {
		c.lastErr = err
		if c.response.slow() {
			return attemptResult{outcome: sched.Canceled, final: true, failure: errCallerSlow}
		}
		if ctx.Err() != nil {
			return attemptResult{outcome: sched.Canceled, final: true, failure: errTimeout}
		}
		return attemptResult{outcome: sched.Failed, final: true, failure: errInDoubt}
	}
	return finalResult(sched.Served)
}
