package agent

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/runs"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// heartbeatInterval is the time between two heartbeats.
const heartbeatInterval = 500 * time.Millisecond

// Deps holds the dependencies of an Agent.
type Deps struct {
	Log    *zap.Logger
	Server *wire.Server
	Pool   *wire.Pool
	// Node describes the upstream in heartbeats. Its address is the server's.
	Node    fleet.Node
	Control []netip.AddrPort
	// Upstream is the base URL of the engine or service.
	Upstream *url.URL
	Limits   runs.Limits
	// Stop starts a graceful shutdown of the process. It may be nil.
	Stop func()
}

// Agent is the process that runs beside one upstream.
type Agent struct {
	deps            Deps
	log             *zap.Logger
	client          *ctrl.Client
	httpClient      *http.Client
	singleUseClient *http.Client
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	runWG           sync.WaitGroup
	wake            chan struct{}

	mu          sync.Mutex
	meter       *escrow.Meter
	witness     *escrow.Witness
	runs        *runs.Machine
	responses   map[runs.ID]*response
	fences      []escrow.Grant
	viewVersion wire.RosterVersion
	joined      bool
	orders      orderSequence
}

// Start registers the agent's services, starts the server and starts to send
// heartbeats.
func Start(deps Deps) (*Agent, error) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		deps:            deps,
		log:             deps.Log,
		client:          ctrl.NewClient(deps.Pool, deps.Control),
		httpClient:      &http.Client{Transport: newTransport(false)},
		singleUseClient: &http.Client{Transport: newTransport(true)},
		cancel:          cancel,
		wake:            make(chan struct{}, 1),
		witness:         escrow.NewWitness(deps.Node.ID),
		responses:       map[runs.ID]*response{},
	}
	a.meter = escrow.NewMeter(deps.Node.ID, 0)
	a.runs = runs.New(a.meter, deps.Limits)
	if err := deps.Server.Register("Agent", &Service{a: a}); err != nil {
		cancel()
		return nil, err
	}
	deps.Server.Handle(wire.PathRun, http.HandlerFunc(a.serveRun))
	deps.Server.Serve()
	a.wg.Go(func() { a.heartbeatLoop(ctx) })
	return a, nil
}

// newTransport returns a transport to the upstream. If singleUse is set, every call
// gets its own connection, as calls that must not be repeated need: on a reused
// connection, the transport may resend a request by itself.
func newTransport(singleUse bool) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 256,
		DisableKeepAlives:   singleUse,
		DisableCompression:  true,
		IdleConnTimeout:     90 * time.Second,
	}
}

// Drain refuses new work immediately and sends a heartbeat that marks the upstream
// as draining.
func (a *Agent) Drain() {
	a.mu.Lock()
	a.runs.Drain()
	a.deps.Node.Draining = true
	a.mu.Unlock()
	a.triggerHeartbeat()
}

// Close drains the agent, waits for the running attempts until ctx ends, sends the
// leave message and stops. It returns the number of runs that it had to cancel.
func (a *Agent) Close(ctx context.Context) (int, error) {
	a.Drain()
	running := a.waitForRuns(ctx)
	a.cancel()
	a.wg.Wait()
	a.leave()
	a.cancelRuns()
	a.runWG.Wait()
	err := a.deps.Server.Close(ctx)
	a.httpClient.CloseIdleConnections()
	return running, trace.Wrap(err)
}

// waitForRuns waits until all runs have ended or ctx ends, and returns the number
// of runs that have not ended.
func (a *Agent) waitForRuns(ctx context.Context) int {
	done := make(chan struct{})
	go func() {
		a.runWG.Wait()
		close(done)
	}()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs.Running()
}

func (a *Agent) cancelRuns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, res := range a.responses {
		res.cancel()
	}
}
