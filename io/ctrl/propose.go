package ctrl

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"dotterelgap/core/raft"
	"dotterelgap/core/state"
	"dotterelgap/io/wire"
)

// requestTimeout bounds the handling of one request on a control host.
const requestTimeout = 3 * time.Second

// hint returns the hint for replies: whether this host is not the leader and, if so,
// the leader's address. The address is omitted if the leader has not made contact
// recently: it may have failed, or this host may have been removed from the group. It
// must run on the loop.
func (h *Host) hint() wire.Hint {
	s := h.machine.Status()
	if s.Role == raft.Leader {
		return wire.Hint{}
	}
	hint := wire.Hint{NotLeader: true}
	if m, ok := s.Members.Find(s.Leader); ok && h.hasRecentLeader(s) {
		hint.Leader = m.Addr
	}
	return hint
}

// hasRecentLeader reports whether a leader made contact within twice the default
// election timeout.
func (h *Host) hasRecentLeader(s raft.Status) bool {
	return s.Leader != 0 && time.Since(s.LastContact) < 2*raft.DefaultElectionTimeout
}

// HasLeader reports whether this host is the leader or is in contact with one. A host
// without a leader may have been removed from the group.
func (h *Host) HasLeader() bool {
	has := false
	h.onLoop(func(time.Time) {
		s := h.machine.Status()
		has = s.Role == raft.Leader || h.hasRecentLeader(s)
	})
	return has
}

// propose appends a command to the leader's log. done, if not nil, receives the
// command's outcome. It must run on the loop.
func (h *Host) propose(now time.Time, c state.Command, done chan outcome) {
	c.At, c.Term, c.By = h.logTime(), h.machine.HardState().Term, uint64(h.deps.Identity.Member)
	data, err := state.Encode(c)
	if err != nil {
		h.log.Error("control: failed to encode a command")
		replyLost(done)
		return
	}
	index, term, err := h.machine.Propose(now, data)
	if err != nil {
		replyLost(done)
		return
	}
	if done != nil {
		h.waiters[index] = waiter{term: term, done: done}
	}
}

func replyLost(done chan outcome) {
	if done != nil {
		done <- outcome{lost: true}
	}
}

// commit proposes a command and waits for its outcome. If this host is not the leader
// or lost the leadership meanwhile, the hint has NotLeader set and, if known, the address
// of the leader.
func (h *Host) commit(c state.Command) (state.Result, wire.Hint) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	done := make(chan outcome, 1)
	hints := make(chan wire.Hint, 1)
	err := h.post(ctx, func(now time.Time) {
		hint := h.hint()
		hints <- hint
		if !hint.NotLeader {
			h.propose(now, c, done)
		}
	})
	if err != nil {
		return state.Result{}, wire.Hint{NotLeader: true}
	}
	select {
	case <-ctx.Done():
		return state.Result{}, wire.Hint{NotLeader: true}
	case <-h.done:
		return state.Result{}, wire.Hint{NotLeader: true}
	case hint := <-hints:
		if hint.NotLeader {
			return state.Result{}, hint
		}
	}
	select {
	case <-ctx.Done():
		return state.Result{}, wire.Hint{NotLeader: true}
	case <-h.done:
		return state.Result{}, wire.Hint{NotLeader: true}
	case o := <-done:
		return o.res, wire.Hint{NotLeader: o.lost}
	}
}

// confirmLeadership waits until a quorum has confirmed that this host is the leader.
func (h *Host) confirmLeadership() wire.Hint {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	done := make(chan bool, 1)
	hints := make(chan wire.Hint, 1)
	err := h.post(ctx, func(now time.Time) {
		h.nextRead++
		if err := h.machine.Read(now, h.nextRead); err != nil {
			hint := h.hint()
			hint.NotLeader = true
			hints <- hint
			return
		}
		h.reads[h.nextRead] = done
	})
	if err != nil {
		return wire.Hint{NotLeader: true}
	}
	select {
	case <-ctx.Done():
		return wire.Hint{NotLeader: true}
	case <-h.done:
		return wire.Hint{NotLeader: true}
	case hint := <-hints:
		return hint
	case ok := <-done:
		return wire.Hint{NotLeader: !ok}
	}
}

// onLoop runs f on the loop and waits for it. It returns false if f did not run: it has not begun
// within requestTimeout, or the host is closed. The caller may use what f writes in either case.
func (h *Host) onLoop(f func(now time.Time)) bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	// claimed is set by the first of f and of the caller that gives up.
	var claimed atomic.Bool
	done := make(chan struct{})
	err := h.post(ctx, func(now time.Time) {
		if claimed.CompareAndSwap(false, true) {
			f(now)
			close(done)
		}
	})
	if err != nil {
		return false
	}
	select {
	case <-ctx.Done():
	case <-h.done:
	case <-done:
		return true
	}
	if claimed.CompareAndSwap(false, true) {
		return false
	}
	<-done // f runs at this moment
	return true
}

func (h *Host) memberAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range h.machine.Status().Members.Members {
		out = append(out, m.Addr)
	}
	return out
}
