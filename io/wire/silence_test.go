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

// Busy answers after a while.
type Busy struct{ takes time.Duration }

// Work waits.
func (b *Busy) Work(_ *Empty, _ *Empty) error {
	time.Sleep(b.takes)
	return nil
}

// serveBusy starts a server whose calls take a time, and returns its address and the
// count of its connections.
func serveBusy(t *testing.T, takes time.Duration) (netip.AddrPort, *countingListener) {
	is := is.New(t)
	s, err := Listen(Params{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Log: zap.NewNop()})
	is.NoErr(err)
	counted := &countingListener{Listener: s.ln}
	s.ln = counted
	is.NoErr(s.Register("Busy", &Busy{takes: takes}))
	s.Serve()
	t.Cleanup(func() { _ = s.Close(context.Background()) })
	return s.Addr(), counted
}

// callFor calls the busy server for a time and gives up then.
func callFor(t *testing.T, p *Pool, addr netip.AddrPort, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return p.Call(ctx, addr, "Busy.Work", &Empty{}, &Empty{})
}

// Callers that give up early don't cost a busy process a new connection each, which
// would make it busier still: all processes were killed at once, and the leader of the
// control group did not come to answer one of 16 holders for the rest of the day.
func TestBusyProcessKeepsItsConnections(t *testing.T) {
	is := is.New(t)
	addr, counted := serveBusy(t, maxSilence/5)
	p := NewPool(nil)
	defer func() { is.NoErr(p.Close()) }()
	is.NoErr(callFor(t, p, addr, 10*time.Second))
	for range 20 {
		is.True(callFor(t, p, addr, maxSilence/10) != nil)
	}
	is.NoErr(callFor(t, p, addr, 10*time.Second))
	is.Equal(counted.accepted.Load(), int64(1))
}

// A connection that has been silent for long is replaced, also where each caller waits
// for a short time only.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	addr, counted := serveBusy(t, time.Hour)
	p := NewPool(nil)
	defer func() { is.NoErr(p.Close()) }()
	for began := time.Now(); counted.accepted.Load() < 2; {
		is.True(time.Since(began) < 20*maxSilence)
		is.True(callFor(t, p, addr, maxSilence/10) != nil)
	}
}
