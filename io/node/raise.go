package node

import (
	"context"
	"slices"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Times of requests to the witnesses.
const (
	raiseTick    = 50 * time.Millisecond
	raiseTimeout = 300 * time.Millisecond
	// raisePause is the pause after a raise that too few witnesses recorded.
	raisePause = 50 * time.Millisecond
	// keeperWait is how long to wait for keepers once the witnesses have recorded a raise.
	keeperWait = 20 * time.Millisecond
	// A raise is sent to keepers that have recorded one within recentWithin: to as many as
	// are needed and spareKeepers more.
	spareKeepers = 1
	recentWithin = time.Second
)

// raiseWatermarks asks the witnesses to record the holder's watermarks while the control
// group does not reply, until ctx ends.
func (b *budgets) raiseWatermarks(ctx context.Context) {
	ticker := time.NewTicker(raiseTick)
	defer ticker.Stop()
	for {
		if !b.raiseOnce(ctx) {
			sleep(ctx, raisePause)
		}
		select {
		case <-ctx.Done():
			return
		case <-b.raise:
		case <-ticker.C:
		}
	}
}

// witnessReply is a witness's reply to a raise.
type witnessReply struct {
	witness fleet.NodeID
	ok      bool
}

// raiseOnce asks the witnesses once, if the holder wants a raise. It returns false if too
// few recorded it. It does not wait for slow keepers.
func (b *budgets) raiseOnce(ctx context.Context) bool {
	b.mu.Lock()
	r, witnesses, keepers, wanted := b.holder.Raise(time.Now())
	b.mu.Unlock()
	if !wanted {
		return true
	}
	asked := slices.Concat(witnesses, b.recentKeepers(keepers))
	replies := make(chan witnessReply, len(asked))
	for _, id := range asked {
		b.n.wg.Go(func() { replies <- b.askWitness(ctx, id, r) })
	}
	recorded := make(chan struct{})
	done := make(chan struct{})
	b.n.wg.Go(func() {
		defer close(done)
		b.collect(r, len(asked), replies, recorded)
	})
	select {
	case <-done:
	case <-recorded:
		select {
		case <-done:
		case <-time.After(keeperWait):
		}
		return true
	}
	select {
	case <-recorded:
		return true
	default:
		b.n.log.Info("node: too few witnesses have recorded what may be spent", zap.Int("asked", len(asked)))
		return false
	}
}

// recentKeepers returns keepers that have recorded a raise recently, if there are enough. If
// not, it returns all keepers, since any of them may be unreachable.
func (b *budgets) recentKeepers(keepers []fleet.NodeID) []fleet.NodeID {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	needed := quota.RaiseQuorum(len(keepers))
	var out []fleet.NodeID
	for _, id := range keepers {
		if len(out) < needed+spareKeepers && now.Sub(b.recordedAt[id]) < recentWithin {
			out = append(out, id)
		}
	}
	if len(out) < needed {
		return keepers
	}
	return out
}

// collect applies the replies to a raise until enough witnesses and keepers have recorded
// it, or until all have replied. It closes recorded once enough witnesses have.
func (b *budgets) collect(r quota.Raise, asked int, replies <-chan witnessReply, recorded chan<- struct{}) {
	acked := map[fleet.NodeID]bool{}
	enough := false
	for range asked {
		reply := <-replies
		if !reply.ok {
			continue
		}
		acked[reply.witness] = true
		witnessed, kept := b.recorded(r, acked, reply.witness)
		if witnessed && !enough {
			enough = true
			close(recorded)
		}
		if witnessed && kept {
			return
		}
	}
}

func (b *budgets) askWitness(ctx context.Context, id fleet.NodeID, r quota.Raise) witnessReply {
	ctx, cancel := context.WithTimeout(ctx, raiseTimeout)
	defer cancel()
	r.Witness = id
	var ok bool
	err := b.n.deps.Pool.Call(ctx, b.n.addrOf(id), "Node.Raise", &r, &ok)
	return witnessReply{witness: id, ok: err == nil && ok}
}

// recorded applies the record of a raise at the witness last. acked contains all witnesses
// and keepers that have recorded the raise. The results report whether enough witnesses and
// enough keepers have.
func (b *budgets) recorded(r quota.Raise, acked map[fleet.NodeID]bool, last fleet.NodeID) (recorded, kept bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordedAt[last] = time.Now()
	recorded, kept = b.holder.HandleRecords(r, acked)
	if recorded {
		b.notifyChange()
	}
	return recorded, kept
}

// Raise records the watermarks of another node.
func (s *Service) Raise(args *quota.Raise, ok *bool) error {
	b := s.n.budgets
	if k := b.keeper.Load(); k != nil && args.Witness == k.id {
		*ok = k.raise(*args)
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	*ok = b.witness.Raise(*args)
	return nil
}

// KeeperClosedError is returned while a node's keeper is not open, as shortly after a
// start. Its records are not lost.
type KeeperClosedError struct {
	Keeper fleet.NodeID
}

// Error implements error.
func (e *KeeperClosedError) Error() string { return string(e.Keeper) + " is not open yet" }

// Fence reports the raises of a holder. Unless args.Peek is set, a witness in memory also
// refuses further ones.
func (s *Service) Fence(args *wire.FenceArgs, reply *quota.WitnessReport) error {
	b := s.n.budgets
	k := b.keeper.Load()
	if k == nil && s.n.deps.DataDir != "" && ctrl.IsKeeper(args.Witness) {
		return trace.Wrap(&KeeperClosedError{Keeper: args.Witness})
	}
	if k != nil && args.Witness == k.id {
		*reply = k.peek(args.Witness, args.Holder)
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if args.Peek {
		*reply = b.witness.Peek(args.Witness, args.Holder)
	} else {
		*reply = b.witness.Fence(args.Witness, args.Holder)
	}
	reply.Age = time.Since(b.startedAt)
	return nil
}
