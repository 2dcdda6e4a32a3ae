package wire

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// SentTracker notices whether an HTTP request got a connection. Before that,
// nothing of it can have reached the other side.
type SentTracker struct {
	got atomic.Bool
}

// Attach returns a context for the request that is tracked.
func (s *SentTracker) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.got.Store(true) },
	})
}

// Connected tells whether the request may have been sent.
func (s *SentTracker) Connected() bool {
	return s.got.Load()
}
