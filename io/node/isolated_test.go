package node

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"

	"github.com/matryer/is"
)

// heldBudgets returns the budgets of a node whose latest reply is as old as given. Nothing may be
// used of what was granted without a raise, and that many tokens of the customer are left.
func heldBudgets(t *testing.T, age time.Duration, unspent quota.Tokens) *budgets {
	t.Helper()
	at := time.Now().Add(-age)
	b := &budgets{state: make(chan struct{}, 1), raise: make(chan struct{}, 1), changed: make(chan struct{})}
	b.holder = quota.NewHolder("entry-1", netip.MustParseAddrPort("127.0.0.1:7000"), quota.DefaultOptions(), at)
	b.holder.SetCustomers(at, []string{"acme"})
	b.holder.SetWitnesses([]fleet.NodeID{"entry-2", "entry-3", "entry-4"}, nil)
	b.reply(at, unspent)
	return b
}

// reply applies a reply of the control group.
func (b *budgets) reply(at time.Time, unspent quota.Tokens) {
	s := b.holder.Statement(at)
	b.replies++
	b.holder.HandleReply(at, s.Seq, []quota.Allowance{{Customer: "acme", Granted: unspent, Mark: unspent, Unspent: unspent}})
	b.notifyChange()
}

// refusal reserves tokens for a request that may wait for a time, and returns why it was refused and
// after how long.
func refusal(t *testing.T, b *budgets, most time.Duration) (quota.Reason, time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), most)
	defer cancel()
	began := time.Now()
	err := b.Reserve(ctx, "r1", "acme", 1000)
	took := time.Since(began)
	var refused *quota.RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("not refused: %v", err)
	}
	return refused.Reason, took
}

// Guards against a request that waits for its whole time for a raise while the control group does
// not reply.
func TestWaitWhileIsolated(t *testing.T) {
	is := is.New(t)
	reason, took := refusal(t, heldBudgets(t, 1500*time.Millisecond, 10_000), 400*time.Millisecond)
	is.Equal(reason, quota.Elsewhere)
	is.True(took >= 100*time.Millisecond)
	is.True(took < 390*time.Millisecond) // a quarter of 0.4 s, and time for a busy machine
}

// Guards against a budget that is reported as exhausted without a reply that is certainly newer than
// the request: if none comes, or if other changes wake the request.
func TestExhaustedNeedsNewerReplies(t *testing.T) {
	for name, c := range map[string]struct {
		change func(b *budgets)
		want   quota.Reason
	}{
		"no reply":      {func(*budgets) {}, quota.Elsewhere},
		"lost replies":  {func(b *budgets) { b.notifyChange() }, quota.Elsewhere},
		"newer replies": {func(b *budgets) { b.reply(time.Now(), 10) }, quota.Exhausted},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := heldBudgets(t, 0, 10)
			done := make(chan struct{})
			defer close(done)
			go func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(5 * time.Millisecond):
						b.mu.Lock()
						c.change(b)
						b.mu.Unlock()
					}
				}
			}()
			reason, _ := refusal(t, b, 400*time.Millisecond)
			is.Equal(reason, c.want)
		})
	}
}
