package conns

import (
	"errors"
	"io"
	"net/netip"
	"syscall"
)

// ClosedByPeer reports whether the upstream closed or reset the connection. Other errors,
// such as timeouts, are more likely to be faults of the network.
func ClosedByPeer(err error) bool {
	for _, cause := range []error{errNoResponse, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// NotSentError reports that no byte of a request was sent.
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

// LostError reports that a request was sent, in part or in full, and got no response:
// the upstream may have run it.
type LostError struct {
	Addr netip.AddrPort
	// Reused is set if the connection had served another request before.
	Reused bool
	// Declined is set if the request was canceled and the upstream then closed the
	// connection without having sent a byte: its response had not begun.
	Declined bool
	Err      error
}

// Error implements error.
func (e *LostError) Error() string {
	return "no response from " + e.Addr.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
