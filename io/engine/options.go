package engine

import "time"

// Options configures a stand-in engine.
type Options struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// TokenTime is the time between two tokens of a stream.
	TokenTime time.Duration
	// PrefillTime is the time per prompt token before the first output token.
	PrefillTime time.Duration
	// Length is the number of tokens of a response, unless max_tokens is lower.
	Length int
	Fault  Fault
}

// Fault is a fault that an engine injects into its streamed responses.
type Fault string

// The faults of a stand-in engine.
const (
	FaultNone    Fault = ""
	FaultGarbage Fault = "garbage"
	// FaultCut closes the connection in the middle of a response.
	FaultCut Fault = "cut"
	// FaultNoEnd ends a response cleanly without the end marker.
	FaultNoEnd Fault = "no_end"
	// FaultRepeat generates twice as many tokens as max_tokens allows.
	FaultRepeat Fault = "repeat"
	// FaultStall sends nothing more after the middle of a response and keeps the
	// connection open.
	FaultStall Fault = "stall"
)

// DefaultOptions returns the options of a fast engine.
func DefaultOptions() Options {
	return Options{Slots: 64, TokenTime: 2 * time.Millisecond, PrefillTime: 2 * time.Microsecond, Length: 24}
}
