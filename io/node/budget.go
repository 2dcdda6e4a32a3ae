package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/wire"

	"go.uber.org/zap"
)

// Times of the loop that sends statements.
const (
	budgetTick = 25 * time.Millisecond
	// statementTimeout is longer than a busy leader takes to reply to statements of all nodes
	// at once, as after a partition. A leader that does not respond at all is given up
	// earlier (ctrl.Client).
	statementTimeout      = 3 * time.Second
	firstStatementTimeout = 100 * time.Millisecond
	// maxDoublings limits how often firstStatementTimeout is doubled.
	maxDoublings = 5
	// reserveWait is how long a request waits for tokens that the customer has while the
	// control group replies.
	reserveWait = 500 * time.Millisecond
	// beginTick is the time between attempts to begin a request while nothing changes but what has
	// opened.
	beginTick = 50 * time.Millisecond
	// undecidedPause is the pause after a statement that the control group could not apply
	// yet.
	undecidedPause = 100 * time.Millisecond
	// If the latest reply of the control group is older than maxReplyAge, a request waits only for
	// a raise, for a part of its time (isolatedShare), or asks for loans.
	maxReplyAge = 500 * time.Millisecond
)

// maxWitnesses bounds the nodes that record what a holder spends without a reply of the
// control group.
const maxWitnesses = 3

// budgets runs the node's holder of prepaid budgets.
type budgets struct {
	n *Node
	// state and raise wake the loops that ask the control group and the witnesses.
	state, raise chan struct{}

	mu     sync.Mutex
	holder *quota.Holder
	// witness records the raises of other nodes' holders, since startedAt.
	witness   *quota.Witness
	startedAt time.Time
	// keeper is the witness on this node's disk, or nil.
	keeper atomic.Pointer[keeper]
	// recordedAt is when each witness last recorded a raise.
	recordedAt map[fleet.NodeID]time.Time
	// replies counts the replies of the control group.
	replies int
	// lost counts the statements without a reply since the latest reply.
	lost int
	// notBefore is when the next statement may be sent.
	notBefore time.Time
	// unreachableSince is when the control group stopped replying. It is zero while it
	// replies.
	unreachableSince time.Time
	// changed is closed with the next reply of the control group or record of a witness.
	changed chan struct{}
}

func newBudgets(n *Node, id fleet.NodeID) *budgets {
	return &budgets{
		n: n, state: make(chan struct{}, 1), raise: make(chan struct{}, 1), changed: make(chan struct{}),
		recordedAt: map[fleet.NodeID]time.Time{},
		holder:     quota.NewHolder(id, n.self, n.deps.Quota, time.Now()), witness: quota.NewWitness(id), startedAt: time.Now(),
	}
}

// Reserve implements front.Budgets. It waits for tokens that the customer may have at
// other holders. It reports a budget as exhausted only after a reply that is certainly
// newer than the request.
func (b *budgets) Reserve(ctx context.Context, id, customer string, worst quota.Tokens) error {
	isolatedUntil := isolatedWait(ctx)
	ctx, cancel := context.WithTimeout(ctx, reserveWait)
	defer cancel()
	err := b.await(ctx, isolatedUntil, id, customer, worst)
	b.endWait(id, customer, err)
	return err
}

// newerReplies is the number of replies after which one is certainly newer than a request: the
// statement of the first may have been sent before.
const newerReplies = 2

// await reserves tokens, or returns an error once ctx ends or no tokens are left. Without a reply
// for long, it waits until isolatedUntil at most.
func (b *budgets) await(ctx context.Context, isolatedUntil time.Time, id, customer string, worst quota.Tokens) error {
	first := b.replied()
	for {
		next, replies, err := b.tryReserve(id, customer, worst)
		var refused *quota.RefusedError
		if !errors.As(err, &refused) {
			return err
		}
		if refused.Age > maxReplyAge && !refused.Raisable {
			if refused.Reason != quota.Unknown && b.borrow(ctx, customer, worst) {
				_, _, err = b.tryReserve(id, customer, worst)
			}
			return unproven(err)
		}
		if refused.Reason == quota.Exhausted && replies-first >= newerReplies {
			return err
		}
		var isolated <-chan time.Time
		if refused.Age > maxReplyAge {
			isolated = time.After(time.Until(isolatedUntil))
		}
		select {
		case <-ctx.Done():
			return unproven(err)
		case <-isolated:
			return unproven(err)
		case <-next:
		}
	}
}

// unproven returns an error that does not say that a budget is exhausted, since no reply is certainly
// newer than the request.
func unproven(err error) error {
	var refused *quota.RefusedError
	if !errors.As(err, &refused) || refused.Reason != quota.Exhausted {
		return err
	}
	elsewhere := *refused
	elsewhere.Reason = quota.Elsewhere
	return &elsewhere
}

// replied returns the number of replies so far.
func (b *budgets) replied() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replies
}

// isolatedShare is the part of the time that a request may wait, half of its objective, for which it
// waits while the control group does not reply: witnesses may still record a raise, but the caller may be
// served sooner by another node.
const isolatedShare = 1.0 / 4

// isolatedWait returns until when a request waits while the control group does not reply.
func isolatedWait(ctx context.Context) time.Time {
	now := time.Now()
	end, ok := ctx.Deadline()
	if !ok {
		return now
	}
	return now.Add(time.Duration(isolatedShare * float64(end.Sub(now))))
}

