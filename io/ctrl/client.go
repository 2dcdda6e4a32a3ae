package ctrl

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
)

// Client asks the control group from another process. It finds the leader and
// repeats until ctx ends: all calls are idempotent by their ids.
type Client struct {
	pool *wire.Pool

	mu     sync.Mutex
	addrs  []netip.AddrPort
	leader netip.AddrPort
	// failed counts up; the host that failed last is asked last.
	failedAt map[netip.AddrPort]uint64
	failures uint64
}

// Pauses and limits of asking.
const (
	attemptTimeout = 1500 * time.Millisecond
	retryInterval  = 30 * time.Millisecond
)

// hinted is an answer with a hint of who leads.
type hintedReply interface{ GetHint() wire.Hint }

// NewClient returns a client that first knows these hosts.
func NewClient(pool *wire.Pool, addrs []netip.AddrPort) *Client {
	return &Client{pool: pool, addrs: slices.Clone(addrs), failedAt: map[netip.AddrPort]uint64{}}
}

// SetAddrs takes in a newer list of control hosts. The first ones stay known,
// for the case that all others are replaced while this process is cut off.
func (c *Client) SetAddrs(addrs []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addrs {
		if !slices.Contains(c.addrs, a) {
			c.addrs = append(c.addrs, a)
		}
	}
}

// Call asks the leader. reply must be a fresh pointer for each call.
func Call[T any, P interface {
	*T
	hintedReply
}](ctx context.Context, c *Client, method string, args any) (T, error) {
	var last error
	for ctx.Err() == nil {
		for _, addr := range c.candidates() {
			var reply T
			err := c.attempt(ctx, addr, method, args, &reply)
			if err == nil && !P(&reply).GetHint().NotLeader {
				c.setLeader(addr)
				return reply, nil
			}
			if err != nil {
				last = err
				c.markFailed(addr)
				if ctx.Err() != nil {
					break
				}
				continue
			}
			c.setLeader(P(&reply).GetHint().Leader)
			if P(&reply).GetHint().Leader.IsValid() {
				break
			}
		}
		pause(ctx, retryInterval)
	}
	var zero T
	return zero, &UnreachableError{Method: method, Err: errors.Join(ctx.Err(), last)}
}

func (c *Client) attempt(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.pool.Call(ctx, addr, method, args, reply)
}

// order lists the hosts to ask: the supposed leader first, then those that have
// not failed, then the others, the last one to fail last.
func (c *Client) candidates() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(c.addrs)+1)
	for _, a := range c.addrs {
		if a != c.leader {
			out = append(out, a)
		}
	}
	slices.SortStableFunc(out, func(a, b netip.AddrPort) int { return cmp.Compare(c.failedAt[a], c.failedAt[b]) })
	if c.leader.IsValid() {
		out = slices.Insert(out, 0, c.leader)
	}
	return out
}

// fail notes that a host did not answer.
func (c *Client) markFailed(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = netip.AddrPort{}
	c.failures++
	c.failedAt[addr] = c.failures
}

func (c *Client) setLeader(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// UnreachableError says that no leader answered in time. The call may or may
// not have been carried out.
type UnreachableError struct {
	Method string
	Err    error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return trace.Wrap(e.Err, "%s: no leader of the control group answered", e.Method).Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }
