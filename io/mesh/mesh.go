package mesh

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/gossip"
	"dotterelgap/io/wire"

	"go.uber.org/zap"
)

// The timing and limits of the exchanges.
const (
	exchangeInterval = 200 * time.Millisecond
	callTimeout      = 500 * time.Millisecond
	// maxExchanges is the maximum number of exchanges that this node runs concurrently.
	maxExchanges = 16
)

// Deps contains the dependencies of a Mesh.
type Deps struct {
	Log    *zap.Logger
	Pool   *wire.Pool
	Server *wire.Server
	Self   fleet.Peer
	Seeds  []netip.AddrPort
	Rand   *rand.Rand
	// Bootstrap is set for the very first start of the whole system.
	Bootstrap bool
	// Changed is called after a change of the peers or upstreams, always from the same
	// goroutine.
	Changed func()
}

// Mesh maintains this node's view of the other nodes and the upstreams.
type Mesh struct {
	deps   Deps
	log    *zap.Logger
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wakeup chan struct{}
	slots  chan struct{}

	mu      sync.Mutex
	machine *gossip.Machine
	// inFlight contains the addresses of the exchanges in progress. The value is true if
	// another exchange is to follow a successful one.
	inFlight map[netip.AddrPort]bool
}

// Service is the net/rpc service "Mesh" of a node.
type Service struct {
	mesh *Mesh
}

// Exchange merges a partner's changes and replies with those of this node.
func (s *Service) Exchange(args *gossip.Request, reply *gossip.Reply) error {
	s.mesh.mu.Lock()
	*reply = s.mesh.machine.OnRequest(time.Now(), *args)
	s.mesh.mu.Unlock()
	s.mesh.wake()
	return nil
}

// Start registers the service and runs the exchanges until Close.
func Start(deps Deps) (*Mesh, error) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		deps: deps, log: deps.Log, cancel: cancel,
		wakeup: make(chan struct{}, 1), slots: make(chan struct{}, maxExchanges),
		machine:  gossip.New(gossip.Params{Self: deps.Self, Seeds: deps.Seeds, Rand: deps.Rand, Now: time.Now(), Bootstrap: deps.Bootstrap}),
		inFlight: map[netip.AddrPort]bool{},
	}
	if err := deps.Server.Register("Mesh", &Service{mesh: m}); err != nil {
		cancel()
		return nil, err
	}
	m.wg.Go(func() { m.run(ctx) })
	return m, nil
}

func (m *Mesh) run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	var version uint64
	for {
		m.mu.Lock()
		now := time.Now()
		m.machine.Tick(now)
		to := m.machine.Partners(now)
		v := m.machine.Version()
		m.mu.Unlock()
		for _, addr := range to {
			m.exchange(ctx, addr)
		}
		if v != version {
			version = v
			m.deps.Changed()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.wakeup:
		}
	}
}

// exchange starts an exchange, or schedules it after one in progress with the same address.
// It does nothing if maxExchanges are in progress.
func (m *Mesh) exchange(ctx context.Context, addr netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.inFlight[addr]; ok {
		m.inFlight[addr] = true
		return
	}
	select {
	case m.slots <- struct{}{}:
	default:
		return
	}
	m.inFlight[addr] = false
	req := m.machine.Request(time.Now(), addr)
	m.wg.Go(func() { m.call(ctx, addr, req) })
}

func (m *Mesh) call(ctx context.Context, addr netip.AddrPort, req gossip.Request) {
	var reply gossip.Reply
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	err := m.deps.Pool.Call(callCtx, addr, "Mesh.Exchange", &req, &reply)
	cancel()
	m.mu.Lock()
	again := m.inFlight[addr] && err == nil
	delete(m.inFlight, addr)
	if err == nil {
		m.machine.OnReply(time.Now(), reply)
	}
	m.mu.Unlock()
	<-m.slots
	if again {
		m.exchange(ctx, addr)
	}
	m.wake()
}

// wake makes run proceed immediately if the machine has something pending.
func (m *Mesh) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.machine.Pending() {
		return
	}
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// RecordHeartbeat records a heartbeat of an upstream.
func (m *Mesh) RecordHeartbeat(u fleet.Upstream) {
	m.mu.Lock()
	m.machine.RecordHeartbeat(time.Now(), u)
	m.mu.Unlock()
	m.wake()
}

// Drain records that an incarnation of an upstream is about to shut down.
func (m *Mesh) Drain(u fleet.Upstream) {
	m.mu.Lock()
	m.machine.Drain(time.Now(), u)
	m.mu.Unlock()
	m.wake()
}

// Depart records the departures of upstreams.
func (m *Mesh) Depart(list ...fleet.Departure) {
	m.mu.Lock()
	for _, d := range list {
		m.machine.Depart(time.Now(), d)
	}
	m.mu.Unlock()
	m.wake()
}

// Incarnation returns the start of the incarnation of an upstream that this node uses, or would use
// if it had not departed. ok is false if it knows none.
func (m *Mesh) Incarnation(id string, inUse func(service string) bool) (born time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Incarnation(id, inUse)
}

// Upstreams returns the known upstreams, without those that are gone or were replaced at
// their address. inUse reports whether a service is in use.
func (m *Mesh) Upstreams(inUse func(service string) bool) []gossip.KnownUpstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Upstreams(inUse)
}

// Quarantine replicates a quarantine that this node began or lifted.
func (m *Mesh) Quarantine(q fleet.Quarantine) {
	m.mu.Lock()
	m.machine.Quarantine(time.Now(), q)
	m.mu.Unlock()
	m.wake()
}

// Quarantines returns the known quarantines.
func (m *Mesh) Quarantines() []fleet.Quarantine {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Quarantines(time.Now())
}

// SetEvacuations replicates the evacuated places, unless newer ones are known.
func (m *Mesh) SetEvacuations(e fleet.Evacuations) {
	m.mu.Lock()
	m.machine.SetEvacuations(e)
	m.mu.Unlock()
	m.wake()
}

// Evacuations returns the evacuated places that this node knows of.
func (m *Mesh) Evacuations() fleet.Evacuations {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Evacuations()
}

// Alive returns the live nodes, including this one.
func (m *Mesh) Alive() []fleet.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Alive(time.Now())
}

// Known returns the number of nodes that have not left, including this one and those that
// have not been heard for a while.
func (m *Mesh) Known() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Known(time.Now())
}

// Sharers returns this node's view of the sharers.
func (m *Mesh) Sharers() fleet.Sharers {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Sharers(time.Now())
}

// Update changes this node's own record. An urgent change is sent to all live nodes
// immediately.
func (m *Mesh) Update(urgent bool, change func(*fleet.Peer)) {
	m.mu.Lock()
	m.machine.Update(time.Now(), urgent, change)
	m.mu.Unlock()
	m.wake()
}

// SetSeeds replaces the seeds.
func (m *Mesh) SetSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.SetSeeds(seeds)
}

// Close stops the exchanges and waits for them.
func (m *Mesh) Close() error {
	m.cancel()
	m.wg.Wait()
	return nil
}
