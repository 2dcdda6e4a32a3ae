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

// serve starts a server with one service. It returns the server's address and its
// listener.
func serve(t *testing.T, name string, service any) (netip.AddrPort, *countingListener) {
	is := is.New(t)
	s, err := Listen(Params{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Log: zap.NewNop()})
	is.NoErr(err)
	counted := &countingListener{Listener: s.ln}
	s.ln = counted
	is.NoErr(s.Register(name, service))
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

// Gated is a net/rpc service that replies when the test allows it.
type Gated struct{ arrived, reply chan struct{} }

// Work waits for the test.
func (g *Gated) Work(_ *Empty, _ *Empty) error {
	g.arrived <- struct{}{}
	<-g.reply
	return nil
}

// awaitRead waits until the connection to an address was read at the given time of the
// pool's clock.
func awaitRead(t *testing.T, p *Pool, addr netip.AddrPort, at time.Duration) {
	t.Helper()
	c, err := p.client(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	for limit := time.Now().Add(30 * time.Second); time.Duration(c.conn.lastRead.Load()) < at; {
		if time.Now().After(limit) {
			t.Fatalf("nothing was read by %s", at)
		}
		time.Sleep(time.Millisecond)
	}
}

// Callers that give up early keep the connection to a busy process. Replacing it each time
// makes the process even busier: after a kill of all processes, the leader of the control
// group did not reply to one of 16 holders for the rest of the day.
func TestBusyProcessKeepsItsConnections(t *testing.T) {
	is := is.New(t)
	g := &Gated{arrived: make(chan struct{}), reply: make(chan struct{})}
	addr, counted := serve(t, "Gated", g)
	p := NewPool(nil)
	var clock atomic.Int64
	p.clock = func() time.Duration { return time.Duration(clock.Load()) }
	defer func() { is.NoErr(p.Close()) }()
	call := func(ctx context.Context) <-chan error {
		result := make(chan error, 1)
		go func() { result <- p.Call(ctx, addr, "Gated.Work", &Empty{}, &Empty{}) }()
		<-g.arrived
		clock.Add(int64(responseTimeout / 10))
		return result
	}
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		result := call(ctx)
		cancel()
		is.True(<-result != nil) // the caller gives up before the reply
		at := time.Duration(clock.Add(int64(responseTimeout / 10)))
		g.reply <- struct{}{}
		awaitRead(t, p, addr, at)
	}
	result := call(t.Context())
	g.reply <- struct{}{}
	is.NoErr(<-result)
	is.Equal(counted.accepted.Load(), int64(1))
}

// A connection on which nothing arrives for responseTimeout is replaced, even if each call
// waits for a shorter time.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	addr, counted := serve(t, "Busy", &Busy{delay: time.Hour})
	p := NewPool(nil)
	defer func() { is.NoErr(p.Close()) }()
	for start := time.Now(); counted.accepted.Load() < 2; {
		is.True(time.Since(start) < 20*responseTimeout)
		is.True(callWithTimeout(t, p, addr, responseTimeout/10) != nil)
	}
}
