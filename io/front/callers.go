package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// callers bounds the connections of callers, so that the process keeps descriptors for its other
// work. At the limit it closes the connection that has been idle for longest. If there is none,
// new connections are accepted, and their requests rejected.
type callers struct {
	most int // 0 means no limit

	mu   sync.Mutex
	open int
	// idle holds since when connections have been idle.
	idle map[net.Conn]time.Time
}

func newCallers(most int) *callers { return &callers{most: most, idle: map[net.Conn]time.Time{}} }

// tooMany is the key of a connection's context under which it is marked as one too many.
type tooMany struct{}

// onConnect is the ConnContext of an http.Server.
func (cs *callers) onConnect(ctx context.Context, _ net.Conn) context.Context {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.open++
	if cs.most == 0 || cs.open <= cs.most || cs.closeOldest() {
		return ctx
	}
	return context.WithValue(ctx, tooMany{}, true)
}

// closeOldest closes the connection that has been idle for longest. The caller holds the lock.
func (cs *callers) closeOldest() bool {
	var oldest net.Conn
	for c, since := range cs.idle {
		if oldest == nil || since.Before(cs.idle[oldest]) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(cs.idle, oldest)
	_ = oldest.Close()
	return true
}

// onState is the ConnState of an http.Server.
func (cs *callers) onState(c net.Conn, s http.ConnState) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch s {
	case http.StateIdle:
		cs.idle[c] = time.Now()
	case http.StateActive:
		delete(cs.idle, c)
	case http.StateClosed, http.StateHijacked:
		delete(cs.idle, c)
		cs.open--
	}
}

// isTooMany reports whether a request came on a connection too many.
func isTooMany(ctx context.Context) bool { return ctx.Value(tooMany{}) != nil }
