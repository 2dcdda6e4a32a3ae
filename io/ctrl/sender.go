package ctrl

import (
	"context"
	"net/netip"
	"time"

	"dotterelgap/core/raft"
	"dotterelgap/io/wire"
)

// Limits of sending to one member.
const (
	sendQueue       = 256
	sendTimeout     = 2 * time.Second
	snapshotTimeout = 60 * time.Second
)

// sender delivers messages to one member in order. It drops messages while its queue is
// full, since the log machine resends them.
type sender struct {
	self   netip.AddrPort
	addr   netip.AddrPort
	queue  chan raft.Message
	cancel context.CancelFunc
}

func (h *Host) startSender(addr netip.AddrPort) *sender {
	ctx, cancel := context.WithCancel(context.Background())
	s := &sender{self: h.deps.Addr, addr: addr, queue: make(chan raft.Message, sendQueue), cancel: cancel}
	h.wg.Go(func() { s.run(ctx, h.deps.Pool) })
	return s
}

func (s *sender) run(ctx context.Context, pool *wire.Pool) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-s.queue:
			s.deliver(ctx, pool, msg)
		}
	}
}

func (s *sender) deliver(ctx context.Context, pool *wire.Pool, msg raft.Message) {
	limit := sendTimeout
	if msg.Kind == raft.KindSnapshot {
		limit = snapshotTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	// The error is ignored because the log machine resends lost messages.
	_ = pool.Call(ctx, s.addr, "Control.Raft", &RaftArgs{Addr: s.self, Message: msg}, &wire.Empty{})
}

func (h *Host) send(msgs []raft.Message) {
	members := h.machine.Status().Members
	for _, msg := range msgs {
		addr := h.peerAddrs[msg.To]
		if mem, ok := members.Find(msg.To); ok {
			addr = mem.Addr
		}
		if !addr.IsValid() {
			continue
		}
		select {
		case h.senderTo(msg.To, addr).queue <- msg:
		default:
		}
	}
}

func (h *Host) senderTo(id raft.MemberID, addr netip.AddrPort) *sender {
	s := h.senders[id]
	if s != nil && s.addr == addr {
		return s
	}
	if s != nil {
		s.cancel()
	}
	s = h.startSender(addr)
	h.senders[id] = s
	return s
}

func (h *Host) stopSenders() {
	for _, s := range h.senders {
		s.cancel()
	}
}
