package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/policy"
	"dotterelgap/core/quota"
	"dotterelgap/core/sched"
	"dotterelgap/io/intake"

	"github.com/cespare/xxhash/v2"
)

// call is one request of a caller with all its attempts.
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
	// customerRank is the priority of the customer, or nil if the route's counts.
	customerRank    *int
	customerRegions []fleet.Region
	info            RequestInfo
	body            []byte
	held            *intake.Body // holds the memory of body; nil before it has been read
	deadline        time.Time
	// reservation identifies the reservation of tokens. Callers choose the ids of their
	// requests, which need not differ.
	reservation string

	tried      []string
	mayHaveRun bool // an upstream may have run the request
	reserved   bool // tokens are reserved
	begun      bool // see Budgets.Begin
	billed     quota.Tokens
	// ended says who ended the request.
	ended   ending
	relayed bool // part of the response was forwarded as it arrived
	lastErr error
	stream  *streamRelay
	// response writes what upstreams answered.
	response *responseWriter

	// firstByteAt is when the first byte of the response was sent to the caller.
	firstByteAt time.Time
	// reserveTook is how long the reservation of tokens took.
	reserveTook time.Duration
	attempts    attemptLog
	admitted    admitted
	parts       []sched.PartKey
	// shared are the keys of the prompt's parts without the request's own part.
	shared []uint64
	// choice and sentAt belong to the attempt in progress.
	choice sched.Choice
	sentAt time.Time
}

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.calls.Add(1)
	defer f.calls.Done()
	c := &call{f: f, w: w, r: r, start: time.Now(), id: r.Header.Get(f.deps.Dialect.RequestID), response: newResponseWriter(w)}
	c.reservation = strconv.FormatUint(f.requests.Add(1), 36)
	failure := c.serve()
	defer c.releaseBody()
	c.response.extendDeadline()
	if failure != nil && !c.relayed {
		if c.id != "" {
			w.Header().Set(f.deps.Dialect.RequestID, c.id)
		}
		c.announceClose()
		c.refuseBody()
		failure.write(w)
	}
	c.logResult(failure)
	if failure != nil && c.relayed {
		// The response is truncated: aborting the connection keeps it from looking
		// complete.
		panic(http.ErrAbortHandler)
	}
}

func (c *call) serve() *responseError {
	if intake.IsTooMany(c.r.Context()) {
		c.w.Header().Set("Connection", "close")
		return errTooManyCallers
	}
	if !c.f.shed.begin() {
		return c.overloadedError()
	}
	defer c.f.shed.end()
	if failure := c.identify(); failure != nil {
		return failure
	}
	if failure := c.readBody(); failure != nil {
		return failure
	}
	if intake.Gone(c.r.Context()) {
		return errCallerLeft
	}
	if failure := c.checkQuarantine(); failure != nil {
		return failure
	}
	c.f.countRequest(c.service.Name)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	if failure := c.reserve(ctx); failure != nil {
		return failure
	}
	var failure *responseError
	defer func() { c.settle(failure) }()
	failure = c.forward(ctx)
	return failure
}

// identify looks up the route, the service and the customer, and sets the deadline.
func (c *call) identify() *responseError {
	c.table = c.f.table.Load()
	if c.table == nil {
		return errNoPolicy
	}
	var ok bool
	if c.route, ok = c.table.Route(c.r.Host, c.r.URL.EscapedPath()); !ok {
		return errNoRoute
	}
	c.info = c.f.deps.Dialect.Parse(c.r.Header)
	if c.info.Malformed {
		return errBadTokens
	}
	if c.table.HasCustomers() && !c.route.Public {
		cu, ok := c.table.Customer(c.info.Key)
		if !ok {
			return errUnknownKey
		}
		c.customer, c.customerRank, c.customerRegions = cu.Name, cu.Priority, cu.Regions
	}
	if c.service, ok = c.table.Service(c.route.Service(xxhash.Sum64String(c.id))); !ok {
		return errNoRoute
	}
	c.parts = sched.Keys(c.info.Parts)
	c.shared = sharedKeys(c.parts)
	limit := c.route.Timeout
	if c.info.Deadline > 0 {
		limit = min(limit, c.info.Deadline)
	}
	c.deadline = c.start.Add(limit)
	return nil
}

// checkQuarantine rejects a prompt that would crash the engine it is sent to.
func (c *call) checkQuarantine() *responseError {
	left, ok := c.f.guard.quarantined(c.shared)
	if !ok {
		return nil
	}
	failure := *errQuarantined
	failure.retryAfter = left
	return &failure
}

// maxTokens returns the most tokens that the request may be billed.
func (c *call) maxTokens() quota.Tokens {
	return quota.Tokens(c.info.Input + c.info.Output)
}

func (c *call) reserve(ctx context.Context) *responseError {
	if c.service.Engine == nil || c.customer == "" || c.maxTokens() == 0 {
		return nil
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.reserveWait())
	defer cancel()
	err := c.f.deps.Budgets.Reserve(ctx, c.reservation, c.customer, c.maxTokens())
	c.reserveTook = time.Since(began)
	if err == nil {
		c.reserved = true
		return nil
	}
	c.lastErr = err
	var refused *quota.RefusedError
	if errors.As(err, &refused) && refused.Reason == quota.Exhausted {
		return errBudgetExhausted
	}
	failure := *errBudgetElsewhere
	if refused != nil && refused.RetryIn > 0 {
		failure.retryAfter = max(failure.retryAfter, min(refused.RetryIn+retryMargin, maxRetryAfter))
	}
	return &failure
}

