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

// maxHeld is the longest answer that is held until it is whole. A longer one is
// passed on as it comes.
const maxHeld = 256 << 10

// verdict is how one attempt ended.
type verdict struct {
	outcome sched.Outcome
	// final is set where no other attempt is of use; refusal is then the answer,
	// or nil if the upstream's was passed on.
	final      bool
	refusal    *refusal
	mayHaveRun bool
	// status is the upstream's, or 0 if it did not answer.
	status int
}

func done(o sched.Outcome) verdict { return verdict{outcome: o, final: true} }

// attempt offers the request to one upstream.
func (c *call) attempt(ctx context.Context, u fleet.Upstream) verdict {
	a, err := c.f.deps.Conns.Send(ctx, u.Addr, c.request(u))
	if err != nil {
		return c.unanswered(ctx, err)
	}
	defer a.Close()
	v := c.answered(ctx, a)
	v.status = a.Status
	return v
}

// answered judges an attempt whose answer has begun.
func (c *call) answered(ctx context.Context, a *conns.Answer) verdict {
	d := c.f.deps.Dialect
	if d.NotRun(a.Status, a.Header) {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxHeld))
		return verdict{outcome: sched.Rejected, refusal: errRejected}
	}
	c.ran = true
	if c.route.Kind == policy.Stream && a.Status == http.StatusOK {
		return c.relay(ctx, a)
	}
	if c.passed {
		// A resumed stream can't be answered by anything but its rest.
		return verdict{outcome: sched.Failed, refusal: errLost, mayHaveRun: true}
	}
	return c.whole(ctx, a)
}

func (c *call) request(u fleet.Upstream) *conns.Request {
	d := c.f.deps.Dialect
	h := forwardHeader(c.r.Header, d.Strip)
	d.Address(h, c.target(u))
	return &conns.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body,
		ID: c.id, IDHeader: d.RequestID,
	}
}

// unanswered judges an attempt without an answer.
func (c *call) unanswered(ctx context.Context, err error) verdict {
	c.lastErr = err
	var notSent *conns.NotSentError
	if errors.As(err, &notSent) {
		if ctx.Err() != nil {
			return verdict{outcome: sched.Canceled, final: true, refusal: c.expired()}
		}
		return verdict{outcome: sched.Failed, refusal: errNoUpstream}
	}
	c.ran = true
	if ctx.Err() != nil {
		return verdict{outcome: c.ending(), final: true, refusal: errTimeout, mayHaveRun: true}
	}
	return verdict{outcome: sched.Failed, refusal: errLost, mayHaveRun: true}
}

// ending is the outcome of an attempt that was stopped: the caller left, or its
// time was up.
func (c *call) ending() sched.Outcome {
	if c.r.Context().Err() != nil {
		return sched.Canceled
	}
	return sched.TimedOut
}

// whole passes an answer on once all of it is here.
func (c *call) whole(ctx context.Context, a *conns.Answer) verdict {
	var buf bytes.Buffer
	_, err := buf.ReadFrom(io.LimitReader(a.Body, maxHeld))
	if err == nil && buf.Len() < maxHeld {
		if a.Status >= http.StatusInternalServerError && c.mayRepeat() {
			return verdict{outcome: sched.Failed, refusal: errLost, mayHaveRun: true}
		}
		copyHeader(c.w.Header(), a.Header)
		c.w.Header().Set("Content-Length", strconv.Itoa(buf.Len()))
		c.beginAnswer(a.Status)
		_, _ = c.w.Write(buf.Bytes())
		return done(outcomeOf(a.Status))
	}
	if err == nil {
		return c.passThrough(ctx, a, &buf)
	}
	c.lastErr = err
	if ctx.Err() != nil {
		return verdict{outcome: c.ending(), final: true, refusal: errTimeout, mayHaveRun: true}
	}
	return verdict{outcome: sched.Failed, refusal: errLost, mayHaveRun: true}
}

// outcomeOf is how an upstream that answered did.
func outcomeOf(status int) sched.Outcome {
	if status >= http.StatusInternalServerError {
		return sched.Failed
	}
	return sched.Served
}

// beginAnswer passes on the head of an answer that is no stream. From then on the
// customer is billed: the worst case, since the tokens of such an answer can't be
// counted, or the prompt alone if the upstream failed.
func (c *call) beginAnswer(status int) {
	c.billed = quota.Tokens(c.terms.Input)
	if status < http.StatusBadRequest {
		c.billed = c.worst()
	}
	c.first = time.Now()
	c.w.WriteHeader(status)
}

// mayRepeat tells whether another run after an upstream's own failure is
// allowed.
func (c *call) mayRepeat() bool {
	return c.route.Kind == policy.Idempotent && len(c.tried) < c.route.Attempts
}

// passThrough passes on a long answer as it comes.
func (c *call) passThrough(ctx context.Context, a *conns.Answer, head io.Reader) verdict {
	copyHeader(c.w.Header(), a.Header)
	if a.Length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	c.beginAnswer(a.Status)
	c.passed = true
	if _, err := io.Copy(c.w, io.MultiReader(head, a.Body)); err != nil {
		c.lastErr = err
		if ctx.Err() != nil {
			return verdict{outcome: sched.Canceled, final: true, refusal: errTimeout}
		}
		return verdict{outcome: sched.Failed, final: true, refusal: errLost}
	}
	return done(sched.Served)
}
