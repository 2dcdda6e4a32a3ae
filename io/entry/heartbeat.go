package entry

import (
	"context"
	"errors"
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/fleet"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/wire"

	"go.uber.org/zap"
)

// The interval and the timeouts of heartbeats to the control group.
const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 3 * time.Second
	leaveTimeout      = 2 * time.Second
)

func (e *Entry) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		e.sendHeartbeat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.heartbeatNow:
		}
	}
}

func (e *Entry) sendHeartbeat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	e.mu.RLock()
	args := wire.BeatArgs{Node: e.deps.Node, Config: e.store.Version, Roster: e.roster.Version}
	e.mu.RUnlock()
	args.Node.Draining = e.leaving.Load()
	reply, err := ctrl.Call[wire.BeatReply](ctx, e.client, "Control.Beat", &args)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			e.log.Warn("entry: heartbeat to the control group failed", zap.Error(err))
		}
		return
	}
	e.client.SetAddrs(reply.Control)
	e.applyConfig(reply.Config)
	if reply.Roster != nil {
		e.setRoster(*reply.Roster)
	}
	for _, c := range reply.Funded {
		e.budget.funded(c)
	}
	for _, id := range reply.Recalls {
		e.budget.recall(id)
	}
}

// applyConfig applies a newer configuration and puts it in force.
func (e *Entry) applyConfig(d config.Delta) {
	if d.Version == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	changed, err := e.store.Follow(d)
	if err != nil {
		e.log.Error("entry: configuration update rejected; fetching the full configuration", zap.Error(err))
		e.store = config.NewStore()
		return
	}
	if !changed {
		return
	}
	doc, err := config.Join(e.store.Values())
	if err != nil {
		e.log.Error("entry: could not decode the configuration", zap.Error(err))
		return
	}
	e.view = newView(doc)
	e.log.Info("entry: new configuration in force", zap.Uint64("version", d.Version))
}

func (e *Entry) setRoster(r wire.Roster) {
	e.mu.Lock()
	e.roster = r
	e.mu.Unlock()
	e.budget.setEntries(r.Nodes)
	e.routeMu.Lock()
	defer e.routeMu.Unlock()
	e.router.SetNodes(time.Now(), r.Nodes)
}

// ready reports whether the entry can serve callers: it is not shutting down, and a
// configuration that a quorum has confirmed since this process started is in force.
func (e *Entry) ready() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.store.Version > 0 && !e.leaving.Load()
}

// nodeByID returns a process of the membership view.
func (e *Entry) nodeByID(id fleet.NodeID) (fleet.Node, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, n := range e.roster.Nodes {
		if n.ID == id {
			return n, true
		}
	}
	return fleet.Node{}, false
}

// sendLeave sends the control group a leave message: this entry holds no grants any more.
func (e *Entry) sendLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	args := wire.BeatArgs{Node: e.deps.Node, Left: true, Config: 1}
	if _, err := ctrl.Call[wire.BeatReply](ctx, e.client, "Control.Beat", &args); err != nil {
		e.log.Warn("entry: leave message to the control group failed; the control group settles the grants later", zap.Error(err))
	}
}
