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

// Options tune a Pool.
type Options struct {
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept at most.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to one upstream.
	MaxIdle int
	// SilenceTimeout is how long sent bytes may stay unacknowledged.
	SilenceTimeout time.Duration
}

// DefaultOptions returns the options that nodes run with.
func DefaultOptions() Options {
	return Options{
		DialTimeout:    500 * time.Millisecond,
		IdleTimeout:    10 * time.Second,
		MaxIdle:        64,
		SilenceTimeout: 3 * time.Second,
	}
}

// Pool keeps idle connections by address.
type Pool struct {
	opts Options

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	open   map[netip.AddrPort]int
	shut   bool
	dialed uint64
}

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	return &Pool{opts: opts, idle: map[netip.AddrPort][]*conn{}, open: map[netip.AddrPort]int{}}
}

// errClosed is returned by a closed pool.
var errClosed = errors.New("the pool is closed")

// Send carries out one exchange, up to the head of the answer. The connection
// is closed when ctx ends. Errors are *NotSentError or *LostError.
func (p *Pool) Send(ctx context.Context, addr netip.AddrPort, r *Request) (*Response, error) {
	c, err := p.get(ctx, addr)
	if err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	reused := c.uses > 0
	c.uses++
	stop := c.withdrawOn(ctx)
	wrote, err := c.write(r)
	var readErr error
	if err == nil {
		var resp *http.Response
		var stray bool
		resp, stray, readErr = c.read(r)
		if readErr == nil {
			c.keepAlive = keepAliveOf(resp.Header)
			if ctx.Err() != nil {
				// Nobody waits for the answer that has begun.
				_ = c.Close()
			}
			c.answered.Store(true)
			a := &Response{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Reused: reused,
				pool: p, addr: addr, conn: c, resp: resp, wrote: wrote, stop: stop, clean: !stray,
			}
			a.Body = bodyReader{a}
			return a, nil
		}
		err = readErr
	}
	stop()
	_ = c.Close()
	p.closed(addr)
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return nil, &LostError{Addr: addr, Reused: reused, Declined: ctx.Err() != nil && errors.Is(readErr, errNoByte), Err: err}
}

// get takes the idle connection that was used last, or opens one.
func (p *Pool) get(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	for {
		c, err := p.take(addr)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
		p.closed(addr)
	}
}

func (p *Pool) take(addr netip.AddrPort) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shut {
		return nil, errClosed
	}
	list := p.idle[addr]
	if len(list) == 0 {
		return nil, nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	if now.Sub(c.idleSince) < p.keep(c) {
		return c, nil
	}
	// The older ones have been idle for longer still.
	for _, old := range list {
		_ = old.Close()
	}
	p.open[addr] -= len(list)
	delete(p.idle, addr)
	return nil, nil
}

// keep is how long an idle connection may be used again: the upstream's word,
// with a margin for the way there.
func (p *Pool) keep(c *conn) time.Duration {
	if c.keepAlive == 0 {
		return p.opts.IdleTimeout
	}
	return min(p.opts.IdleTimeout, c.keepAlive*3/4)
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1, Control: p.control}
	raw, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[addr]++
	p.dialed++
	return newConn(raw), nil
}

// tcpUserTimeout is the Linux socket option that bounds how long sent bytes may
// stay unacknowledged, in milliseconds.
const tcpUserTimeout = 18

func (p *Pool) control(_, _ string, c syscall.RawConn) error {
	var opt error
	err := c.Control(func(fd uintptr) {
		opt = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(p.opts.SilenceTimeout.Milliseconds()))
	})
	return errors.Join(err, opt)
}

func (p *Pool) put(addr netip.AddrPort, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shut || len(p.idle[addr]) >= p.opts.MaxIdle {
		_ = c.Close()
		p.open[addr]--
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

func (p *Pool) closed(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[addr]--
	if p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}

// Forget closes the idle connections to an upstream that is gone.
func (p *Pool) Forget(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		_ = c.Close()
		p.open[addr]--
	}
	delete(p.idle, addr)
}

// Open counts the connections to an upstream, idle ones among them.
func (p *Pool) Open(addr netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[addr]
}

// Dialed counts the connections that were opened.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Close closes all idle connections. Those in use are closed by their answers.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = map[netip.AddrPort][]*conn{}
	return nil
}
