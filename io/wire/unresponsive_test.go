package wire

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// Busy is a net/rpc service that replies after a delay.
type Busy struct{ delay time.Duration }

// Work replies after the delay.
func (b *Busy) Work(_ *Empty, _ *Empty) error {
	time.Sleep(b.delay)
	return nil
}

// serveBusy starts a server that replies after a delay. It returns the server's address
// and its listener.
func serveBusy(t *testing.T, delay time.Duration) (netip.AddrPort, *countingListener) {
	is := is.New(t)
	s, err := Listen(Params{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Log: zap.NewNop()})
	is.NoErr(err)
	counted := &countingListener{Listener: s.ln}
	s.ln = counted
	is.NoErr(s.Register("Busy", &Busy{delay: delay}))
	s.Serve()
	t.Cleanup(func() { _ = s.Close(context.Background()) })
	return s.Addr(), counted
}

// callWithTimeout calls the busy server and gives up after the timeout.
func callWithTimeout(t *testing.T, p *Pool, addr netip.AddrPort, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return p.Call(ctx, addr, "Busy.Work", &Empty{}, &Empty{})
}

// Callers that give up early keep the connection to a busy process. Replacing it each time
// makes the process even busier: after a kill of all processes, the leader of the control
// group did not reply to one of 16 holders for the rest of the day.
func TestBusyProcessKeepsItsConnections(t *testing.T) {
	is := is.New(t)
	addr, counted := serveBusy(t, responseTimeout/5)
	p := NewPool(nil)
	defer func() { is.NoErr(p.Close()) }()
	is.NoErr(callWithTimeout(t, p, addr, 10*time.Second))
	for range 20 {
		is.True(callWithTimeout(t, p, addr, responseTimeout/10) != nil)
	}
	is.NoErr(callWithTimeout(t, p, addr, 10*time.Second))
	is.Equal(counted.accepted.Load(), int64(1))
}

// A connection on which nothing arrives for responseTimeout is replaced, even if each call
// waits for a shorter time.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	addr, counted := serveBusy(t, time.Hour)
	p := NewPool(nil)
	defer func() { is.NoErr(p.Close()) }()
	for start := time.Now(); counted.accepted.Load() < 2; {
		is.True(time.Since(start) < 20*responseTimeout)
		is.True(callWithTimeout(t, p, addr, responseTimeout/10) != nil)
	}
}
