package agent

import (
	"context"
	"errors"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/wire"

	"go.uber.org/zap"
)

// Timeouts of a heartbeat and of the leave message.
const (
	heartbeatTimeout = 3 * time.Second
	leaveTimeout     = 2 * time.Second
)

func (a *Agent) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		a.sendHeartbeat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.wake:
		}
	}
}

// triggerHeartbeat sends a heartbeat without waiting for the next interval.
func (a *Agent) triggerHeartbeat() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Agent) sendHeartbeat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	args := a.heartbeatArgs()
	reply, err := ctrl.Call[wire.BeatReply](ctx, a.client, "Control.Beat", &args)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if err != nil {
		a.log.Warn("agent: heartbeat to the control group failed", zap.Error(err))
		return
	}
	a.client.SetAddrs(reply.Control)
	if a.applyReply(reply) {
		a.triggerHeartbeat()
	}
}

func (a *Agent) heartbeatArgs() wire.BeatArgs {
	a.mu.Lock()
	defer a.mu.Unlock()
	args := wire.BeatArgs{
		Node: a.deps.Node, Config: 1, Roster: a.viewVersion,
		Load: a.load(), Unknown: a.meter.Unknown(),
	}
	if !a.orders.known {
		args.Config = 0
	}
	for _, g := range a.fences {
		args.Reports = append(args.Reports, a.fence(g))
	}
	return args
}

// fence fences a grant in the meter and, if this agent is one of its witnesses, in
// the witness too. It returns the agent's report on the grant. Callers hold mu.
func (a *Agent) fence(g escrow.Grant) escrow.Report {
	r := a.meter.Fence(g.ID)
	for _, w := range g.Witnesses {
		if w == a.deps.Node.ID {
			r.Witness = true
			r.Watermark = a.witness.Fence(g)
		}
	}
	return r
}

// applyReply applies the reply to a heartbeat. It reports whether the reply has new
// fences, which the control group needs reports on.
func (a *Agent) applyReply(reply wire.BeatReply) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.Joined == 0 {
		a.log.Warn("agent: the control group has recorded the end of this process; refusing new work")
		a.runs.Drain()
		return false
	}
	a.meter.Join(reply.Joined)
	a.orders.observe(reply.Order)
	if reply.Roster != nil {
		a.viewVersion = reply.Roster.Version
	}
	for _, id := range reply.Open {
		a.meter.Confirm(id, true)
	}
	for _, id := range reply.Shut {
		a.meter.Confirm(id, false)
	}
	newFences := len(reply.Fence) > len(a.fences)
	a.fences = reply.Fence
	for _, g := range reply.Fence {
		a.meter.Fence(g.ID)
	}
	a.meter.SetFloor(reply.Floor)
	a.witness.SetFloor(reply.Floor)
	if !a.joined {
		a.joined = true
		a.log.Info("agent: joined", zap.String("service", a.deps.Node.Service))
	}
	a.runs.Ready()
	return newFences
}

// leave sends the leave message with the agent's final reports to the ledger. If
// that fails, the grants in those reports stay in doubt until an operator writes them
// off.
func (a *Agent) leave() {
	a.mu.Lock()
	args := wire.BeatArgs{Node: a.deps.Node, Left: true, Reports: a.meter.FenceAll()}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := ctrl.Call[wire.BeatReply](ctx, a.client, "Control.Beat", &args); err != nil {
		a.log.Warn("agent: leave message to the control group failed", zap.Error(err))
	}
}

// load estimates the upstream's load from the agent's own runs. Callers hold mu.
func (a *Agent) load() wire.Load {
	running := a.runs.Running()
	slots := max(a.deps.Node.Slots, 1)
	return wire.Load{Running: min(running, slots), Waiting: max(running-slots, 0)}
}
