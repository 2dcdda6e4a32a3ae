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

// Client calls the control group from another process. It finds the leader and
// retries until ctx ends. Retries are safe because every call is idempotent by its ids.
type Client struct {
	pool *wire.Pool

	mu     sync.Mutex
	addrs  []netip.AddrPort
	leader netip.AddrPort
	// failedAt holds the value of failures at each host's latest failure. The host
	// that failed last is tried last.
	failedAt map[netip.AddrPort]uint64
	failures uint64
}

// Timing of calls.
const (
	attemptTimeout = 1500 * time.Millisecond
	retryInterval  = 30 * time.Millisecond
	// A host that has not replied for probeAfter is asked whether it responds at all. It then
	// has probeTimeout to do so.
	probeAfter   = 200 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
)

// hintedReply is a reply that carries a hint about the leader.
type hintedReply interface{ GetHint() wire.Hint }

// NewClient returns a client that starts with these control hosts.
func NewClient(pool *wire.Pool, addrs []netip.AddrPort) *Client {
	return &Client{pool: pool, addrs: slices.Clone(addrs), failedAt: map[netip.AddrPort]uint64{}}
}

// SetAddrs adds the hosts of a newer list. It keeps the earlier ones, since all hosts
// of the newer list may be replaced while this process is partitioned.
func (c *Client) SetAddrs(addrs []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addrs {
		if !slices.Contains(c.addrs, a) {
			c.addrs = append(c.addrs, a)
		}
	}
}

// Call calls a method on the leader and returns its reply, or an *UnreachableError if
// no leader replies before ctx ends. Each attempt decodes into a new value.
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
	stop := c.probe(ctx, cancel, addr)
	defer stop()
	return c.pool.Call(ctx, addr, method, args, reply)
}

// probe calls gone once a host does not respond, until stop is called. A host that is busy
// responds: to give up on it and to repeat the call would only add to its load.
func (c *Client) probe(ctx context.Context, gone func(), addr netip.AddrPort) (stop func() bool) {
	return time.AfterFunc(probeAfter, func() {
		for ctx.Err() == nil {
			if !c.responds(ctx, addr) {
				gone()
				return
			}
			pause(ctx, probeAfter)
		}
	}).Stop
}

// responds reports whether a host replies to a ping.
func (c *Client) responds(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.pool.Call(ctx, addr, "Control.Ping", &wire.Empty{}, &wire.Empty{}) == nil
}

// candidates returns the hosts in the order in which to try them: the presumed leader,
// then those that have not failed, then the others, with the latest failure last.
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

// markFailed records that a call to a host failed.
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

// UnreachableError means that no leader replied in time. The call may or may not have
// taken effect.
type UnreachableError struct {
	Method string
	Err    error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return trace.Wrap(e.Err, "%s: no reply from a leader of the control group", e.Method).Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }
