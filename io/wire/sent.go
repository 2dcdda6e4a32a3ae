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
	// wrote gets the result of writing the request.
	wrote chan error
}

// Attach returns a context with which to send the tracked request.
func (s *SentTracker) Attach(ctx context.Context) context.Context {
	s.wrote = make(chan error, 1)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case s.wrote <- info.Err:
			default:
			}
		},
	})
}

// Connected reports whether the request may have been sent.
func (s *SentTracker) Connected() bool {
	return s.connected.Load()
}

// Written waits until the request has been written, or ctx ends, and returns the error of writing it.
func (s *SentTracker) Written(ctx context.Context) error {
	select {
	case err := <-s.wrote:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
