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

	mu      sync.Mutex
	clients map[netip.AddrPort]*lazyClient
	closed  bool
}

// lazyClient is the connection to one address, or the attempt to open it.
type lazyClient struct {
	mu      sync.Mutex
	client  *client
	dialing *dialing
}

// dialing is an attempt to connect that all who need it wait for. done is closed
// once client or err is set.
type dialing struct {
	done   chan struct{}
	client *client
	err    error
}

// client is a net/rpc client that knows for how long the other side has been silent.
type client struct {
	*rpc.Client
	conn *heardConn
	// asked is when the first call since the other side was last heard was sent, as
	// the time since epoch.
	asked atomic.Int64
}

// maxSilence is how long the other side may be silent while calls wait for it. A
// connection that is silent for longer is replaced. It is longer than a busy process
// takes to answer: calls of others share the connection, and a new one costs both
// sides more than an answer.
const maxSilence = 500 * time.Millisecond

// epoch is what heardConn counts from, on the monotonic clock.
var epoch = time.Now()

// heardConn notes when bytes arrived. A connection may go silent for good
// without a reset.
type heardConn struct {
	net.Conn
	heard atomic.Int64
}

func (c *heardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(int64(time.Since(epoch)))
	}
	return n, err
}

// ask notes that a call is sent.
func (c *client) ask() {
	if c.conn.heard.Load() >= c.asked.Load() {
		c.asked.Store(int64(time.Since(epoch)))
	}
}

// silent tells whether calls have waited for more than maxSilence since the other side
// was last heard.
func (c *client) silent() bool {
	asked := c.asked.Load()
	return c.conn.heard.Load() < asked && time.Since(epoch)-time.Duration(asked) > maxSilence
}

// NewPool returns a pool without connections.
func NewPool(cfg *tls.Config) *Pool {
	return &Pool{tls: cfg, clients: map[netip.AddrPort]*lazyClient{}}
}

// UnknownOutcomeError says that a call was sent and no answer came: the other
// side may have carried it out.
type UnknownOutcomeError struct {
	Addr   netip.AddrPort
	Method string
	Err    error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return e.Method + " at " + e.Addr.String() + ": no answer: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// NotSentError says that a call did not leave this process.
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
// *UnknownOutcomeError, or what the method returned.
func (p *Pool) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	c, err := p.client(ctx, addr)
	if err != nil {
		return &NotSentError{Addr: addr, Err: err}
	}
	c.ask()
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if c.silent() {
			p.drop(addr, c)
		}
		return &UnknownOutcomeError{Addr: addr, Method: method, Err: ctx.Err()}
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	var answered rpc.ServerError
	if errors.As(call.Error, &answered) {
		return trace.Wrap(call.Error)
	}
	p.drop(addr, c)
	return &UnknownOutcomeError{Addr: addr, Method: method, Err: call.Error}
}

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
	d := lc.dialing
	if d == nil {
		d = &dialing{done: make(chan struct{})}
		lc.dialing = d
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

func (lc *lazyClient) open(d *dialing, dial func() (*client, error)) {
	d.client, d.err = dial()
	lc.mu.Lock()
	lc.client = d.client
	lc.dialing = nil
	lc.mu.Unlock()
	close(d.done)
}

func (p *Pool) dial(addr netip.AddrPort) (*client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := dialAgain(ctx, firstDial, func(ctx context.Context) (net.Conn, error) { return DialContext(ctx, addr, p.tls) })
	if err != nil {
		return nil, err
	}
	conn := &heardConn{Conn: raw}
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
		return nil, trace.ConnectionProblem(nil, "unexpected answer %q", resp.Status)
	}
	return &client{Client: rpc.NewClient(conn), conn: conn}, nil
}

// firstDial is how long the first attempt to connect may take. An opening packet
// that is lost, as by a host that has no power yet, is sent again by the system only
// after a second.
const firstDial = 200 * time.Millisecond

// dialAgain tries to connect until ctx ends, each attempt for twice as long as the
// one before. Other errors than time running out end it.
func dialAgain(ctx context.Context, first time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	for limit := first; ; limit *= 2 {
		try, cancel := context.WithTimeout(ctx, limit)
		conn, err := dial(try)
		expired := try.Err() != nil
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

// Close closes all connections; calls on their way end with an error.
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
