package engine

import "time"

// Options set how a stand-in engine behaves.
type Options struct {
	// Slots is the number of requests in the running batch.
	Slots int
	// TokenTime is the time between two tokens of a stream.
	TokenTime time.Duration
	// PrefillTime is the time per prompt token before the first token.
	PrefillTime time.Duration
	// Length is the number of tokens of an answer, if its cap allows.
	Length int
	Fault  Fault
}

// Fault is a way in which a stand-in misbehaves.
type Fault string

// The faults.
const (
	FaultNone    Fault = ""
	FaultGarbage Fault = "garbage"
	// FaultCut breaks the connection in the middle of an answer.
	FaultCut Fault = "cut"
	// FaultNoEnd ends an answer cleanly without its end marker.
	FaultNoEnd Fault = "no_end"
	// FaultRepeat makes more tokens than the cap allows.
	FaultRepeat Fault = "repeat"
	// FaultStall stops in the middle and never goes on.
	FaultStall Fault = "stall"
)

// DefaultOptions returns a quick engine.
func DefaultOptions() Options {
	return Options{Slots: 64, TokenTime: 2 * time.Millisecond, PrefillTime: 2 * time.Microsecond, Length: 24}
}
