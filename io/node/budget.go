package node

import (
	"context"
	"sync"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/wire"

	"go.uber.org/zap"
)

// Times of the budgets' loop.
const (
	budgetTick    = 25 * time.Millisecond
	statementTime = time.Second
)

// budgets drives the node's holder of prepaid budgets.
type budgets struct {
	n *Node

	mu     sync.Mutex
	holder *quota.Holder
}

func newBudgets(n *Node, id fleet.NodeID) *budgets {
	return &budgets{n: n, holder: quota.NewHolder(id, n.self, n.deps.Quota, time.Now())}
}

// Reserve implements front.Budgets.
func (b *budgets) Reserve(id, customer string, worst quota.Tokens) quota.Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.Reserve(time.Now(), id, customer, worst)
}

// Settle implements front.Budgets.
func (b *budgets) Settle(id string, used quota.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder.Settle(time.Now(), id, used)
}

// setCustomers names the customers with a prepaid amount.
func (b *budgets) setCustomers(prepaid map[string]int64) {
	names := make([]string, 0, len(prepaid))
	for c := range prepaid {
		names = append(names, c)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder.SetCustomers(time.Now(), names)
}

func (b *budgets) run(ctx context.Context) {
	ticker := time.NewTicker(budgetTick)
	defer ticker.Stop()
	for {
		b.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step sends a statement if one is due.
func (b *budgets) step(ctx context.Context) {
	b.mu.Lock()
	if !b.holder.Due(time.Now()) {
		b.mu.Unlock()
		return
	}
	s := b.holder.Statement(time.Now())
	b.mu.Unlock()
	b.send(ctx, s)
}

func (b *budgets) send(ctx context.Context, s quota.Statement) {
	ctx, cancel := context.WithTimeout(ctx, statementTime)
	defer cancel()
	reply, err := ctrl.Call[wire.QuotaReply](ctx, b.n.client, "Control.Quota", &s)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err != nil:
		b.holder.Lost(s.Seq)
	case reply.Ended:
		b.n.log.Warn("node: the control group has ended this holder of budgets", zap.String("holder", string(s.Holder)))
		b.holder.Renew(fleet.NewNodeID(fleet.RoleEntry, b.n.deps.Rand))
	default:
		b.holder.Answered(time.Now(), s.Seq, reply.Allowances)
	}
}

// leave gives everything back, if the control group can be reached in time.
func (b *budgets) leave(ctx context.Context) {
	b.mu.Lock()
	b.holder.Leave()
	s := b.holder.Statement(time.Now())
	b.mu.Unlock()
	b.send(ctx, s)
}
