package conns

import "net/netip"

// NotSentError says that no byte of a request left this process.
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

// LostError says that a request was sent, in part or in full, and that no
// answer to it came: the upstream may have run it.
type LostError struct {
	Addr netip.AddrPort
	// Reused is set where the connection had served another request before.
	Reused bool
	// Declined is set where the request was withdrawn and the upstream then closed
	// the connection without having sent a byte: its answer had not begun.
	Declined bool
	Err      error
}

// Error implements error.
func (e *LostError) Error() string {
	return "no answer from " + e.Addr.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