// begin makes sure that the customer has the tokens for what is about to be passed on.
func (c *call) begin(ctx context.Context) error {
	if !c.reserved || c.begun {
		return nil
	}
	err := c.f.deps.Budgets.Begin(ctx, c.reservation, c.customer, c.maxTokens())
	c.begun = err == nil
	return err
}

// The Retry-After of a request whose tokens could not be reserved is the expected wait
// plus retryMargin, between the default of errBudgetElsewhere and maxRetryAfter.
const (
	retryMargin   = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// maxUpstreams limits the attempts of one request, including those that certainly
// did not run it.
const maxUpstreams = 4

// forward sends the request to one upstream after another until one serves it or no
// other attempt is allowed.
func (c *call) forward(ctx context.Context) *responseError {
	if failure := c.admit(ctx); failure != nil {
		return failure
	}
	defer c.placeTaken()
	last := errNoUpstream
	runs := 0
	for range maxUpstreams {
		if ctx.Err() != nil {
			return c.expiredError()
		}
		if !c.mayHaveRun && intake.Gone(ctx) {
			return errCallerLeft
		}
		if failure := c.checkQuarantine(); failure != nil {
			if c.mayHaveRun {
				return last
			}
			return failure
		}
		if len(c.tried) > 0 && last != errNoUpstream && !c.f.takeRetry(c.service.Name) {
			return last
		}
		choice, ok := c.f.pick(c.query())
		if !ok {
			failure := c.noChoiceError(last)
			c.countUnplaced(failure)
			return failure
		}
		res := c.tryUpstream(ctx, choice)
		if res.final {
			return res.failure
		}
		last = res.failure
		if res.mayHaveRun {
			runs++
			if !c.route.Repeatable() || runs >= c.route.Attempts {
				return last
			}
		}
	}
	return last
}

// retrySpread spreads the return of callers that were refused at the same time.
const retrySpread = 700 * time.Millisecond

// noChoiceError returns the error response of a request for which no upstream could be
// chosen; last is that of its latest attempt.
func (c *call) noChoiceError(last *responseError) *responseError {
	if failure := c.barredError(); failure != nil && last == errNoUpstream {
		return failure
	}
	if last != errNoUpstream {
		return last
	}
	opening, ok := c.f.opensIn(c.query())
	if !ok {
		return c.memoryError()
	}
	failure := *openingError(opening)
	spread := time.Duration(xxhash.Sum64String(c.id) % uint64(retrySpread))
	failure.retryAfter = max(failure.retryAfter, opening.In) + spread
	return &failure
}

// memoryError returns the response to a request that the upstreams' memory has no room for, or
// errNoUpstream if that is not the cause.
func (c *call) memoryError() *responseError {
	reason, ok := c.f.memoryReason(c.query())
	switch {
	case !ok:
		return errNoUpstream
	case reason == sched.TooLarge:
		return errPromptTooLarge
	}
	return c.notAdmitted(reason, errNoUpstream.retryAfter)
}

// tryUpstream makes one attempt at the chosen upstream and records its result.
func (c *call) tryUpstream(ctx context.Context, choice sched.Choice) attemptResult {
	u := choice.Upstream
	c.placeTaken()
	began := time.Now()
	c.tried = append(c.tried, u.ID)
	c.choice, c.sentAt = choice, began
	res := c.sendTo(ctx, u)
	c.f.recordEnd(choice, res.outcome)
	c.f.metrics.countAttempt(res.outcome)
	t := attempt{
		upstream: u.ID, addr: u.Addr.String(), choice: choice, outcome: res.outcome, status: res.status, signals: res.signals,
		at: began.Sub(c.start), took: time.Since(began),
	}
	if res.outcome != sched.Served {
		t.err = c.lastErr
	}
	c.attempts = append(c.attempts, t)
	return res
}

func (c *call) query() sched.Query {
	return sched.Query{
		Service: c.service.Name, Parts: c.parts, Input: c.info.Input, Output: c.info.Output, Exclude: c.tried,
		Objective: c.objectiveLeft(), Deadline: c.timeLeft(), RouteRegions: c.route.Regions, CustomerRegions: c.customerRegions,
	}
}

// rank returns the priority of the request; 0 is the most urgent.
func (c *call) rank() int {
	if c.customerRank != nil {
		return *c.customerRank
	}
	return c.route.Priority
}

// objectiveLeft returns the time until the route's objective, or until the deadline if the
// objective has passed or there is none.
func (c *call) objectiveLeft() time.Duration {
	left := c.timeLeft()
	if objective := c.route.Objective - time.Since(c.start); objective > 0 {
		left = min(left, objective)
	}
	return left
}

// expiredError returns the error response of a request whose deadline has passed or
// whose caller has disconnected.
func (c *call) expiredError() *responseError {
	if c.mayHaveRun || c.relayed {
		return errTimeout
	}
	return errNoUpstream
}

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() time.Duration { return time.Until(c.deadline) }

func (c *call) target(u fleet.Upstream) Target {
	t := Target{
		Upstream: u, Customer: c.customer, Engine: c.service.Engine != nil, Rank: c.rank(),
		TimeLeft: c.timeLeft(), Source: c.choice.Source.Addr,
	}
	if c.stream != nil {
		t.LastEventID = c.stream.lastID
	}
	return t
}
