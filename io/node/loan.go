package node

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/quota"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Bounds of loans between nodes.
const (
	// loanTimeout bounds a request to one node. loanBatch nodes are asked concurrently,
	// in up to loanBatches batches.
	loanTimeout = 80 * time.Millisecond
	loanBatch   = 5
	loanBatches = 3
	// lendWait is how long a lender waits for its witnesses.
	lendWait = 40 * time.Millisecond
)

// borrow asks other nodes for tokens while the control group does not reply, and reports
// whether it has enough for a request. One node's loan is often too small for a long
// prompt, so it asks several nodes concurrently.
func (b *budgets) borrow(ctx context.Context, customer string, worst quota.Tokens) bool {
	for batch := range slices.Chunk(b.n.lenders(loanBatch*loanBatches), loanBatch) {
		r, wanted := b.loanWanted(customer, worst)
		if !wanted {
			return true
		}
		var g errgroup.Group
		for _, addr := range batch {
			g.Go(func() error {
				b.askForLoan(ctx, addr, r)
				return nil
			})
		}
		_ = g.Wait()
	}
	_, wanted := b.loanWanted(customer, worst)
	return !wanted
}

func (b *budgets) loanWanted(customer string, worst quota.Tokens) (quota.LoanRequest, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.LoanWanted(time.Now(), customer, worst)
}

// askForLoan asks one node for a loan.
func (b *budgets) askForLoan(ctx context.Context, addr netip.AddrPort, r quota.LoanRequest) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	var amount quota.Tokens
	if err := b.n.deps.Pool.Call(ctx, addr, "Node.Lend", &r, &amount); err != nil || amount == 0 {
		return
	}
	b.mu.Lock()
	b.holder.AddLoan(r.Customer, amount)
	b.mu.Unlock()
	b.n.log.Info("node: tokens were borrowed", zap.String("customer", r.Customer), zap.Int64("tokens", int64(amount)),
		zap.Stringer("from", addr))
}

// Lend lends tokens to another node.
func (s *Service) Lend(args *quota.LoanRequest, amount *quota.Tokens) error {
	b := s.n.budgets
	var recorded <-chan struct{}
	if *amount, recorded = b.lend(*args); *amount > 0 || recorded == nil {
		return nil
	}
	t := time.NewTimer(lendWait)
	defer t.Stop()
	select {
	case <-recorded:
		*amount, _ = b.lend(*args)
	case <-t.C:
	}
	return nil
}

// lend lends tokens. If it can lend more once the witnesses have recorded it, it also
// returns a channel that is closed with the next change.
func (b *budgets) lend(r quota.LoanRequest) (quota.Tokens, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	amount, more := b.holder.Lend(time.Now(), r)
	if !more {
		return amount, nil
	}
	wake(b.raise)
	return amount, b.changed
}
