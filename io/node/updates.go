package node

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"dotterelgap/core/fleet"
	"dotterelgap/core/poison"
	"dotterelgap/core/sched"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// maxDatagram is the maximum size of an update, in bytes.
const maxDatagram = 1400

// updateQueue bounds the updates that wait to be sent.
const updateQueue = 256

// message is what nodes send each other as a datagram.
type message interface {
	Append(b []byte) []byte
}

// updates sends the front's updates and reports to the other nodes as datagrams. They are
// hints: one that is lost, or dropped because the queue is full, costs accuracy only.
type updates struct {
	n     *Node
	conn  *net.UDPConn
	queue chan message
	peers atomic.Pointer[[]netip.AddrPort]
}

func newUpdates(n *Node) (*updates, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.self))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &updates{n: n, conn: conn, queue: make(chan message, updateQueue)}, nil
}

// enqueue queues a message, or drops it if the queue is full.
func (c *updates) enqueue(m message) {
	select {
	case c.queue <- m:
	default:
	}
}

func (c *updates) setPeers(alive []fleet.Peer) {
	var peers []netip.AddrPort
	for _, p := range alive {
		if p.Addr != c.n.self {
			peers = append(peers, p.Addr)
		}
	}
	c.peers.Store(&peers)
}

// send sends messages until ctx ends.
func (c *updates) send(ctx context.Context) {
	var buf []byte
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.queue:
			buf = m.Append(buf[:0])
		}
		peers := c.peers.Load()
		if peers == nil || len(buf) > maxDatagram {
			continue
		}
		for _, p := range *peers {
			// Errors are ignored, since updates are hints.
			_, _ = c.conn.WriteToUDPAddrPort(buf, p)
		}
	}
}

// receive applies messages until the socket is closed.
func (c *updates) receive() {
	buf := make([]byte, maxDatagram)
	for {
		size, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if !c.apply(buf[:size]) {
			c.n.log.Warn("node: received a malformed update", zap.Int("bytes", size))
		}
	}
}

// apply applies a message and reports whether it was well formed.
func (c *updates) apply(b []byte) bool {
	if u, ok := sched.ParseUpdate(b); ok {
		c.n.front.ApplyUpdate(u)
		return true
	}
	if r, ok := poison.ParseReport(b); ok {
		c.n.front.ApplyReport(r)
		return true
	}
	return false
}
