package ctrl

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"
	"dotterelgap/core/raft"
	"dotterelgap/core/state"
	"dotterelgap/io/disk"
	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Sizes and times of a control host.
const (
	queueLength    = 4096
	batchLimit     = 512
	tickInterval   = 20 * time.Millisecond
	leaderInterval = 100 * time.Millisecond
	suspectAfter   = 2 * time.Second
	// slowSync is the time of a write from which on it is logged and counted as slow.
	slowSync = 250 * time.Millisecond
	// The log is compacted once the entries applied since the latest snapshot take
	// compactFactor times the size of the snapshot, and at least compactBytes. With larger
	// values, the host writes fewer snapshots but reads a longer log after a restart.
	compactBytes  = 1 << 20
	compactFactor = 4
)

// Deps holds the dependencies and settings of a Host.
type Deps struct {
	Log      *zap.Logger
	Store    *disk.Store
	Identity disk.Identity
	Saved    raft.Saved
	Pool     *wire.Pool
	Addr     netip.AddrPort
	// Size is the intended number of voters. Hosts that join are promoted up to it.
	Size int
	// FirstOperator may apply the first configuration.
	FirstOperator   config.Digest
	Rand            *rand.Rand
	ElectionTimeout time.Duration
	// Quota holds the options that the holders of prepaid budgets run with.
	Quota quota.Options
	// Replace lets the leader remove voters that don't respond, once another host is
	// ready to replace them, and learners that don't respond.
	Replace bool
	// OnPolicy is called on the loop with each routing policy that comes into force.
	OnPolicy func(state.Published)
	// OnEvacuations is called on the loop with each change of the evacuated places.
	OnEvacuations func(fleet.Evacuations)
	// OnDepartures is called on the loop with departures that were recorded.
	OnDepartures func([]fleet.Departure)
	// OnSavedDepartures is called at the start with the departures of the log's entries, be they
	// committed or not.
	OnSavedDepartures func([]fleet.Departure)
	// Fatal is called once the disk has failed. The host must be closed then.
	Fatal func(error)
}

// task is a function that runs on the loop.
type task func(now time.Time)

// Host is a control host.
type Host struct {
	deps   Deps
	log    *zap.Logger
	queue  chan task
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// done is closed once the loop has ended.
	done      chan struct{}
	metrics   *metrics
	assessing assessments

	// The fields below belong to the loop.
	machine  *raft.Machine
	state    *state.Machine
	applied  uint64
	waiters  map[uint64]waiter
	reads    map[uint64]chan bool
	nextRead uint64
	senders  map[raft.MemberID]*sender
	// peerAddrs holds the addresses of members that have sent a message to this host.
	peerAddrs    map[raft.MemberID]netip.AddrPort
	leader       *leaderState
	lastRole     raft.Role
	leaderWorkAt time.Time
	failed       bool
	clock        *clock
	writer       *writer
	leaderless   *leaderless
	// sinceSnapshot is the size of the entries applied since the latest snapshot, and
	// snapshotBytes the size of that snapshot.
	sinceSnapshot, snapshotBytes int
	// departed holds the departures of the entries that are being applied.
	departed []fleet.Departure
	// applyPending wakes the loop while there are committed entries to apply.
	applyPending chan struct{}
}

type waiter struct {
	term uint64
	done chan outcome
}

type outcome struct {
	res  state.Result
	lost bool
}

