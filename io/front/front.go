package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/poison"
	"dotterelgap/core/policy"
	"dotterelgap/core/quota"
	"dotterelgap/core/sched"
	"dotterelgap/io/conns"
	"dotterelgap/io/intake"

	"go.uber.org/zap"
)

// Limits on the connections of callers, unless the policy sets others.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	headerBytes   = 64 << 10
	// serverHeaderBytes is the limit of net/http, which never applies: intake checks that of the policy.
	serverHeaderBytes = 1 << 30
)

// Budgets reserves tokens of customers and settles the reservations. The id of a reservation
// differs from those of all others that are not settled yet.
type Budgets interface {
	Reserve(ctx context.Context, id, customer string, maxTokens quota.Tokens) error
	// Begin must return nil before a part of the response is passed on. Until then the request
	// costs nothing if this process ends.
	Begin(ctx context.Context, id, customer string, maxTokens quota.Tokens) error
	Settle(id string, used quota.Tokens)
}

// RetryOptions limit retries; see sched.RetryBudget.
type RetryOptions struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
	// BurstAfter is the time after the start of this process for which it leaves its part of the
	// burst unused, since an earlier process may have used it.
	BurstAfter time.Duration
}

// Deps are the dependencies of a Front.
type Deps struct {
	Log      *zap.Logger
	Listener net.Listener
	Dialect  Dialect
	Place    fleet.Place
	// Regions holds the region of each place that the settings name.
	Regions fleet.Regions
	Budgets Budgets
	Conns   *conns.Pool
	Sched   sched.Options
	Retry   RetryOptions
	// Broadcast sends an update to the other nodes, and Report a report. They must not
	// block.
	Broadcast func(sched.Update)
	Report    func(poison.Report)
	// Leaving tells the other nodes that an upstream is about to shut down. It must not block.
	Leaving func(fleet.Upstream)
	// Quarantine replicates a quarantine to the other nodes.
	Quarantine func(fleet.Quarantine)
	// LeaveNotice is how long a front that shuts down keeps serving, so that the load
	// balancer detects that it is not ready.
	LeaveNotice time.Duration
	// MaxCallers limits the connections of callers; 0 means no limit.
	MaxCallers int
	// Admission is set if requests for services without prompts wait for a place at their
	// upstreams, or are rejected early.
	Admission bool
	// Memory is the memory that the process may use, in bytes; 0 means no limit. It bounds the
	// requests in progress.
	Memory int64
	// Intake bounds the memory of the callers' heads and bodies; nil means no bound.
	Intake *intake.Gate
}

// Front serves callers and forwards their requests to upstreams.
type Front struct {
	deps    Deps
	log     *zap.Logger
	http    *http.Server
	table   atomic.Pointer[policy.Table]
	leaving atomic.Bool
	// aborting is set once requests in progress are aborted.
	aborting atomic.Bool
	wg       sync.WaitGroup
	// calls are the requests in progress.
	calls sync.WaitGroup
	// requests counts the callers' requests.
	requests atomic.Uint64
	metrics  *metrics
	guard    *guard
	warned   *warnings
	shed     *shedder
	// startedAt is when this process began to serve.
	startedAt time.Time

	mu       sync.Mutex
	balancer *sched.Balancer
	retries  map[string]*sched.RetryBudget
	entries  sched.Entries
	// admission is nil if all requests are admitted.
	admission *admission
}

