package entry

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/route"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/intake"
	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Deps are the dependencies of an Entry.
type Deps struct {
	Log      *zap.Logger
	Server   *wire.Server
	Listener net.Listener
	Pool     *wire.Pool
	TLS      *tls.Config
	Node     fleet.Node
	Control  []netip.AddrPort
	Rand     *rand.Rand
	Limits   Limits
	Budget   escrow.Options
	Metrics  http.Handler
	// Intake bounds the memory of what callers send, MaxCallers their connections; 0 means no limit.
	Intake     intake.Options
	MaxCallers int
	// Stop starts a graceful shutdown of the process.
	Stop func()
}

// Entry serves callers over HTTP.
type Entry struct {
	deps         Deps
	log          *zap.Logger
	client       *ctrl.Client
	streams      *http.Client
	budget       *budget
	http         *http.Server
	metrics      *metrics
	intake       *intake.Gate
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	heartbeatNow chan struct{}
	slots        chan struct{}
	// stopping is closed once the last request has ended or was aborted.
	stopping chan struct{}

	leaving  atomic.Bool
	inFlight atomic.Int64

	mu     sync.RWMutex
	store  *config.Store
	view   *view
	roster wire.Roster

	routeMu sync.Mutex
	router  *route.Router
}

// Start starts an entry. It rejects requests of callers until it has a configuration.
func Start(deps Deps) (*Entry, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		deps:         deps,
		log:          deps.Log,
		client:       ctrl.NewClient(deps.Pool, deps.Control),
		streams:      newStreamClient(deps.TLS),
		metrics:      newMetrics(),
		intake:       intake.NewGate(deps.Intake),
		cancel:       cancel,
		heartbeatNow: make(chan struct{}, 1),
		stopping:     make(chan struct{}),
		slots:        make(chan struct{}, deps.Limits.Concurrency),
		store:        config.NewStore(),
		view:         newView(config.Document{}),
		router:       route.New(route.DefaultOptions(), deps.Node.ID, deps.Node.Place, deps.Rand),
	}
	e.budget = newBudget(e, deps.Budget)
	if err := deps.Server.Register("Entry", &Service{e: e}); err != nil {
		cancel()
		return nil, err
	}
	deps.Server.Serve()
	connections := intake.NewConns(intake.Limits{Most: deps.MaxCallers, Head: deps.Limits.head}, e.intake)
	e.http = &http.Server{
		ConnContext:       connections.OnConnect,
		ConnState:         connections.OnState,
		Handler:           e.routes(),
		ReadHeaderTimeout: deps.Limits.HeaderTimeout,
		IdleTimeout:       deps.Limits.IdleTimeout,
		MaxHeaderBytes:    deps.Limits.HeaderBytes,
		ErrorLog:          zap.NewStdLog(deps.Log),
	}
	e.wg.Go(func() { e.heartbeatLoop(ctx) })
	e.wg.Go(func() { e.budget.run(ctx) })
	e.wg.Go(func() { _ = e.http.Serve(connections.Listen(deps.Listener)) })
	return e, nil
}

// newStreamClient returns the HTTP client for dispatches to agents and their response
// streams. The transport never sends a dispatch twice, since stream.open clears GetBody.
func newStreamClient(cfg *tls.Config) *http.Client {
	t := &http.Transport{
		MaxIdleConnsPerHost: 512,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
		TLSClientConfig:     cfg,
	}
	return &http.Client{Transport: t}
}

// Close shuts the entry down. It reports that the entry is not ready and keeps serving
// for LeaveNotice, waits for the requests in progress until ctx ends, returns the grants
// and sends a leave message. It returns the number of requests that it aborted.
func (e *Entry) Close(ctx context.Context) (int, error) {
	e.leaving.Store(true)
	e.log.Info("entry: shutting down", zap.Duration("notice", e.deps.Limits.LeaveNotice))
	wait(ctx, e.deps.Limits.LeaveNotice)
	err := e.http.Shutdown(ctx)
	left := int(e.inFlight.Load())
	if left > 0 {
		_ = e.http.Close()
	}
	close(e.stopping)
	e.budget.drain(e.deps.Limits.DrainTimeout)
	e.cancel()
	e.wg.Wait()
	e.sendLeave()
	e.streams.CloseIdleConnections()
	_ = e.deps.Server.Close(ctx)
	if left > 0 {
		return left, nil
	}
	return 0, trace.Wrap(err)
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
