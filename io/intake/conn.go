package intake

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"dotterelgap/core/upload"
)

const (
	// headSlack is what a connection may have read beyond a head, in bytes: the buffer of net/http.
	headSlack = 4 << 10
	// headCost is the memory that one byte of a head takes at most, in bytes: short fields need a
	// map's entry each.
	headCost = 16
)

// conn is a connection of a client. It bounds the heads of requests in bytes and time, whatever they
// consist of.
type conn struct {
	net.Conn
	cs *Conns

	// forgotten is set once the connection is not counted any more. Conns guards it.
	forgotten bool

	mu sync.Mutex
	// inHead is set while no request is in progress.
	inHead bool
	// waiting is set until the first byte after a request.
	waiting bool
	// read is the number of bytes of the head that have been read.
	read int
	// id is that of the head at the gate; 0 if there is none.
	id upload.ID
}

func newConn(c net.Conn, cs *Conns) *conn { return &conn{Conn: c, cs: cs, inHead: true} }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if status, cause := c.countHead(n); cause != nil {
		_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: cause}
	}
	return n, err
}

// countHead counts bytes that were read and returns an error, and the response to the client, if a
// head is over the limit or finds no memory.
func (c *conn) countHead(n int) (status string, cause error) {
	c.mu.Lock()
	if !c.inHead {
		c.mu.Unlock()
		return "", nil
	}
	c.waiting = false
	c.read += n
	read := c.read
	if c.id == 0 {
		c.id = c.cs.gate.open(func() { _ = c.Conn.Close() })
	}
	id := c.id
	c.mu.Unlock()
	limit, _, _ := c.cs.limits.Head()
	if read > limit+headSlack {
		c.cs.gate.metrics.end(endedTooLong)
		return "431 Request Header Fields Too Large", errHeadTooLong
	}
	if !c.cs.gate.reserve(id, int64(read)*headCost, time.Now().Add(waitLimit)) {
		return "503 Service Unavailable\r\nRetry-After: 1", errHeadYields
	}
	c.cs.gate.progress(id)
	return "", nil
}

// onState follows the requests of the connection.
func (c *conn) onState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		c.inHead = false
		c.completeHead()
	case http.StateIdle:
		c.inHead, c.waiting, c.read = true, true, 0
		c.release()
	case http.StateClosed, http.StateHijacked:
		c.release()
	}
}

// completeHead lets only long heads hold their memory during the request; short ones are within what
// the process needs for each request anyhow. The caller holds the lock.
func (c *conn) completeHead() {
	if c.read <= headSlack {
		c.release()
		return
	}
	c.cs.gate.complete(c.id)
}

// release frees the memory of a head. The caller holds the lock.
func (c *conn) release() {
	if c.id != 0 {
		c.cs.gate.release(c.id)
		c.id = 0
	}
}

// SetReadDeadline implements net.Conn. While no request is in progress, the deadline is that of the
// limits, which change with the policy; those of the server are the same for all policies.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if c.inHead {
		_, timeout, idle := c.cs.limits.Head()
		switch {
		case t.IsZero():
			c.waiting = false
		case c.waiting:
			t = time.Now().Add(idle)
		case t.After(time.Now()):
			t = time.Now().Add(timeout)
		}
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the write side, so that a client can read a response before the connection is
// closed.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// SetWriteBuffer bounds what the kernel holds for the connection, in bytes, if it can.
func (c *conn) SetWriteBuffer(bytes int) error {
	if b, ok := c.Conn.(interface{ SetWriteBuffer(int) error }); ok {
		return b.SetWriteBuffer(bytes)
	}
	return nil
}
