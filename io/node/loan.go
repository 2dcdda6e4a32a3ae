package node

import (
	"context"
	"net/netip"
	"time"

	"dotterelgap/core/quota"

	"go.uber.org/zap"
)

// Bounds of loans between nodes.
const (
	// loanTimeout bounds asking one node, loanTries how many are asked.
	loanTimeout = 80 * time.Millisecond
	loanTries   = 6
	// lendWait is how long a lender waits for its witnesses.
	lendWait = 40 * time.Millisecond
)

// borrow asks other nodes for tokens while control does not answer, and tells
// whether it has enough for a request.
func (b *budgets) borrow(ctx context.Context, customer string, worst quota.Tokens) bool {
	for _, addr := range b.n.lenders(loanTries) {
		b.mu.Lock()
		r, wanted := b.holder.LoanWanted(customer, worst)
		b.mu.Unlock()
		if !wanted {
			return true
		}
		b.ask(ctx, addr, r)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, wanted := b.holder.LoanWanted(customer, worst)
	return !wanted
}

// ask asks one node for a loan.
func (b *budgets) ask(ctx context.Context, addr netip.AddrPort, r quota.LoanRequest) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	var amount quota.Tokens
	if err := b.n.deps.Pool.Call(ctx, addr, "Node.Lend", &r, &amount); err != nil || amount == 0 {
		return
	}
	b.mu.Lock()
	b.holder.Borrowed(r.Customer, amount)
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

// lend also returns a channel that is closed with the next change, if there is
// more to lend once the witnesses have recorded it.
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