// tryReserve tries to reserve once. It returns the number of replies so far, and a channel that is
// closed with the next change.
func (b *budgets) tryReserve(id, customer string, worst quota.Tokens) (next <-chan struct{}, replies int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	err = b.holder.Reserve(time.Now(), id, customer, worst)
	if b.holder.Urgent() {
		wake(b.state)
	}
	if err != nil {
		wake(b.raise)
	}
	return b.changed, b.replies, err
}

// wake makes a loop run again immediately.
func wake(loop chan<- struct{}) {
	select {
	case loop <- struct{}{}:
	default:
	}
}

// notifyChange wakes the requests that wait for tokens. The caller holds the lock.
func (b *budgets) notifyChange() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// endWait ends the wait of a request with the result of its reservation.
func (b *budgets) endWait(id, customer string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var refused *quota.RefusedError
	if errors.As(err, &refused) && refused.Reason != quota.Exhausted {
		b.holder.Miss(time.Now(), id, customer)
		return
	}
	b.holder.GiveUp(id, customer)
}

// Begin implements front.Budgets. It waits until the request may begin, or ctx ends.
func (b *budgets) Begin(ctx context.Context, id, customer string, worst quota.Tokens) error {
	for {
		next, err := b.tryBegin(id, customer, worst)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			b.endWait(id, customer, nil)
			return err
		case <-next:
		case <-time.After(beginTick):
		}
	}
}

func (b *budgets) tryBegin(id, customer string, worst quota.Tokens) (<-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	err := b.holder.Begin(time.Now(), id, customer, worst)
	if b.holder.Urgent() {
		wake(b.state)
	}
	if err != nil {
		wake(b.raise)
	}
	return b.changed, err
}

// Settle implements front.Budgets.
func (b *budgets) Settle(id string, used quota.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder.Settle(time.Now(), id, used)
}

// setCustomers sets the customers with a prepaid amount.
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
		case <-b.state:
		case <-ticker.C:
		}
	}
}

// step sends a statement if one is due.
func (b *budgets) step(ctx context.Context) {
	b.mu.Lock()
	if now := time.Now(); now.Before(b.notBefore) || !b.holder.Due(now) {
		b.mu.Unlock()
		return
	}
	s := b.holder.Statement(time.Now())
	b.mu.Unlock()
	b.send(ctx, s)
}

func (b *budgets) send(ctx context.Context, s quota.Statement) {
	ctx, cancel := context.WithTimeout(ctx, b.timeoutOf(s))
	defer cancel()
	reply, err := ctrl.Call[wire.QuotaReply](ctx, b.n.client, "Control.Quota", &s)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notifyChange()
	switch {
	case err != nil:
		b.lost++
		b.holder.ReplyLost(s.Seq)
		b.logControl(err)
	case reply.Undecided:
		b.holder.ReplyLost(s.Seq)
		b.notBefore = time.Now().Add(undecidedPause)
	case reply.Ended:
		b.n.log.Warn("node: the control group ended this budget holder", zap.String("holder", string(s.Holder)))
		b.holder.Renew(fleet.NewNodeID(fleet.RoleEntry, b.n.deps.Rand))
	default:
		b.lost = 0
		b.replies++
		b.holder.HandleReply(time.Now(), s.Seq, reply.Allowances)
		b.logControl(nil)
	}
}

// timeoutOf returns how long to wait for the reply to a statement. The age of a holder's first
// statement determines what its predecessor is billed, so it must be recent also if the
// connection is still to be opened. It is given more time with each attempt, since the leader
// may be busy with those of all nodes.
func (b *budgets) timeoutOf(s quota.Statement) time.Duration {
	if s.Heard > 0 {
		return statementTimeout
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(firstStatementTimeout<<min(b.lost, maxDoublings), statementTimeout)
}

// logControl logs when the control group stops and resumes replying. The caller holds the
// lock.
func (b *budgets) logControl(err error) {
	now := time.Now()
	switch {
	case err == nil && !b.unreachableSince.IsZero():
		b.n.log.Info("node: the control group answers statements again", zap.Duration("after", now.Sub(b.unreachableSince).Round(time.Millisecond)))
		b.unreachableSince = time.Time{}
	case err != nil && b.unreachableSince.IsZero():
		b.n.log.Warn("node: the control group does not answer a statement", zap.Error(err))
		b.unreachableSince = now
	}
}

// leave gives back all tokens and reports what was recorded for other holders, if the control group can be reached in time.
func (b *budgets) leave(ctx context.Context) {
	b.mu.Lock()
	b.holder.Leave()
	s := b.holder.Statement(time.Now())
	s.Testimony = b.witness.Close()
	b.mu.Unlock()
	b.send(ctx, s)
}

// setWitnesses chooses the witnesses: nodes that are not draining and are not control
// hosts, since a partition between this node and the control group also separates it from
// those. Without witnesses, the holder spends without records, and all that was granted is
// billed if this node crashes during a partition.
func (b *budgets) setWitnesses(alive []fleet.Peer) {
	var ids, keepers []fleet.NodeID
	for _, p := range alive {
		if p.Addr != b.n.self && !p.Disk && !p.Draining {
			ids = append(ids, p.ID)
		}
		if p.Keeper != "" {
			keepers = append(keepers, p.Keeper)
		}
	}
	ids = fleet.Rendezvous(b.n.self.String(), ids)
	slices.Sort(keepers)
	b.mu.Lock()
	defer b.mu.Unlock()
	ids = ids[:min(len(ids), maxWitnesses)]
	b.holder.SetWitnesses(ids, keepers)
	maps.DeleteFunc(b.recordedAt, func(id fleet.NodeID, _ time.Time) bool {
		return !slices.Contains(ids, id) && !slices.Contains(keepers, id)
	})
}
