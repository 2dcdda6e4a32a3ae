package entry

import (
	"context"
	"sync"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/wire"
)

// Intervals, timeouts and queue length of the budget holder.
const (
	holderTick    = 50 * time.Millisecond
	claimTimeout  = 500 * time.Millisecond
	budgetTimeout = 2 * time.Second
	peerTimeout   = 3 * time.Second
	inputQueue    = 1024
)

// input is one input of the holder's state machine. It runs on the goroutine of
// budget.run.
type input func(now time.Time, h *escrow.Holder, fx *escrow.Effects)

// budget drives this entry's escrow.Holder, and reserves tokens at this holder and at
// those of other entries.
type budget struct {
	e            *Entry
	inputs       chan input
	wg           sync.WaitGroup
	controlQueue chan wire.BudgetArgs

	// waiting holds the channels of requests without a result, by request ID. Only the
	// goroutine of run uses it.
	waiting map[string]chan escrow.Result

	mu      sync.RWMutex
	entries []fleet.NodeID
	nodes   map[fleet.NodeID]fleet.Node
}

func newBudget(e *Entry, opts escrow.Options) *budget {
	b := &budget{
		e: e, inputs: make(chan input, inputQueue), controlQueue: make(chan wire.BudgetArgs, inputQueue),
		waiting: map[string]chan escrow.Result{}, nodes: map[fleet.NodeID]fleet.Node{},
	}
	b.e.wg.Go(func() { b.controlLoop() })
	return b
}

// run creates the holder and applies its inputs until ctx ends. It is the only goroutine
// that uses the holder.
func (b *budget) run(ctx context.Context) {
	h := escrow.NewHolder(b.e.deps.Node.ID, b.e.deps.Node.Place, b.e.deps.Budget)
	ticker := time.NewTicker(holderTick)
	defer ticker.Stop()
	defer close(b.controlQueue)
	defer b.wg.Wait()
	var fx escrow.Effects
	for {
		fx.Reset()
		select {
		case <-ctx.Done():
			return
		case in := <-b.inputs:
			in(time.Now(), h, &fx)
		case <-ticker.C:
			h.Tick(time.Now(), &fx)
		}
		b.runEffects(fx)
	}
}

func (b *budget) runEffects(fx escrow.Effects) {
	for _, result := range fx.Results {
		if ch, ok := b.waiting[result.ID]; ok {
			delete(b.waiting, result.ID)
			ch <- result
		}
	}
	for _, c := range fx.Claims {
		b.wg.Go(func() { b.claim(c) })
	}
	for _, c := range fx.Searches {
		b.wg.Go(func() { b.search(c) })
	}
	if len(fx.Refills)+len(fx.Spends)+len(fx.Closes) == 0 {
		return
	}
	args := wire.BudgetArgs{}
	args.Refills = append(args.Refills, fx.Refills...)
	args.Spends = append(args.Spends, fx.Spends...)
	args.Closes = append(args.Closes, fx.Closes...)
	b.controlQueue <- args
}

// post queues an input for run. It blocks while the queue is full.
func (b *budget) post(in input) {
	b.inputs <- in
}

// controlLoop sends the queued messages to the ledger, one call at a time. Messages that
// are queued during a call share the next one.
func (b *budget) controlLoop() {
	var closes []escrow.Close
	for args := range b.controlQueue {
		args = b.mergeQueued(args)
		args.Closes = append(closes, args.Closes...)
		closes = nil
		ctx, cancel := context.WithTimeout(context.Background(), budgetTimeout)
		reply, err := ctrl.Call[wire.BudgetReply](ctx, b.e.client, "Control.Budget", &args)
		cancel()
		b.e.metrics.controlCall()
		if err != nil {
			closes = args.Closes
			b.refillsFailed(args.Refills)
			continue
		}
		b.handleReply(reply)
	}
}

func (b *budget) mergeQueued(args wire.BudgetArgs) wire.BudgetArgs {
	for {
		select {
		case more, ok := <-b.controlQueue:
			if !ok {
				return args
			}
			args.Refills = append(args.Refills, more.Refills...)
			args.Spends = append(args.Spends, more.Spends...)
			args.Closes = append(args.Closes, more.Closes...)
		default:
			return args
		}
	}
}

