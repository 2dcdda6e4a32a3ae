package runs

import (
	"time"

	"dotterelgap/core/escrow"
)

// ID identifies a customer's request.
type ID struct {
	Customer string
	Key      string
}

// Spec describes an attempt to run a request.
type Spec struct {
	ID
	Attempt int
	// Body is the digest of the request. An attempt with another digest than the
	// existing run is refused.
	Body uint64
	// Payment names the reservation that pays for the run. A later reservation
	// for an existing run is not charged.
	Payment string
	Parts   []escrow.Part
	// Retried is set if an earlier attempt may exist at another agent.
	Retried bool
	// AttachOnly is set if the attempt must not start a run.
	AttachOnly bool
}

// Action is the decision on an attempt.
type Action uint8

// The decisions on an attempt.
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
	// ReasonExpired means that the attempt ran here and its response is no
	// longer kept. All other reasons mean that the attempt did not run.
	ReasonExpired Reason = "answer_expired"
)

// Decision is the result of Admit. Attempt is the attempt that starts or that the
// caller attaches to. Grant is the grant that is fenced or unknown.
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
	// acked is set once billed is final, and voided once the run must not be
	// billed.
	acked  bool
	billed escrow.Tokens
	voided bool
}

// Limits bounds the runs that an agent executes and keeps.
type Limits struct {
	// Running bounds the number of attempts that run or wait at the upstream.
	Running int
	// KeepFor is how long a finished run can be replayed.
	KeepFor time.Duration
	// KeepBytes bounds the responses of finished runs, in bytes.
	KeepBytes int64
	// KeepRefusals bounds the number of refused attempts that are remembered.
	KeepRefusals int
}

// DefaultLimits returns the default limits of an agent.
func DefaultLimits() Limits {
	return Limits{
		Running:      512,
		KeepFor:      10 * time.Minute,
		KeepBytes:    32 << 20,
		KeepRefusals: 100_000,
	}
}