// Start serves callers on the listener until Close.
func Start(deps Deps) *Front {
	f := &Front{
		deps: deps, log: deps.Log, balancer: sched.New(deps.schedOptions(), deps.Place),
		retries: map[string]*sched.RetryBudget{}, metrics: newMetrics(), startedAt: time.Now(),
	}
	f.balancer.SetRegions(deps.Regions)
	if deps.Admission {
		f.admission = newAdmission(f)
	}
	f.guard = newGuard(f)
	f.shed = newShedder(f, deps.Memory)
	f.wg.Go(f.shed.run)
	f.warned = newWarnings(f.log)
	if deps.Intake == nil {
		f.deps.Intake = intake.NewGate(intake.Options{})
	}
	connections := intake.NewConns(intake.Limits{Most: deps.MaxCallers, Head: f.headLimits}, f.deps.Intake)
	f.http = &http.Server{
		Handler: f,
		// "OPTIONS *" is a request as any other.
		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return connections.OnConnect(boundSendBuffer(ctx, c), c)
		},
		ConnState:         connections.OnState,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    serverHeaderBytes,
		ErrorLog:          zap.NewStdLog(deps.Log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	f.wg.Go(func() { _ = f.http.Serve(connections.Listen(deps.Listener)) })
	return f
}

// schedOptions returns the options of the balancer.
func (d Deps) schedOptions() sched.Options {
	opts := d.Sched
	opts.SharePlaces = opts.SharePlaces || d.Admission
	return opts
}

// SetPolicy puts a policy in force, unless the one in force has the same or a
// higher number.
func (f *Front) SetPolicy(t *policy.Table) {
	for {
		old := f.table.Load()
		if old != nil && old.Number >= t.Number {
			return
		}
		if f.table.CompareAndSwap(old, t) {
			return
		}
	}
}

// Policy returns the policy in force, or nil if there is none yet.
func (f *Front) Policy() *policy.Table { return f.table.Load() }

// SetUpstreams sets the known upstreams.
func (f *Front) SetUpstreams(ups []fleet.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	table := f.table.Load()
	f.balancer.SetUpstreams(ups, func(service string) sched.Engine {
		if table == nil {
			return sched.Engine{}
		}
		s, ok := table.Service(service)
		if !ok {
			return sched.Engine{}
		}
		e := sched.Engine{ColdPerSecond: s.ColdPerSecond, ColdFor: s.ColdFor}
		if s.Engine != nil {
			e.KVTokens, e.FetchPerToken = s.Engine.KVTokens, s.Engine.FetchPerToken
		}
		return e
	})
	f.updateCold()
	f.admission.forget(table)
}

// SetEntries sets the entries that share the retry budget and the limits of upstreams.
func (f *Front) SetEntries(e sched.Entries) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = e
	f.balancer.SetShare(e.Side())
	f.balancer.SetNodes(e.Alive)
	for _, b := range f.retries {
		b.SetBurst(e.Burst(f.deps.Retry.Burst))
	}
}

// Ready reports whether callers can be served.
func (f *Front) Ready() bool {
	return f.table.Load() != nil && !f.leaving.Load()
}

// Close reports that the front is not ready and keeps serving for LeaveNotice, then
// drains the requests in progress until ctx ends and aborts the others. It returns
// once all of them are settled, with an error if any was aborted.
func (f *Front) Close(ctx context.Context) error {
	f.leaving.Store(true)
	f.stopWaiting()
	t := time.NewTimer(f.deps.LeaveNotice)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	err := f.http.Shutdown(ctx)
	if err != nil {
		f.aborting.Store(true)
		_ = f.http.Close()
	}
	f.calls.Wait()
	f.shed.close()
	f.wg.Wait()
	return err
}

func (f *Front) retryBudget(service string, now time.Time) *sched.RetryBudget {
	b, ok := f.retries[service]
	if !ok {
		r := f.deps.Retry
		b = sched.NewRetryBudget(r.Ratio, f.entries.Burst(r.Burst), r.Window, now)
		b.DelayBurst(f.startedAt.Add(r.BurstAfter))
		f.retries[service] = b
	}
	return b
}

// countRequest adds a caller's request to the retry budget of the service.
func (f *Front) countRequest(service string) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudget(service, now).Request(now)
}

// takeRetry takes one retry from the retry budget and reports whether it was allowed.
func (f *Front) takeRetry(service string) bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retryBudget(service, now).Take(now)
}

// pick chooses an upstream and records the request as in flight there.
func (f *Front) pick(q sched.Query) (sched.Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	c, ok := f.balancer.Pick(now, q)
	if !ok {
		return c, false
	}
	c, n, send := f.balancer.Started(now, q, c)
	if send {
		f.deps.Broadcast(n)
	}
	if u, send := f.balancer.TellLoad(now, q.Service); send {
		f.deps.Broadcast(u)
	}
	return c, true
}

// ApplyUpdate applies another node's update.
func (f *Front) ApplyUpdate(n sched.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.OnUpdate(time.Now(), n)
}

// ApplyReport applies another node's report.
func (f *Front) ApplyReport(r poison.Report) { f.guard.apply(r) }

// ApplyQuarantines applies the quarantines that other nodes began or lifted.
func (f *Front) ApplyQuarantines(q []fleet.Quarantine) { f.guard.merge(q) }

// recordFirstToken passes the time to the first token of an attempt to the balancer.
func (f *Front) recordFirstToken(c sched.Choice, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.FirstToken(c, took)
	if u, send := f.balancer.FirstTokenPace(time.Now(), c, took); send {
		f.deps.Broadcast(u)
	}
}

// opensIn returns when an upstream that may get the request, but gets none now, may get one
// again; ok is false if there is none.
func (f *Front) opensIn(q sched.Query) (o sched.Opening, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.OpensIn(time.Now(), q)
}

// memoryReason returns why the memory of the upstreams leaves none for a request.
func (f *Front) memoryReason(q sched.Query) (r sched.Reason, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.MemoryReason(time.Now(), q)
}

func (f *Front) recordEnd(c sched.Choice, o sched.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, send := f.balancer.Ended(time.Now(), c, o); send {
		f.deps.Broadcast(n)
	}
	f.admission.advance(c.Upstream.Service)
}
