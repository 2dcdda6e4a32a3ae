package runs

import (
	"time"

	"dotterelgap/core/escrow"
)

// ID names a customer's request.
type ID struct {
	Customer string
	Key      string
}

// Spec describes an attempt that asks to run.
type Spec struct {
	ID
	Attempt int
	Body    uint64
	// Payment names the reservation that pays. A later reservation for a run
	// that exists pays nothing.
	Payment    string
	Parts      []escrow.Part
	Retried    bool
	AttachOnly bool
}

// Action is what is to be done with an attempt.
type Action uint8

// The actions.
const (
	Refuse Action = iota
	Start
	Attach
)

// Reason says why an attempt is refused.
type Reason string

// The reasons for a refusal.
const (
	ReasonDraining     Reason = "draining"
	ReasonFenced       Reason = "grant_fenced"
	ReasonUnknownGrant Reason = "grant_unknown"
	ReasonOverloaded   Reason = "overloaded"
	ReasonKeyReused    Reason = "key_reused"
	ReasonNoRun        Reason = "no_such_run"
	ReasonNotReady     Reason = "not_ready"
	// ReasonExpired: the attempt ran here, and its answer is no longer kept.
	// It is the one reason that does not mean not-run.
	ReasonExpired Reason = "answer_expired"
)

// Decision answers a Spec. Attempt is the attempt whose run is joined, and
// Grant the one that was refused.
type Decision struct {
	Action  Action
	Reason  Reason
	Attempt int
	Grant   escrow.GrantID
}

// run is an attempt that was started here.
type run struct {
	spec  Spec
	done  bool
	ended time.Time
	size  int64
	used  escrow.Tokens
	// acked is set once billed is final; voided, once nothing may be billed.
	acked  bool
	billed escrow.Tokens
	voided bool
}

// Limits bound what an agent runs and keeps.
type Limits struct {
	// Running is the number of attempts that run or wait at the upstream.
	Running int
	// KeepFor is how long a finished run can be replayed.
	KeepFor time.Duration
	// KeepBytes bounds the answers of finished runs, in bytes.
	KeepBytes int64
	// KeepRefusals bounds the number of attempts that are kept as refused.
	KeepRefusals int
}

// DefaultLimits returns the limits that agents run with.
func DefaultLimits() Limits {
	return Limits{
		Running:      512,
		KeepFor:      10 * time.Minute,
		KeepBytes:    32 << 20,
		KeepRefusals: 100_000,
	}
}
