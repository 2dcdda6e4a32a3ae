package conns

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Options configure a Pool.
type Options struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is the longest time that an idle connection is kept.
	IdleTimeout time.Duration
	// MaxIdle limits the idle connections to one upstream.
	MaxIdle int
	// MaxOpen limits all connections. Idle ones are closed to stay within it; if there are none,
	// no connection is opened.
	MaxOpen int
	// UserTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
}

// DefaultOptions returns the options that nodes run with.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 500 * time.Millisecond,
		IdleTimeout: 10 * time.Second,
		MaxIdle:     64,
		MaxOpen:     Shares().Upstreams,
		UserTimeout: 3 * time.Second,
	}
}

// Pool keeps the idle connections to each address.
type Pool struct {
	opts Options

	mu       sync.Mutex
	idle     map[netip.AddrPort][]*conn
	open     map[netip.AddrPort]int
	total    int // the sum of open
	isClosed bool
	dialed   uint64
}

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	return &Pool{opts: opts, idle: map[netip.AddrPort][]*conn{}, open: map[netip.AddrPort]int{}}
}

// errClosed is returned by a closed pool.
var errClosed = errors.New("connection pool is closed")

// Send sends a request and returns once the head of the response has arrived. The
// connection is closed when ctx ends. Errors are *NotSentError or *LostError.
func (p *Pool) Send(ctx context.Context, addr netip.AddrPort, r *Request) (*Response, error) {
	c, err := p.get(ctx, addr, r.ID)
	if err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	reused := c.uses > 0
	c.begin(r.ID)
	stop := c.cancelOn(ctx)
	wrote, err := c.write(r)
	var readErr error
	if err == nil {
		var resp *http.Response
		var stray bool
		resp, stray, readErr = c.read(r)
		if readErr == nil {
			c.keepAlive = parseKeepAlive(resp.Header)
			if ctx.Err() != nil {
				// ctx ended while the response began, so the caller no longer waits for it.
				_ = c.Close()
			}
			c.responding.Store(true)
			out := &Response{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Reused: reused,
				Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
				pool:   p, addr: addr, conn: c, resp: resp, wrote: wrote, stop: stop, clean: !stray,
			}
			out.Body = bodyReader{out}
			return out, nil
		}
		err = readErr
	}
	stop()
	_ = c.Close()
	p.closed(addr)
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return nil, &LostError{Addr: addr, Reused: reused, Declined: ctx.Err() != nil && errors.Is(readErr, errNoResponse), Err: err}
}

// get returns the most recently used idle connection that may serve a request with this id, or
// opens a new one.
func (p *Pool) get(ctx context.Context, addr netip.AddrPort, id string) (*conn, error) {
	for {
		c, err := p.takeIdle(addr)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.mayServe(id) && c.reusable() {
			return c, nil
		}
		_ = c.Close()
		p.closed(addr)
	}
}

// takeIdle removes the most recently used idle connection from the pool and returns it,
// or nil if there is none that may be used.
func (p *Pool) takeIdle(addr netip.AddrPort) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return nil, errClosed
	}
	list := p.idle[addr]
	if len(list) == 0 {
		return nil, nil
	}
	c := list[len(list)-1]
	if now.Sub(c.idleSince) < p.idleTimeout(c) {
		p.setIdle(addr, list[:len(list)-1])
		return c, nil
	}
	// The others have been idle for even longer.
	p.drop(addr, list)
	p.setIdle(addr, nil)
	return nil, nil
}

// idleTimeout returns how long a connection may be idle before its reuse. If the upstream
// announces a timeout, three quarters of it count, as a margin for the transit time of the
// next request.
func (p *Pool) idleTimeout(c *conn) time.Duration {
	if c.keepAlive == 0 {
		return p.opts.IdleTimeout
	}
	return min(p.opts.IdleTimeout, c.keepAlive*3/4)
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	if err := p.reserve(addr); err != nil {
		return nil, err
	}
	d := net.Dialer{KeepAlive: -1, Control: p.setOptions}
	raw, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		p.closed(addr)
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialed++
	return newConn(raw), nil
}

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which limits how long sent
// bytes may stay unacknowledged, in milliseconds.
const tcpUserTimeout = 18

// receiveBuffer limits what the kernel holds of an unread response, in bytes; Linux doubles it for
// its own overhead.
const receiveBuffer = 64 << 10

// setOptions sets the socket options of a new connection.
func (p *Pool) setOptions(_, _ string, c syscall.RawConn) error {
	var timeoutErr, bufferErr error
	err := c.Control(func(fd uintptr) {
		timeoutErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(p.opts.UserTimeout.Milliseconds()))
		bufferErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, timeoutErr, bufferErr)
}

// put returns a connection to the pool, or closes it if the pool is closed or has enough
// idle connections to the address.
func (p *Pool) put(addr netip.AddrPort, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed || len(p.idle[addr]) >= p.opts.MaxIdle {
		p.drop(addr, []*conn{c})
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// closed records that a connection to the address was closed.
func (p *Pool) closed(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(addr, -1)
}

// Open returns the number of connections to an upstream, including idle ones.
func (p *Pool) Open(addr netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[addr]
}

// Dialed returns the number of connections that were opened.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Close closes all idle connections. A connection in use is closed by its Response.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for addr, list := range p.idle {
		p.drop(addr, list)
	}
	clear(p.idle)
	return nil
}
