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

// heartbeatInterval is the time between two announcements.
const heartbeatInterval = 500 * time.Millisecond

// Deps is what an Agent needs.
type Deps struct {
	Log    *zap.Logger
	Server *wire.Server
	Pool   *wire.Pool
	// Node announces the upstream. Its address is the server's.
	Node    fleet.Node
	Control []netip.AddrPort
	// Upstream is the base URL of the engine or service.
	Upstream *url.URL
	Limits   runs.Limits
	// Stop asks the process to end in an orderly way.
	Stop func()
}

// Agent is the process beside one upstream.
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

// Start registers the agent's services, starts the server and announces the
// upstream.
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

// newTransport returns a transport to the upstream. For calls that must not
// repeat, every call gets its own connection: on a reused one the transport
// may send a request again by itself.
func newTransport(singleUse bool) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 256,
		DisableKeepAlives:   singleUse,
		DisableCompression:  true,
		IdleConnTimeout:     90 * time.Second,
	}
}

// Drain refuses new work at once and announces that the upstream leaves.
func (a *Agent) Drain() {
	a.mu.Lock()
	a.runs.Drain()
	a.deps.Node.Draining = true
	a.mu.Unlock()
	a.triggerHeartbeat()
}

// Close drains, waits for the runs in progress until ctx ends, hands the
// accounts over and stops. It returns how many runs it had to cut off.
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

// waitForRuns returns the number of runs that are left when ctx ends.
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