// Start restores the saved state and starts the host. It runs until Close.
func Start(deps Deps) (*Host, error) {
	h := &Host{
		deps:         deps,
		log:          deps.Log,
		queue:        make(chan task, queueLength),
		done:         make(chan struct{}),
		state:        state.New(),
		waiters:      map[uint64]waiter{},
		reads:        map[uint64]chan bool{},
		senders:      map[raft.MemberID]*sender{},
		peerAddrs:    map[raft.MemberID]netip.AddrPort{},
		leader:       newLeaderState(fleet.NewPresence(suspectAfter)),
		metrics:      newMetrics(),
		clock:        newClock(deps.Saved.Written),
		writer:       newWriter(deps.Store),
		leaderless:   newLeaderless(time.Now()),
		applyPending: make(chan struct{}, 1),
	}
	if h.deps.OnPolicy == nil {
		h.deps.OnPolicy = func(state.Published) {}
	}
	if h.deps.OnEvacuations == nil {
		h.deps.OnEvacuations = func(fleet.Evacuations) {}
	}
	if h.deps.OnDepartures == nil {
		h.deps.OnDepartures = func([]fleet.Departure) {}
	}
	if h.deps.OnSavedDepartures == nil {
		h.deps.OnSavedDepartures = func([]fleet.Departure) {}
	}
	if err := h.restore(deps.Saved.Snapshot); err != nil {
		return nil, err
	}
	h.announceSaved(deps.Saved.Entries)
	h.machine = raft.New(raft.Params{
		Self: deps.Identity.Member, Saved: deps.Saved, Rand: deps.Rand,
		Now: time.Now(), ElectionTimeout: deps.ElectionTimeout,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.wg.Go(func() { h.writer.run(ctx) })
	h.wg.Go(func() {
		defer close(h.done)
		h.run(ctx)
	})
	return h, nil
}

// restore replaces the state with that of a snapshot. The first snapshot of a new group
// has no data, and its state is empty.
func (h *Host) restore(s raft.Snapshot) error {
	h.applied = s.Index
	h.sinceSnapshot, h.snapshotBytes = 0, len(s.Data)
	if len(s.Data) == 0 {
		return nil
	}
	if err := h.state.Restore(s.Data); err != nil {
		return trace.Wrap(err)
	}
	h.deps.OnPolicy(h.state.Policy)
	h.deps.OnEvacuations(h.state.Evacuations.Evacuations)
	h.deps.OnDepartures(h.departures())
	return nil
}

// run is the loop that owns the state.
func (h *Host) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer h.stopSenders()
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-h.queue:
			t(time.Now())
			h.drainQueue()
		case res := <-h.writer.results:
			h.finishWrite(time.Now(), res)
		case <-h.applyPending:
		case <-ticker.C:
		}
		now := time.Now()
		h.machine.SetWriteTime(h.writer.duration(now))
		h.machine.Tick(now)
		h.runLeaderTasks(now)
		h.watchLeader(now)
		h.processOutput(now)
	}
}

// drainQueue runs the queued tasks, so that they share one sync.
func (h *Host) drainQueue() {
	for range batchLimit {
		select {
		case t := <-h.queue:
			t(time.Now())
		default:
			return
		}
	}
}

// processOutput handles the output of the log machine until there is none, and has the disk write
// what it must. If many entries remain to be applied, it returns early so that the loop handles ticks
// and messages in between.
func (h *Host) processOutput(now time.Time) {
	for !h.failed {
		out := h.machine.Take()
		if out.Empty() {
			break
		}
		if err := h.persist(now, out); err != nil {
			h.fail(err)
			return
		}
		if len(out.Messages) > 0 && !h.writer.hold(out.Messages) {
			h.send(out.Messages)
		}
		h.apply(out)
		h.completeReads(out.Reads)
		if h.machine.Behind() {
			select {
			case h.applyPending <- struct{}{}:
			default:
			}
			break
		}
	}
	h.detectRoleChange(now)
	h.compact()
	if !h.failed {
		h.writer.start(now)
	}
}

// persist takes over a snapshot of the leader, and queues what is to be written.
func (h *Host) persist(now time.Time, out raft.Output) error {
	if out.Installed != nil {
		if err := h.restore(*out.Installed); err != nil {
			return err
		}
	}
	if n := len(out.Entries); n > 0 {
		h.clock.recordWrite(out.Entries[n-1])
	}
	h.writer.add(now, out, h.machine)
	return nil
}

// fail stops the host. After a failed sync it is unknown what is on the disk.
func (h *Host) fail(err error) {
	h.failed = true
	h.log.Error("control: disk failed, stopping this host", zap.Error(err))
	h.failWaiters()
	h.deps.Fatal(err)
}

