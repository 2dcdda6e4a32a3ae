package wire

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// Pool keeps one net/rpc connection per address.
type Pool struct {
	tls *tls.Config
	// clock returns the time since a fixed moment, on the monotonic clock.
	clock func() time.Duration

	mu      sync.Mutex
	clients map[netip.AddrPort]*lazyClient
	closed  bool
}

// lazyClient is the connection to one address, or the attempt to open it.
type lazyClient struct {
	mu      sync.Mutex
	client  *client
	pending *pendingDial
}

// pendingDial is an attempt to connect, shared by all calls that wait for it. done is
// closed once client or err is set.
type pendingDial struct {
	done   chan struct{}
	client *client
	err    error
}

// client is a net/rpc client that detects that the peer no longer responds.
type client struct {
	*rpc.Client
	conn *readTimeConn
	// oldestCall is when the first call after the last read was sent, by the pool's clock.
	oldestCall atomic.Int64
}

// responseTimeout is how long a peer may send nothing while calls wait for it; then the
// connection is replaced. The timeout is longer than a busy process takes to reply, since
// other calls share the connection and a new one costs both processes more than a reply.
const responseTimeout = 500 * time.Millisecond

// readTimeConn records when bytes were last read, by the pool's clock. A connection may
// stop delivering bytes for good without a reset.
type readTimeConn struct {
	net.Conn
	clock    func() time.Duration
	lastRead atomic.Int64
}

func (c *readTimeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(int64(c.clock()))
	}
	return n, err
}

// noteCall records that a call is sent.
func (c *client) noteCall() {
	if c.conn.lastRead.Load() >= c.oldestCall.Load() {
		c.oldestCall.Store(int64(c.conn.clock()))
	}
}

// unresponsive reports whether calls have waited for more than responseTimeout since the
// last read.
func (c *client) unresponsive() bool {
	oldest := c.oldestCall.Load()
	return c.conn.lastRead.Load() < oldest && c.conn.clock()-time.Duration(oldest) > responseTimeout
}

// NewPool returns a pool without connections.
func NewPool(cfg *tls.Config) *Pool {
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	return &Pool{tls: cfg, clock: clock, clients: map[netip.AddrPort]*lazyClient{}}
}

// UnknownOutcomeError reports that a call was sent and got no reply: the peer may have
// executed it.
type UnknownOutcomeError struct {
	Addr   netip.AddrPort
	Method string
	Err    error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return e.Method + " at " + e.Addr.String() + ": no reply: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// NotSentError reports that a call was not sent.
type NotSentError struct {
	Addr netip.AddrPort
	Err  error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return "connecting to " + e.Addr.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Call calls a method and gives up when ctx ends. Errors are *NotSentError,
// *UnknownOutcomeError, or the error that the method returned.
func (p *Pool) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	c, err := p.client(ctx, addr)
	if err != nil {
		return &NotSentError{Addr: addr, Err: err}
	}
	c.noteCall()
	written := p.watchWrite(ctx, addr, c)
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	written()
	select {
	case <-ctx.Done():
		if c.unresponsive() {
			p.drop(addr, c)
		}
		return &UnknownOutcomeError{Addr: addr, Method: method, Err: ctx.Err()}
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	var methodErr rpc.ServerError
	if errors.As(call.Error, &methodErr) {
		return trace.Wrap(call.Error)
	}
	p.drop(addr, c)
	return &UnknownOutcomeError{Addr: addr, Method: method, Err: call.Error}
}

// writePoll is the time between two checks of a connection to which a call is still written after
// it has timed out.
const writePoll = 50 * time.Millisecond

// watchWrite closes a connection once a call to it has timed out and the peer does not respond,
// until written is called. A peer that does not read would block the call, and all others that wait
// to be written.
func (p *Pool) watchWrite(ctx context.Context, addr netip.AddrPort, c *client) (written func()) {
	var done atomic.Bool
	stop := context.AfterFunc(ctx, func() {
		for !done.Load() {
			if c.unresponsive() {
				p.drop(addr, c)
				return
			}
			time.Sleep(writePoll)
		}
	})
	return func() {
		done.Store(true)
		stop()
	}
}

// client returns the connection to an address and opens it if necessary.
func (p *Pool) client(ctx context.Context, addr netip.AddrPort) (*client, error) {
	p.mu.Lock()
	lc, ok := p.clients[addr]
	if !ok {
		lc = &lazyClient{}
		p.clients[addr] = lc
	}
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	return lc.get(ctx, func() (*client, error) { return p.dial(addr) })
}

// get returns the open connection, or waits for one until ctx ends.
func (lc *lazyClient) get(ctx context.Context, dial func() (*client, error)) (*client, error) {
	lc.mu.Lock()
	if lc.client != nil {
		defer lc.mu.Unlock()
		return lc.client, nil
	}
	d := lc.pending
	if d == nil {
		d = &pendingDial{done: make(chan struct{})}
		lc.pending = d
		go lc.open(d, dial)
	}
	lc.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	case <-d.done:
		return d.client, d.err
	}
}

// open dials the connection and records the result for all calls that wait for it.
func (lc *lazyClient) open(d *pendingDial, dial func() (*client, error)) {
	d.client, d.err = dial()
	lc.mu.Lock()
	lc.client = d.client
	lc.pending = nil
	lc.mu.Unlock()
	close(d.done)
}

func (p *Pool) dial(addr netip.AddrPort) (*client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := dialWithRetry(ctx, firstDialTimeout, func(ctx context.Context) (net.Conn, error) { return DialContext(ctx, addr, p.tls) })
	if err != nil {
		return nil, err
	}
	conn := &readTimeConn{Conn: raw, clock: p.clock}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := io.WriteString(conn, "CONNECT "+rpc.DefaultRPCPath+" HTTP/1.0\n\n"); err != nil {
		_ = conn.Close()
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = conn.Close()
		return nil, trace.ConnectionProblem(nil, "unexpected status %q", resp.Status)
	}
	return &client{Client: rpc.NewClient(conn), conn: conn}, nil
}

// firstDialTimeout limits the first attempt to connect. The system retransmits a lost SYN
// packet, as to a host that is still powered off, only after a second.
const firstDialTimeout = 200 * time.Millisecond

// dialWithRetry tries to connect until ctx ends and doubles the timeout with each attempt.
// It retries only attempts that time out.
func dialWithRetry(ctx context.Context, first time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	for timeout := first; ; timeout *= 2 {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		conn, err := dial(attempt)
		expired := attempt.Err() != nil
		cancel()
		if err == nil || !expired || ctx.Err() != nil {
			return conn, err
		}
	}
}

// DialContext opens a connection to another process of the system.
func DialContext(ctx context.Context, addr netip.AddrPort, cfg *tls.Config) (net.Conn, error) {
	var d net.Dialer
	if cfg == nil {
		return d.DialContext(ctx, "tcp", addr.String())
	}
	td := tls.Dialer{NetDialer: &d, Config: cfg}
	return td.DialContext(ctx, "tcp", addr.String())
}

// drop closes a connection unless another one has replaced it already.
func (p *Pool) drop(addr netip.AddrPort, c *client) {
	p.mu.Lock()
	lc := p.clients[addr]
	p.mu.Unlock()
	lc.mu.Lock()
	defer lc.mu.Unlock()
	if lc.client == c {
		lc.client = nil
		_ = c.Close()
	}
}

// Close closes all connections. Calls that wait for a reply fail.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, lc := range p.clients {
		lc.mu.Lock()
		if lc.client != nil {
			_ = lc.client.Close()
			lc.client = nil
		}
		lc.mu.Unlock()
	}
	return nil
}
