package wire

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serveSilently accepts connections and never reads from them after the handshake.
func serveSilently(t *testing.T) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var accepted sync.WaitGroup
	done := make(chan struct{})
	accepted.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Go(func() {
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, "HTTP/1.0 200 Connected to Go RPC\n\n")
				<-done
			})
		}
	})
	t.Cleanup(func() {
		close(done)
		_ = ln.Close()
		accepted.Wait()
	})
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against a peer that does not read and blocks all callers that want to call it, whatever their
// timeouts.
func TestPeerThatDoesNotReadBlocksNobody(t *testing.T) {
	is := is.New(t)
	addr := serveSilently(t)
	p := NewPool(nil)
	defer func() { _ = p.Close() }()
	large := make([]byte, 32<<20) // more than the buffers of a connection hold
	var callers sync.WaitGroup
	began := time.Now()
	for range 4 {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			if p.Call(ctx, addr, "Busy.Work", &large, &Empty{}) == nil {
				t.Error("got a reply")
			}
		})
	}
	callers.Wait()
	is.True(time.Since(began) < 4*(responseTimeout+time.Second))
}
