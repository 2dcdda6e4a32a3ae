package wire

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// SentTracker records whether an HTTP request got a connection. Before that, no part of
// the request can have reached the server.
type SentTracker struct {
	connected atomic.Bool
}

// Attach returns a context with which to send the tracked request.
func (s *SentTracker) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

// Connected reports whether the request may have been sent.
func (s *SentTracker) Connected() bool {
	return s.connected.Load()
}
