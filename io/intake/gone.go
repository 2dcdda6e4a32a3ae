package intake

import (
	"context"
	"syscall"
)

// connKey is the key of a connection's context under which the connection is found.
type connKey struct{}

// Gone reports whether the client of a request has closed its connection, or this process has. It asks the
// system, and so does not wait for the goroutine of net/http that reads on, which is late in a
// process that is overrun. Bytes that the client sent before it left, and that were not read yet, hide
// that it has.
func Gone(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.gone()
}

func (c *conn) gone() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == syscall.ECONNRESET || err == syscall.EPIPE
	})
	return closed || err != nil
}
