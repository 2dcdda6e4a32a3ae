package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/policy"
	"dotterelgap/core/quota"
	"dotterelgap/core/sched"

	"github.com/cespare/xxhash/v2"
)

// call is one request of a caller, over all its attempts.
type call struct {
	f     *Front
	w     http.ResponseWriter
	r     *http.Request
	start time.Time
	table *policy.Table

	id       string
	route    *policy.Route
	service  *policy.Service
	customer string
	terms    Terms
	body     []byte
	deadline time.Time

	tried   []string
	ran     bool // an upstream may have run it
	billed  quota.Tokens
	passed  bool // a part of the answer was passed on
	lastErr error
	stream  *relay

	// first is when the first byte of the answer went out.
	first time.Time
	// reserved is how long the budget took.
	reserved time.Duration
	trail    trail
	parts    []sched.PartKey
	// choice and sent are those of the attempt in progress.
	choice sched.Choice
	sent   time.Time
}

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.calls.Add(1)
	defer f.calls.Done()
	c := &call{f: f, w: w, r: r, start: time.Now(), id: r.Header.Get(f.deps.Dialect.RequestID)}
	out := c.serve()
	if out != nil && !c.passed {
		if c.id != "" {
			w.Header().Set(f.deps.Dialect.RequestID, c.id)
		}
		out.write(w)
	}
	c.logEnd(out)
	if out != nil && c.passed {
		// The answer is cut off: it must not look complete.
		panic(http.ErrAbortHandler)
	}
}

func (c *call) serve() *refusal {
	if out := c.identify(); out != nil {
		return out
	}
	if out := c.readBody(); out != nil {
		return out
	}
	c.f.countRequest(c.service.Name)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	if out := c.reserve(ctx); out != nil {
		return out
	}
	defer func() { c.f.deps.Budgets.Settle(c.id, c.billed) }()
	return c.attempts(ctx)
}

// identify finds the route, the service and the customer.
func (c *call) identify() *refusal {
	c.table = c.f.table.Load()
	if c.table == nil {
		return errNoPolicy
	}
	var ok bool
	if c.route, ok = c.table.Route(c.r.Host, c.r.URL.EscapedPath()); !ok {
		return errNoRoute
	}
	c.terms = c.f.deps.Dialect.Parse(c.r.Header)
	if c.table.HasCustomers() && !c.route.Public {
		cu, ok := c.table.Customer(c.terms.Key)
		if !ok {
			return errNoKey
		}
		c.customer = cu.Name
	}
	if c.service, ok = c.table.Service(c.route.Service(xxhash.Sum64String(c.id))); !ok {
		return errNoRoute
	}
	c.parts = sched.Keys(c.terms.Parts)
	limit := c.route.Timeout
	if c.terms.Deadline > 0 {
		limit = min(limit, c.terms.Deadline)
	}
	c.deadline = c.start.Add(limit)
	return nil
}

func (c *call) readBody() *refusal {
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = 4 << 20
	}
	if c.r.ContentLength > limit {
		return errTooLarge
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	rd := http.MaxBytesReader(c.w, c.r.Body, limit)
	var err error
	if n := c.r.ContentLength; n > 0 {
		c.body = make([]byte, n)
		_, err = io.ReadFull(rd, c.body)
	} else {
		c.body, err = io.ReadAll(rd)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errTooLarge
	case err != nil:
		return errBadBody
	}
	return nil
}

// worst is the most that the request may be billed.
func (c *call) worst() quota.Tokens {
	return quota.Tokens(c.terms.Input + c.terms.Output)
}

func (c *call) reserve(ctx context.Context) *refusal {
	if c.service.Engine == nil || c.customer == "" || c.worst() == 0 {
		return nil
	}
	began := time.Now()
	err := c.f.deps.Budgets.Reserve(ctx, c.id, c.customer, c.worst())
	c.reserved = time.Since(began)
	if err == nil {
		return nil
	}
	c.lastErr = err
	var refused *quota.RefusedError
	if errors.As(err, &refused) && refused.Reason == quota.Exhausted {
		return errExhausted
	}
	out := *errUnfunded
	if refused != nil && refused.RetryIn > 0 {
		out.retryAfter = max(out.retryAfter, min(refused.RetryIn+retryMargin, maxRetryAfter))
	}
	return &out
}

// Bounds of the time after which a request that found no tokens may come back.
const (
	retryMargin   = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// maxTries bounds the upstreams that one request is offered to, counting those
// that surely did not run it.
const maxTries = 4

// attempts offers the request to upstreams until one serves it.
func (c *call) attempts(ctx context.Context) *refusal {
	last := errNoUpstream
	runs := 0
	for range maxTries {
		if ctx.Err() != nil {
			return c.expired()
		}
		if len(c.tried) > 0 && last != errNoUpstream && !c.f.takeRetry(c.service.Name) {
			return last
		}
		choice, ok := c.f.pick(c.query())
		if !ok {
			return last
		}
		v := c.try(ctx, choice)
		if v.final {
			return v.refusal
		}
		last = v.refusal
		if v.mayHaveRun {
			runs++
			if !c.route.Repeatable() || runs >= c.route.Attempts {
				return last
			}
		}
	}
	return last
}

// try offers the request to the chosen upstream, and notes how that went.
func (c *call) try(ctx context.Context, choice sched.Choice) verdict {
	u := choice.Upstream
	began := time.Now()
	c.tried = append(c.tried, u.ID)
	c.choice, c.sent = choice, began
	v := c.attempt(ctx, u)
	c.f.ended(choice, v.outcome)
	c.f.metrics.attempt(v.outcome)
	t := try{
		upstream: u.ID, addr: u.Addr.String(), choice: choice, outcome: v.outcome, status: v.status,
		at: began.Sub(c.start), took: time.Since(began),
	}
	if v.outcome != sched.Served {
		t.err = c.lastErr
	}
	c.trail = append(c.trail, t)
	return v
}

func (c *call) query() sched.Query {
	return sched.Query{
		Service: c.service.Name, Parts: c.parts, Input: c.terms.Input, Output: c.terms.Output, Exclude: c.tried,
	}
}

// expired is the end of a request whose time is up or whose caller left.
func (c *call) expired() *refusal {
	if c.ran || c.passed {
		return errTimeout
	}
	return errNoUpstream
}

// left is the time that remains.
func (c *call) left() time.Duration { return time.Until(c.deadline) }

func (c *call) target(u fleet.Upstream) Target {
	t := Target{Upstream: u, Customer: c.customer, Left: c.left()}
	if c.stream != nil {
		t.After = c.stream.lastID
	}
	return t
}
