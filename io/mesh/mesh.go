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

// Times of the exchanges.
const (
	interval    = 200 * time.Millisecond
	callTimeout = 500 * time.Millisecond
	// parallel bounds the exchanges that this node opens at once.
	parallel = 16
)

// Deps is what a Mesh needs.
type Deps struct {
	Log    *zap.Logger
	Pool   *wire.Pool
	Server *wire.Server
	Self   fleet.Peer
	Seeds  []netip.AddrPort
	Rand   *rand.Rand
	// Changed is called, from one goroutine, when peers or upstreams changed.
	Changed func()
}

// Mesh is this node's view of the fleet.
type Mesh struct {
	deps   Deps
	log    *zap.Logger
	cancel context.CancelFunc
	wg     sync.WaitGroup
	kick   chan struct{}
	slots  chan struct{}

	mu      sync.Mutex
	machine *gossip.Machine
	// busy holds the addresses of exchanges under way; true asks for another one
	// after it.
	busy map[netip.AddrPort]bool
}

// Service is the net/rpc service "Mesh" of a node.
type Service struct {
	m *Mesh
}

// Exchange merges a partner's news and answers with this node's.
func (s *Service) Exchange(args *gossip.Request, reply *gossip.Reply) error {
	s.m.mu.Lock()
	*reply = s.m.machine.OnRequest(time.Now(), *args)
	s.m.mu.Unlock()
	s.m.wake()
	return nil
}

// Start registers the service and runs the exchanges until Close.
func Start(deps Deps) (*Mesh, error) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		deps: deps, log: deps.Log, cancel: cancel,
		kick: make(chan struct{}, 1), slots: make(chan struct{}, parallel),
		machine: gossip.New(gossip.Params{Self: deps.Self, Seeds: deps.Seeds, Rand: deps.Rand, Now: time.Now()}),
		busy:    map[netip.AddrPort]bool{},
	}
	if err := deps.Server.Register("Mesh", &Service{m: m}); err != nil {
		cancel()
		return nil, err
	}
	m.wg.Go(func() { m.run(ctx) })
	return m, nil
}

func (m *Mesh) run(ctx context.Context) {
	ticker := time.NewTicker(interval)
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
		case <-m.kick:
		}
	}
}

// exchange opens one exchange, or has it follow the one that is under way.
func (m *Mesh) exchange(ctx context.Context, addr netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.busy[addr]; ok {
		m.busy[addr] = true
		return
	}
	select {
	case m.slots <- struct{}{}:
	default:
		return
	}
	m.busy[addr] = false
	req := m.machine.Request(addr)
	m.wg.Go(func() { m.call(ctx, addr, req) })
}

func (m *Mesh) call(ctx context.Context, addr netip.AddrPort, req gossip.Request) {
	var reply gossip.Reply
	try, cancel := context.WithTimeout(ctx, callTimeout)
	err := m.deps.Pool.Call(try, addr, "Mesh.Exchange", &req, &reply)
	cancel()
	m.mu.Lock()
	again := m.busy[addr] && err == nil
	delete(m.busy, addr)
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

// wake makes the loop look at once whether something changed.
func (m *Mesh) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.machine.Pending() {
		return
	}
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// RecordHeartbeat takes in an upstream's own word.
func (m *Mesh) RecordHeartbeat(u fleet.Upstream) {
	m.mu.Lock()
	m.machine.RecordHeartbeat(time.Now(), u)
	m.mu.Unlock()
	m.wake()
}

// Upstream returns what is known of an upstream.
func (m *Mesh) Upstream(id string) (fleet.Upstream, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Upstream(id)
}

// Upstreams lists the upstreams that may live.
func (m *Mesh) Upstreams() []gossip.KnownUpstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Upstreams()
}

// Alive lists the live nodes, this one among them.
func (m *Mesh) Alive() []fleet.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Alive(time.Now())
}

// Update changes this node's own record. Urgent news goes to all at once.
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