func (b *budget) refillsFailed(refills []escrow.Refill) {
	b.tryPost(func(now time.Time, h *escrow.Holder, fx *escrow.Effects) {
		for _, r := range refills {
			h.RefillFailed(now, r.Customer, fx)
		}
	})
}

func (b *budget) handleReply(reply wire.BudgetReply) {
	b.tryPost(func(now time.Time, h *escrow.Holder, fx *escrow.Effects) {
		for _, a := range reply.Answers {
			if a.Grant != nil {
				h.AddGrant(now, a.Seq, *a.Grant, fx)
			}
			if a.Denial != nil {
				h.Deny(now, *a.Denial, fx)
			}
		}
	})
}

// tryPost queues an input for run, and drops it after budgetTimeout. Without the timeout,
// run and controlLoop could block on each other's full queue for ever.
func (b *budget) tryPost(in input) {
	select {
	case b.inputs <- in:
	case <-time.After(budgetTimeout):
	}
}

// claim sends a claim to one witness and queues its reply for the holder.
func (b *budget) claim(c escrow.Claim) {
	n, ok := b.e.nodeByID(c.Witness)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	var reply escrow.ClaimReply
	if err := b.e.deps.Pool.Call(ctx, n.Addr, "Agent.Claim", &c, &reply); err != nil {
		return
	}
	b.tryPost(func(now time.Time, h *escrow.Holder, fx *escrow.Effects) { h.OnClaim(now, reply, fx) })
}

func (b *budget) recall(id escrow.GrantID) {
	b.post(func(now time.Time, h *escrow.Holder, fx *escrow.Effects) { h.Recall(now, id, fx) })
}

func (b *budget) funded(customer string) {
	b.post(func(now time.Time, h *escrow.Holder, fx *escrow.Effects) { h.Funded(now, customer, fx) })
}

func (b *budget) fenced(id escrow.GrantID) {
	b.post(func(now time.Time, h *escrow.Holder, fx *escrow.Effects) { h.Fenced(now, id, fx) })
}

// abandon drops a reservation whose use can't be determined. The ledger settles its
// grants from the agents' reports.
func (b *budget) abandon(res reservation) {
	b.post(func(now time.Time, h *escrow.Holder, fx *escrow.Effects) { h.Abandon(now, res.id, fx) })
}

// drain returns the grants to the ledger and waits for that, for limit at most.
func (b *budget) drain(limit time.Duration) {
	b.post(func(now time.Time, h *escrow.Holder, fx *escrow.Effects) { h.Drain(now, fx) })
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		done := make(chan bool, 1)
		b.post(func(_ time.Time, h *escrow.Holder, _ *escrow.Effects) { done <- h.Drained() })
		if <-done {
			return
		}
		time.Sleep(holderTick)
	}
}

// reserveLocal reserves tokens at this entry's own holder and waits for the result.
func (b *budget) reserveLocal(ctx context.Context, r escrow.Request) escrow.Result {
	ch := make(chan escrow.Result, 1)
	b.post(func(now time.Time, h *escrow.Holder, fx *escrow.Effects) {
		b.waiting[r.ID] = ch
		h.Reserve(now, r, fx)
	})
	select {
	case result := <-ch:
		return result
	case <-ctx.Done():
		b.releaseLocal(r.ID, 0)
		return escrow.Result{ID: r.ID, Reason: escrow.ReasonUnreachable}
	}
}

func (b *budget) releaseLocal(id string, used escrow.Tokens) {
	b.post(func(now time.Time, h *escrow.Holder, fx *escrow.Effects) {
		delete(b.waiting, id)
		h.Release(now, id, used, fx)
	})
}

// setEntries applies the entries of a membership view. The holder treats an entry that is
// no longer listed as a lost borrower.
func (b *budget) setEntries(nodes []fleet.Node) {
	var ids []fleet.NodeID
	byID := map[fleet.NodeID]fleet.Node{}
	for _, n := range nodes {
		if n.Role != fleet.RoleEntry {
			continue
		}
		byID[n.ID] = n
		if n.Place == b.e.deps.Node.Place && !n.Draining {
			ids = append(ids, n.ID)
		}
	}
	b.mu.Lock()
	before := b.nodes
	b.entries, b.nodes = ids, byID
	b.mu.Unlock()
	for id := range before {
		if _, ok := byID[id]; !ok {
			b.post(func(now time.Time, h *escrow.Holder, fx *escrow.Effects) { h.BorrowerLost(now, id, fx) })
		}
	}
}
