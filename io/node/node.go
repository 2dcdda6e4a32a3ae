package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/poison"
	"dotterelgap/core/policy"
	"dotterelgap/core/quota"
	"dotterelgap/core/sched"
	"dotterelgap/core/state"
	"dotterelgap/io/conns"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/disk"
	"dotterelgap/io/front"
	"dotterelgap/io/intake"
	"dotterelgap/io/mesh"
	"dotterelgap/io/wire"

	"go.uber.org/zap"
)

// Interface holds the protocols that callers, operators, upstreams and load balancers use
// with a node.
type Interface struct {
	Dialect front.Dialect
	// Decode decodes a policy in its published form.
	Decode func(data []byte) (*policy.Policy, error)
	// API and Ready create the handlers of the two listeners.
	API, Ready func(n *Node) http.Handler
	// MaxBody is the largest body of a request to API or Ready, in bytes.
	MaxBody int64
}

// Deps holds the dependencies and settings of a Node.
type Deps struct {
	Log    *zap.Logger
	Pool   *wire.Pool
	Server *wire.Server
	// Rand is used by the node only. Its parts get sources of their own.
	Rand  *rand.Rand
	Place fleet.Place
	// Regions holds the region of each place that the settings name.
	Regions   fleet.Regions
	Interface Interface
	// Callers, API and Ready are the listeners. API and Ready may be nil.
	Callers, API, Ready net.Listener
	// Seeds are the internal addresses of nodes to contact first.
	Seeds []netip.AddrPort
	// FS is the file system of the data folder.
	FS disk.FS
	// DataDir is the data folder. It is empty if the node is not a control host.
	DataDir string
	// Bootstrap allows forming a new group from an empty folder.
	Bootstrap bool
	// Size is the number of control hosts that vote.
	Size  int
	Retry front.RetryOptions
	Sched sched.Options
	Quota quota.Options
	// Admission is set if requests wait for room at their upstreams; see front.Deps.
	Admission bool
	// Memory is the memory that the process may use, in bytes; 0 means no limit.
	Memory int64
	// Intake bounds the memory of what callers send, Operators that of the requests to API and Ready.
	Intake, Operators intake.Options
	// LeaveNotice is how long a node that shuts down keeps serving, so that the load
	// balancer detects that it is not ready.
	LeaveNotice time.Duration
}

// Node is one running node.
type Node struct {
	deps    Deps
	log     *zap.Logger
	self    netip.AddrPort
	mesh    *mesh.Mesh
	front   *front.Front
	conns   *conns.Pool
	client  *ctrl.Client
	budgets *budgets
	updates *updates
	foreign *foreignMessages
	// departures are those that are known to be in the log.
	departures *departures
	host       *hostRunner
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	servers    []*intake.Server
	// operators bounds the memory of requests to API and Ready.
	operators *intake.Gate
	// policies holds the latest policy that waits to be applied.
	policies  chan state.Published
	published atomic.Pointer[state.Published]
	changed   chan struct{}
	// quarantined is signaled when the quarantines may have changed.
	quarantined chan struct{}
	// fetching is set while a policy is fetched from peers.
	fetching atomic.Bool
	// confirmed is set once a quorum has confirmed a policy since the start.
	confirmed atomic.Bool
}

