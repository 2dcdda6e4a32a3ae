package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/raft"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/disk"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Pauses while the control host starts.
const (
	restartPause = 200 * time.Millisecond
	// damagedPause is the pause where only an operator can help.
	damagedPause = 10 * time.Second
	pollPause    = 50 * time.Millisecond
)

// hostRunner runs the control host of a node with a data folder. If the disk fails, it
// closes the host and restarts it from the folder while the node continues to serve.
type hostRunner struct {
	n       *Node
	service *ctrl.Service
	rand    *rand.Rand
	// running is the host, or nil while there is none.
	running atomic.Pointer[ctrl.Host]
}

func newHostRunner(n *Node) *hostRunner {
	return &hostRunner{n: n, service: ctrl.NewService(nil), rand: splitRand(n.deps.Rand)}
}

func (r *hostRunner) register() error {
	if r.n.deps.DataDir == "" {
		return nil
	}
	return r.n.deps.Server.Register("Control", r.service)
}

// run runs the host until ctx ends, and restarts it when it stops.
func (r *hostRunner) run(ctx context.Context) {
	if r.n.deps.DataDir == "" {
		return
	}
	for ctx.Err() == nil {
		err := r.runOnce(ctx)
		var damaged *disk.CorruptionError
		switch {
		case err == nil || ctx.Err() != nil:
			sleep(ctx, restartPause)
		case errors.As(err, &damaged):
			r.n.log.Error("node: the data folder is damaged; move it away, and this host joins the group again with an empty one", zap.Error(err))
			sleep(ctx, damagedPause)
		default:
			r.n.log.Error("node: the control host stopped; restarting it", zap.Error(err))
			sleep(ctx, restartPause)
		}
	}
}

// runOnce runs the host until ctx ends or its disk fails.
func (r *hostRunner) runOnce(ctx context.Context) error {
	f, err := r.open(ctx)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	h, err := ctrl.Start(ctrl.Deps{
		Log: r.n.log, Store: f.Store, Identity: f.Identity, Saved: f.Saved, Pool: r.n.deps.Pool, Addr: r.n.self,
		Size: r.n.deps.Size, Rand: r.rand, Quota: r.n.deps.Quota, Replace: true,
		OnPolicy: r.n.offer, OnEvacuations: r.n.applyEvacuations, OnDepartures: r.n.applyDepartures,
		OnSavedDepartures: func(list []fleet.Departure) { r.n.mesh.Depart(list...) },
		Fatal:             func(err error) { failed <- err },
	})
	if err != nil {
		return err
	}
	r.service.Set(h)
	r.running.Store(h)
	defer func() {
		r.running.Store(nil)
		r.service.Set(nil)
		_ = h.Close()
	}()
	defer r.runKeeper(f, h)()
	joining, cancel := context.WithCancel(ctx)
	defer cancel()
	r.n.wg.Go(func() { r.n.keepQuarantines(joining) })
	r.n.wg.Go(func() {
		if !f.Member() {
			ctrl.Join(joining, r.n.log, r.n.client, raft.Member{ID: f.Identity.Member, Addr: r.n.self})
		}
		h.StayJoined(joining, r.n.client)
	})
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return trace.Wrap(err)
	}
}

// leave hands over what the control host, if one runs, has in the group.
func (r *hostRunner) leave(ctx context.Context) {
	if h := r.running.Load(); h != nil {
		h.Leave(ctx, r.n.client)
	}
}

// runKeeper opens the folder's keeper. The returned function closes it.
func (r *hostRunner) runKeeper(f ctrl.Folder, h *ctrl.Host) func() {
	k, err := openKeeper(r.n.log, r.n.deps.FS, r.n.deps.DataDir, f.Identity.Member, h.HolderEnded)
	if err != nil {
		r.n.log.Error("node: opening the keeper failed", zap.Error(err))
		return func() {}
	}
	r.n.budgets.keeper.Store(k)
	r.n.mesh.Update(true, func(p *fleet.Peer) { p.Keeper = k.id })
	return func() {
		r.n.budgets.keeper.Store(nil)
		r.n.mesh.Update(true, func(p *fleet.Peer) { p.Keeper = "" })
		k.close()
	}
}

// open opens the data folder, or creates it: for the first member of a new group if this
// node is the founder, else for a new member.
func (r *hostRunner) open(ctx context.Context) (ctrl.Folder, error) {
	f, err := ctrl.OpenFolder(r.n.deps.FS, r.n.deps.DataDir)
	if err == nil || !ctrl.IsEmpty(err) {
		return f, err
	}
	found := false
	if r.n.deps.Bootstrap {
		if found, err = r.isFounder(ctx); err != nil {
			return f, err
		}
	}
	f, err = ctrl.MakeFolder(r.n.deps.FS, r.n.deps.DataDir, r.rand, r.n.self, found)
	r.n.log.Info("node: created a data folder", zap.Bool("founder", found), zap.Error(err))
	return f, err
}

// isFounder reports whether this node forms the group: it is the first of the seeds with
// a data folder, and no other seed has a group already.
func (r *hostRunner) isFounder(ctx context.Context) (bool, error) {
	for _, seed := range r.n.deps.Seeds {
		if seed == r.n.self {
			err := ctrl.RefuseSecondGroup(ctx, r.n.deps.Pool, r.n.deps.Seeds, r.n.self)
			var exists *ctrl.GroupExistsError
			if errors.As(err, &exists) {
				return false, nil
			}
			return err == nil, err
		}
		disk, err := r.hasDisk(ctx, seed)
		if disk || err != nil {
			return false, err
		}
	}
	r.n.log.Error("node: no control group is formed: none of the seeds has a data folder")
	return false, nil
}

// hasDisk waits until it is known whether the node at an address has a data folder.
func (r *hostRunner) hasDisk(ctx context.Context, addr netip.AddrPort) (bool, error) {
	for ctx.Err() == nil {
		alive := r.n.mesh.Alive()
		for _, p := range alive {
			if p.Addr == addr {
				return p.Disk, nil
			}
		}
		sleep(ctx, pollPause)
	}
	return false, trace.Wrap(ctx.Err())
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
