package node

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// maxDatagram is the maximum size of an update, in bytes.
const maxDatagram = 1400

// updateQueue bounds the updates that wait to be sent.
const updateQueue = 256

// updates sends the front's updates to the other nodes as datagrams. Updates are hints:
// one that is lost, or dropped because the queue is full, costs accuracy only.
type updates struct {
	n     *Node
	conn  *net.UDPConn
	queue chan sched.Update
	peers atomic.Pointer[[]netip.AddrPort]
}

func newUpdates(n *Node) (*updates, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.self))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &updates{n: n, conn: conn, queue: make(chan sched.Update, updateQueue)}, nil
}

// enqueue queues an update, or drops it if the queue is full.
func (c *updates) enqueue(n sched.Update) {
	select {
	case c.queue <- n:
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

// send sends updates until ctx ends.
func (c *updates) send(ctx context.Context) {
	var buf []byte
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-c.queue:
			buf = n.Append(buf[:0])
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

// receive applies updates until the socket is closed.
func (c *updates) receive() {
	buf := make([]byte, maxDatagram)
	for {
		size, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		update, ok := sched.ParseUpdate(buf[:size])
		if !ok {
			c.n.log.Warn("node: received a malformed update", zap.Int("bytes", size))
			continue
		}
		c.n.front.ApplyUpdate(update)
	}
}