// Start starts a node. It runs until Close.
func Start(deps Deps) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		deps: deps, log: deps.Log, self: deps.Server.Addr(), cancel: cancel, foreign: newForeignMessages(deps.Log), departures: newDepartures(),
		conns:       conns.NewPool(conns.DefaultOptions()),
		client:      ctrl.NewClient(deps.Pool, deps.Seeds),
		policies:    make(chan state.Published, 1),
		changed:     make(chan struct{}, 1),
		operators:   intake.NewGate(deps.Operators),
		quarantined: make(chan struct{}, 1),
	}
	id := fleet.NewNodeID(fleet.RoleEntry, deps.Rand)
	n.budgets = newBudgets(n, id)
	var err error
	if n.updates, err = newUpdates(n); err != nil {
		cancel()
		return nil, err
	}
	shares := conns.Shares()
	n.front = front.Start(front.Deps{
		Log: deps.Log, Listener: deps.Callers, Dialect: deps.Interface.Dialect, Place: deps.Place, Regions: deps.Regions,
		Budgets: n.budgets, Conns: n.conns, Sched: deps.Sched, Retry: deps.Retry,
		LeaveNotice: deps.LeaveNotice, MaxCallers: mostCallers(shares.Callers, deps.Memory), Admission: deps.Admission, Intake: intake.NewGate(deps.Intake), Memory: deps.Memory,
		Broadcast:  func(u sched.Update) { n.updates.enqueue(u) },
		Report:     func(r poison.Report) { n.updates.enqueue(r) },
		Leaving:    func(u fleet.Upstream) { n.mesh.Drain(u) },
		Quarantine: func(q fleet.Quarantine) { n.mesh.Quarantine(q) },
	})
	if err := n.startMesh(id); err != nil {
		cancel()
		return nil, err
	}
	n.host = newHostRunner(n)
	if err := errors.Join(deps.Server.Register("Node", &Service{n: n}), n.host.register()); err != nil {
		cancel()
		return nil, err
	}
	deps.Server.Serve()
	n.wg.Go(func() { n.followPolicies(ctx) })
	n.wg.Go(func() { n.followFleet(ctx) })
	n.wg.Go(func() { n.budgets.run(ctx) })
	n.wg.Go(func() { n.budgets.raiseWatermarks(ctx) })
	n.wg.Go(func() { n.host.run(ctx) })
	n.wg.Go(func() { n.updates.send(ctx) })
	n.wg.Go(n.updates.receive)
	n.serve(deps.API, shares.API, deps.Interface.API)
	n.serve(deps.Ready, shares.Ready, deps.Interface.Ready)
	return n, nil
}

func (n *Node) startMesh(id fleet.NodeID) error {
	var err error
	n.mesh, err = mesh.Start(mesh.Deps{
		Log: n.log, Pool: n.deps.Pool, Server: n.deps.Server, Seeds: n.deps.Seeds, Rand: splitRand(n.deps.Rand), Bootstrap: n.deps.Bootstrap,
		Self:    fleet.Peer{ID: id, Place: n.deps.Place, Addr: n.self, Disk: n.deps.DataDir != ""},
		Changed: n.onChange,
	})
	return err
}

// splitRand returns a source of its own for a part that runs concurrently with the others.
func splitRand(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }

func (n *Node) serve(ln net.Listener, most int, handler func(*Node) http.Handler) {
	if ln == nil {
		return
	}
	s := intake.NewServer(handler(n), intake.ServerOptions{Most: most, MaxBody: n.deps.Interface.MaxBody, Gate: n.operators})
	s.ErrorLog = zap.NewStdLog(n.log)
	n.servers = append(n.servers, s)
	n.wg.Go(func() { _ = s.Serve(ln) })
}

func (n *Node) onChange() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// followFleet passes changes of the fleet to the components that use it, until ctx ends.
func (n *Node) followFleet(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		n.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-n.changed:
		case <-ticker.C:
		}
	}
}

// inUse reports whether a service is in the policy in force. Without a policy, all are.
func (n *Node) inUse(service string) bool {
	table := n.front.Policy()
	if table == nil {
		return true
	}
	_, ok := table.Service(service)
	return ok
}

