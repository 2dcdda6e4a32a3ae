package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"dotterelgap/core/upload"
)

// Limits of the connections of one listener.
type Limits struct {
	// Most is the largest number of connections; 0 means no limit.
	Most int
	// Head returns the limit on the head of a request in bytes, the time in which it has to arrive,
	// and how long a connection may be idle.
	Head func() (bytes int, timeout, idle time.Duration)
}

// Conns bounds the connections of clients to one listener, so that the process keeps descriptors and
// memory for its other work. At the limit it closes the connection that has been idle for longest, or
// whose next head is incomplete for longest, or ends a body that makes no progress. If there is
// none, new connections are accepted, and their requests rejected.
type Conns struct {
	limits Limits
	gate   *Gate

	mu   sync.Mutex
	open int
	// idle holds since when connections have had no request in progress. For new ones it is the end of
	// the time that their first request may take to arrive.
	idle map[net.Conn]time.Time
}

// NewConns returns the bound of a listener's connections. The heads of their requests count at the
// gate.
func NewConns(limits Limits, gate *Gate) *Conns {
	return &Conns{limits: limits, gate: gate, idle: map[net.Conn]time.Time{}}
}

// Listen returns the listener whose connections are bounded.
func (cs *Conns) Listen(ln net.Listener) net.Listener { return &listener{ln, cs} }

type listener struct {
	net.Listener
	cs *Conns
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c, l.cs), nil
}

// tooMany is the key of a connection's context under which it is marked as one too many.
type tooMany struct{}

// refusalShare is the share of the connections that are accepted only to be told that they are too
// many, and leastRefusals the least number of them.
const (
	refusalShare  = 1.0 / 16
	leastRefusals = 4
)

// served returns how many connections may have requests served, of all that are accepted.
func (l Limits) served() (served, accepted int) {
	served = l.Most - int(refusalShare*float64(l.Most))
	return served, max(l.Most, served+leastRefusals)
}

// OnConnect is the ConnContext of an http.Server.
func (cs *Conns) OnConnect(ctx context.Context, c net.Conn) context.Context {
	ctx = context.WithValue(ctx, connKey{}, c)
	if cs.connect(c) || cs.gate.endStalled() {
		return ctx
	}
	return context.WithValue(ctx, tooMany{}, true)
}

// connect counts a connection and makes room for it. It returns false if the connection is one too
// many.
func (cs *Conns) connect(c net.Conn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := time.Now()
	cs.open++
	cs.idle[c] = now.Add(upload.Grace)
	served, accepted := cs.limits.served()
	switch {
	case cs.limits.Most == 0 || cs.open <= served:
		return true
	case cs.open <= accepted:
		return cs.closeOldest(now)
	}
	// Before descriptors run out, the oldest connection that has not sent its head is closed.
	return cs.closeOldest(now.Add(upload.Grace))
}

// closeOldest closes the connection that has been idle for longest, of those idle before a time. The
// caller holds the lock.
func (cs *Conns) closeOldest(before time.Time) bool {
	var oldest net.Conn
	for c, since := range cs.idle {
		if !since.After(before) && (oldest == nil || since.Before(cs.idle[oldest])) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	cs.forget(oldest)
	_ = oldest.Close()
	return true
}

// forget counts a connection as closed, once. The caller holds the lock.
func (cs *Conns) forget(c net.Conn) {
	delete(cs.idle, c)
	own, ok := c.(*conn)
	if !ok || own.forgotten {
		return
	}
	own.forgotten = true
	cs.open--
}

// OnState is the ConnState of an http.Server.
func (cs *Conns) OnState(c net.Conn, s http.ConnState) {
	if own, ok := c.(*conn); ok {
		own.onState(s)
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch s {
	case http.StateIdle:
		if own, ok := c.(*conn); ok && !own.forgotten {
			cs.idle[c] = time.Now()
		}
	case http.StateActive:
		delete(cs.idle, c)
	case http.StateClosed, http.StateHijacked:
		cs.forget(c)
	}
}

// IsTooMany reports whether a request came on a connection too many.
func IsTooMany(ctx context.Context) bool { return ctx.Value(tooMany{}) != nil }
