package node

import (
	"context"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"
	"dotterelgap/io/wire"

	"go.uber.org/zap"
)

// Times of asking the witnesses.
const (
	raiseTick    = 50 * time.Millisecond
	raiseTimeout = 300 * time.Millisecond
	// raisePause is the time after a raise that too few witnesses recorded.
	raisePause = 50 * time.Millisecond
)

// raiseMarks has the holder's marks recorded by its witnesses while control does
// not answer, until ctx ends.
func (b *budgets) raiseMarks(ctx context.Context) {
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

// ack is a witness's answer to a raise.
type ack struct {
	witness fleet.NodeID
	ok      bool
}

// raiseOnce asks the witnesses once, if that is wanted. It returns false if too few
// recorded it.
func (b *budgets) raiseOnce(ctx context.Context) bool {
	b.mu.Lock()
	r, lists, wanted := b.holder.Raise(time.Now())
	b.mu.Unlock()
	if !wanted {
		return true
	}
	asked := map[fleet.NodeID]bool{}
	for _, list := range lists {
		for _, id := range list {
			asked[id] = true
		}
	}
	acks := make(chan ack, len(asked))
	for id := range asked {
		// Not one of the loop's: a slow witness is not waited for.
		b.n.wg.Go(func() { acks <- b.askWitness(ctx, id, r) })
	}
	acked := map[fleet.NodeID]bool{}
	for range asked {
		if a := <-acks; a.ok {
			acked[a.witness] = true
		}
		if b.recorded(r, acked) {
			return true
		}
	}
	b.n.log.Info("node: too few witnesses have recorded what may be spent", zap.Int("asked", len(asked)),
		zap.Int("recorded", len(acked)))
	return false
}

func (b *budgets) askWitness(ctx context.Context, id fleet.NodeID, r quota.Raise) ack {
	ctx, cancel := context.WithTimeout(ctx, raiseTimeout)
	defer cancel()
	r.Witness = id
	var ok bool
	err := b.n.deps.Pool.Call(ctx, b.n.addrOf(id), "Node.Raise", &r, &ok)
	return ack{witness: id, ok: err == nil && ok}
}

func (b *budgets) recorded(r quota.Raise, acked map[fleet.NodeID]bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.holder.Recorded(r, acked) {
		return false
	}
	b.announce()
	return true
}

// Raise records what another node may spend.
func (s *Service) Raise(args *quota.Raise, ok *bool) error {
	b := s.n.budgets
	b.mu.Lock()
	defer b.mu.Unlock()
	*ok = b.witness.Raise(*args)
	return nil
}

// Fence tells about the raises of a holder, and may refuse further ones.
func (s *Service) Fence(args *wire.FenceArgs, reply *quota.Testimony) error {
	b := s.n.budgets
	b.mu.Lock()
	defer b.mu.Unlock()
	if args.Peek {
		*reply = b.witness.Peek(args.Witness, args.Holder)
		return nil
	}
	*reply = b.witness.Fence(args.Witness, args.Holder)
	return nil
}
