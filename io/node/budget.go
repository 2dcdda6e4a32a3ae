package node

import (
	"context"
	"errors"
	"net/netip"
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
	budgetTick         = 25 * time.Millisecond
	statementTime      = 300 * time.Millisecond
	firstStatementTime = 100 * time.Millisecond
	// reserveWait is how long a request waits for tokens that the customer has,
	// while the control group answers.
	reserveWait = 250 * time.Millisecond
	// answerAge is the age of the latest answer from which on no other is expected.
	answerAge = 500 * time.Millisecond
	// loanTimeout bounds asking one node for a loan, loanTries how many are asked.
	loanTimeout = 50 * time.Millisecond
	loanTries   = 6
	// entryTimeout and entryPause bound asking the witnesses.
	entryTimeout = 300 * time.Millisecond
	entryPause   = 100 * time.Millisecond
)

// maxWitnesses bounds the nodes that must all know of the reserve's use.
const maxWitnesses = 3

// budgets drives the node's holder of prepaid budgets.
type budgets struct {
	n    *Node
	kick chan struct{}

	mu     sync.Mutex
	holder *quota.Holder
	// witness knows of other nodes' holders.
	witness *quota.Witness
	entryAt time.Time
	// answered is closed with the next answer.
	answered chan struct{}
}

func newBudgets(n *Node, id fleet.NodeID) *budgets {
	return &budgets{
		n: n, kick: make(chan struct{}, 1), answered: make(chan struct{}),
		holder: quota.NewHolder(id, n.self, n.deps.Quota, time.Now()), witness: quota.NewWitness(id),
	}
}

// Reserve implements front.Budgets. What the customer may have elsewhere is
// waited for, and nothing is called exhausted by an answer that may be older
// than the request.
func (b *budgets) Reserve(ctx context.Context, id, customer string, worst quota.Tokens) error {
	ctx, cancel := context.WithTimeout(ctx, reserveWait)
	defer cancel()
	defer b.giveUp(id, customer)
	for answers := 0; ; answers++ {
		next, err := b.tryReserve(id, customer, worst)
		var refused *quota.RefusedError
		if !errors.As(err, &refused) {
			return err
		}
		if refused.Age > answerAge {
			if refused.Reason != quota.Unknown && b.borrow(ctx, customer, worst) {
				_, err = b.tryReserve(id, customer, worst)
			}
			return err
		}
		if refused.Reason == quota.Exhausted && answers >= 2 {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-next:
		}
	}
}

// tryReserve also returns a channel that is closed with the next answer.
func (b *budgets) tryReserve(id, customer string, worst quota.Tokens) (<-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	err := b.holder.Reserve(time.Now(), id, customer, worst)
	if b.holder.Short() {
		select {
		case b.kick <- struct{}{}:
		default:
		}
	}
	return b.answered, err
}

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
	b.mu.Lock()
	defer b.mu.Unlock()
	*amount = b.holder.Lend(time.Now(), *args)
	return nil
}

func (b *budgets) giveUp(id, customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder.GiveUp(id, customer)
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
		case <-b.kick:
		case <-ticker.C:
		}
	}
}

// step sends a statement if one is due, or asks for witnesses.
func (b *budgets) step(ctx context.Context) {
	b.enter(ctx)
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
	limit := statementTime
	if s.Heard == 0 {
		// Its age decides what is billed of an earlier holder, so it must be fresh.
		limit = firstStatementTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := ctrl.Call[wire.QuotaReply](ctx, b.n.client, "Control.Quota", &s)
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.answered)
	b.answered = make(chan struct{})
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

// setWitnesses chooses the witnesses of the reserve: nodes that stay and are no
// control hosts, since a cut that parts this node from control parts it from
// those. If there is none, the reserve needs nobody's word, and is billed whole if
// this node dies.
func (b *budgets) setWitnesses(alive []fleet.Peer) {
	var ids []fleet.NodeID
	for _, p := range alive {
		if p.Addr != b.n.self && !p.Disk && !p.Draining {
			ids = append(ids, p.ID)
		}
	}
	ids = fleet.Rendezvous(b.n.self.String(), ids)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder.SetWitnesses(ids[:min(len(ids), maxWitnesses)])
}

// enter asks the witnesses to record that the reserve is to be used.
func (b *budgets) enter(ctx context.Context) {
	b.mu.Lock()
	e, ids, wanted := b.holder.Entry(time.Now())
	due := time.Since(b.entryAt) >= entryPause
	if wanted && due {
		b.entryAt = time.Now()
	}
	b.mu.Unlock()
	if !wanted || !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	acks := make(chan bool, len(ids))
	for _, id := range ids {
		go func() {
			e := e
			e.Witness = id
			var ok bool
			err := b.n.deps.Pool.Call(ctx, b.n.addrOf(id), "Node.Enter", &e, &ok)
			acks <- err == nil && ok
		}()
	}
	n := 0
	for range ids {
		if <-acks {
			n++
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	opened := b.holder.Witnessed(time.Now(), e, n)
	b.n.log.Info("node: no answer on budgets, asked the witnesses of the reserve", zap.Int("witnesses", len(ids)),
		zap.Int("recorded", n), zap.Bool("opened", opened))
}

// Enter records that a holder is about to use its reserve.
func (s *Service) Enter(args *quota.Entry, ok *bool) error {
	b := s.n.budgets
	b.mu.Lock()
	defer b.mu.Unlock()
	*ok = b.witness.Enter(*args)
	return nil
}

// Fence refuses entries of a holder that has ended, and tells about earlier ones.
func (s *Service) Fence(args *wire.FenceArgs, reply *quota.Testimony) error {
	b := s.n.budgets
	b.mu.Lock()
	defer b.mu.Unlock()
	*reply = b.witness.Fence(args.Witness, args.Holder)
	return nil
}