func (n *Node) refresh(ctx context.Context) {
	var ups []fleet.Upstream
	addrs := map[netip.AddrPort]bool{}
	for _, u := range n.mesh.Upstreams(n.inUse) {
		u.Cold = max(time.Until(u.ColdUntil), 0)
		ups = append(ups, u.Upstream)
		addrs[u.Addr] = true
	}
	n.front.SetUpstreams(ups)
	n.front.SetEvacuations(n.mesh.Evacuations())
	n.conns.Sweep(time.Now(), func(addr netip.AddrPort) bool { return addrs[addr] })
	n.front.ApplyQuarantines(n.mesh.Quarantines())
	select {
	case n.quarantined <- struct{}{}:
	default:
	}
	alive := n.mesh.Alive()
	// The seeds are known nodes too, also before the first exchange with one.
	n.front.SetEntries(sched.Entries{Alive: len(alive), Known: max(n.mesh.Known(), len(n.deps.Seeds))})
	n.front.SetSharers(n.mesh.Sharers())
	n.budgets.setWitnesses(alive)
	n.updates.setPeers(alive)
	var control []netip.AddrPort
	for _, p := range alive {
		if p.Disk {
			control = append(control, p.Addr)
		}
	}
	n.client.SetAddrs(control)
	n.catchUp(ctx, alive)
}

// addrOf returns the internal address of a live node by its id or its keeper's id, or the
// zero address.
func (n *Node) addrOf(id fleet.NodeID) netip.AddrPort {
	for _, p := range n.mesh.Alive() {
		if p.ID == id || p.Keeper == id {
			return p.Addr
		}
	}
	return netip.AddrPort{}
}

// lenders returns nodes to borrow from, in random order. Nodes that are not control hosts
// come first, since a partition from the control group also separates this node from the
// control hosts.
func (n *Node) lenders(most int) []netip.AddrPort {
	var others, controlHosts []netip.AddrPort
	for _, p := range n.mesh.Alive() {
		switch {
		case p.Addr == n.self || p.Draining:
		case p.Disk:
			controlHosts = append(controlHosts, p.Addr)
		default:
			others = append(others, p.Addr)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	out := append(others, controlHosts...)
	return out[:min(most, len(out))]
}

// Ready reports whether callers can be served.
func (n *Node) Ready() bool {
	return n.front.Ready() && n.confirmed.Load()
}

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []netip.AddrPort) { n.mesh.SetSeeds(seeds) }

// diskWait is how long a node that stops waits for a write that is in progress.
const diskWait = time.Second

// awaitEnd waits until everything that the node has started has ended, for diskWait at most: a write to a
// disk that hangs can't be ended, and what it would make durable was promised to nobody.
func (n *Node) awaitEnd(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, diskWait)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		n.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		n.log.Warn("node: stopping without waiting for the disk, which hangs")
	}
}

// budgetReturnTime is the part of the shutdown time that is reserved for giving back the
// budgets. Tokens that are not given back are billed.
const budgetReturnTime = 700 * time.Millisecond

// Close marks the node as draining, hands over the control host's vote, finishes the requests in
// progress until budgetReturnTime before ctx ends, gives the budgets back and stops the node. It waits for
// a disk that hangs for a second at most. It returns 1 and an error if it aborted requests, else 0.
func (n *Node) Close(ctx context.Context) (int, error) {
	n.mesh.Update(true, func(p *fleet.Peer) { p.Draining = true })
	serve, cancel := ctx, context.CancelFunc(func() {})
	if end, ok := ctx.Deadline(); ok {
		serve, cancel = context.WithDeadline(ctx, end.Add(-budgetReturnTime))
	}
	defer cancel()
	var leaving sync.WaitGroup
	leaving.Go(func() { n.host.leave(serve) })
	err := n.front.Close(serve)
	leaving.Wait()
	n.budgets.leave(ctx)
	n.mesh.Update(true, func(p *fleet.Peer) { p.Left = true })
	for _, s := range n.servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
	n.cancel()
	_ = n.updates.conn.Close()
	n.awaitEnd(ctx)
	_ = n.mesh.Close()
	_ = n.conns.Close()
	_ = n.deps.Server.Close(ctx)
	if err != nil {
		return 1, err
	}
	return 0, nil
}