func (h *Host) apply(out raft.Output) {
	before, evacuations := h.state.Policy.Number, h.state.Evacuations.Number
	h.departed = h.departed[:0]
	for _, e := range out.Committed {
		h.applied = e.Index
		h.sinceSnapshot += len(e.Data)
		var res state.Result
		if e.Kind == raft.EntryCommand {
			res = h.applyCommand(e)
		}
		w, ok := h.waiters[e.Index]
		if !ok {
			continue
		}
		delete(h.waiters, e.Index)
		w.done <- outcome{res: res, lost: w.term != e.Term}
	}
	// A batch may contain many policies, as after a start. Only the last one comes into
	// force.
	if h.state.Policy.Number > before {
		h.deps.OnPolicy(h.state.Policy)
	}
	if h.state.Evacuations.Number > evacuations {
		h.deps.OnEvacuations(h.state.Evacuations.Evacuations)
	}
	if len(h.departed) > 0 {
		h.deps.OnDepartures(h.departed)
	}
}

// loggedBills limits the customers that the log line of an ended holder names.
const loggedBills = 5

func (h *Host) applyCommand(e raft.Entry) state.Result {
	c, err := state.Decode(e.Data)
	if err != nil {
		h.log.Error("control: failed to decode a log entry", zap.Uint64("index", e.Index), zap.Error(err))
		return state.Result{Err: err}
	}
	ends := c.EndsHolder()
	var forfeited quota.Tokens
	var bills []quota.Bill
	if ends {
		forfeited = h.state.Quota.Forfeited()
		bills = h.state.Quota.Bills(c.Ending())
	}
	res := h.state.Apply(c)
	if c.Depart != nil {
		h.departed = append(h.departed, *c.Depart)
	}
	if ends && h.lastRole == raft.Leader {
		h.log.Info("control: a holder of budgets was billed", zap.Int64("beyond_use", int64(h.state.Quota.Forfeited()-forfeited)),
			zap.Bool("booked", !res.NotRecorded), zap.Any("bills", bills[:min(len(bills), loggedBills)]))
	}
	return res
}

func (h *Host) completeReads(reads []raft.Read) {
	for _, r := range reads {
		if ch, ok := h.reads[r.ID]; ok {
			delete(h.reads, r.ID)
			ch <- r.OK
		}
	}
}

// detectRoleChange handles that this host has become the leader or lost the leadership.
func (h *Host) detectRoleChange(now time.Time) {
	role := h.machine.Status().Role
	if role == h.lastRole {
		return
	}
	if role == raft.Leader {
		h.log.Info("control: became the leader", zap.Uint64("term", h.machine.HardState().Term))
		h.leader.reset(now)
	}
	if h.lastRole == raft.Leader {
		h.log.Info("control: lost the leadership")
		h.metrics.locked.Record(context.Background(), 0)
		h.failWaiters()
	}
	h.lastRole = role
}

// failWaiters ends all waiting calls with an unknown outcome.
func (h *Host) failWaiters() {
	for i, w := range h.waiters {
		delete(h.waiters, i)
		w.done <- outcome{lost: true}
	}
	for id, ch := range h.reads {
		delete(h.reads, id)
		ch <- false
	}
}

func (h *Host) compact() {
	if h.failed || h.sinceSnapshot < max(compactBytes, compactFactor*h.snapshotBytes) {
		return
	}
	data, err := h.state.Snapshot()
	if err != nil {
		h.log.Error("control: failed to encode the state", zap.Error(err))
		return
	}
	h.sinceSnapshot, h.snapshotBytes = 0, len(data)
	h.writer.replace(h.machine.Compact(h.applied, data), h.machine)
}

// post queues a task, or returns an error once ctx ends or the host is closed.
func (h *Host) post(ctx context.Context, t task) error {
	select {
	case <-h.done:
		return trace.Wrap(&StoppedError{})
	default:
	}
	select {
	case h.queue <- t:
		return nil
	case <-h.done:
		return trace.Wrap(&StoppedError{})
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Close stops the host and waits for its goroutines.
func (h *Host) Close() error {
	h.cancel()
	h.wg.Wait()
	return trace.Wrap(h.deps.Store.Close())
}
