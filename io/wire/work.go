package wire

import (
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
)

// PathRun is the path of the stream that runs work at an agent.
const PathRun = "/run"

// Dispatch asks an agent to run one attempt of a request.
type Dispatch struct {
	// Agent is the life of the agent that is meant; another one refuses.
	Agent    fleet.NodeID
	Customer string
	Key      string
	Attempt  int
	// Body digests the request, so that a key can't be used for another one.
	Body uint64
	// Payment names the reservation that pays for the run, Parts its grants.
	Payment  string
	Parts    []escrow.Part
	Retried  bool
	Priority config.Priority
	// AttachOnly joins a run that exists and never starts one.
	AttachOnly bool
	// Offset is the number of answer bytes that the entry has already.
	Offset  int64
	Timeout time.Duration
	// Trace is the W3C traceparent of the entry's span.
	Trace   string
	Request Request
}

// Request is the call that the upstream gets.
type Request struct {
	Method      string
	Path        string
	ContentType string
	// Key is passed to a plain service as its idempotency key.
	Key        string
	Body       []byte
	Repeatable bool
	Model      bool
	// PromptTokens is an upper bound; MaxOutput is enforced by the engine.
	PromptTokens escrow.Tokens
	MaxOutput    escrow.Tokens
	FixedTokens  escrow.Tokens
}

// PieceKind says what a piece of an answer is.
type PieceKind uint8

// The kinds of pieces. An answer is one head, data in order, and one end; a
// refusal or a failure takes the place of what is missing.
const (
	PieceHead PieceKind = iota + 1
	PieceData
	PieceEnd
	PieceRefused
	PieceFailed
)

// Piece is a part of an answer. Every piece names its request, so that a stray
// one is never taken for another's.
type Piece struct {
	Kind    PieceKind
	Key     string
	Attempt int
	// Offset is where Data stands in the answer's body; in an end it is the
	// length of the whole body.
	Offset int64
	Data   []byte
	// Status and Type stand in a head.
	Status int
	Type   string
	// Digest covers the whole body; Used is the attempt's charge. In an end.
	Digest uint64
	Used   escrow.Tokens
	// Payment names the reservation that the run is charged to.
	Payment string
	// Code and Message stand in a refusal or failure. A refusal means that
	// the attempt did not run at this agent and never will.
	Code    string
	Message string
	Load    Load
}

// The codes of refusals and failures.
const (
	CodeDraining       = "draining"
	CodeFenced         = "grant_fenced"
	CodeUnknownGrant   = "grant_unknown"
	CodeOverloaded     = "overloaded"
	CodeAgentRestarted = "agent_restarted"
	CodeKeyReused      = "key_reused"
	CodeNoRun          = "no_such_run"
	CodeUpstreamDown   = "upstream_unreachable"
	CodeUpstreamBad    = "upstream_failed"
	CodeTimeout        = "timeout"
	CodeCanceled       = "canceled"
	CodeNotReady       = "not_ready"
	CodeExpired        = "answer_expired"
)

// RunID names one attempt at an agent.
type RunID struct {
	Agent    fleet.NodeID
	Customer string
	Key      string
	Attempt  int
}

// AckArgs asks to book the charge of an attempt.
type AckArgs struct {
	RunID
	Billed escrow.Tokens
}

// AckReply says at what the charge is booked.
type AckReply struct {
	OtherLife bool
	Billed    escrow.Tokens
}

// VoidReply says whether a request is not billed at the agent.
type VoidReply struct {
	Voided bool
}

// Resolved says what became of an attempt.
type Resolved struct {
	// OtherLife: the agent was restarted since, and knows nothing.
	OtherLife bool
	// NotRun: it did not run and never will.
	NotRun  bool
	Running bool
	// Expired: it ran, and its answer is no longer kept.
	Expired bool
	Used    escrow.Tokens
	// Payment names the reservation that pays for the run.
	Payment string
}

// ReserveArgs asks a holder for tokens on behalf of a borrower.
type ReserveArgs struct {
	Borrower fleet.NodeID
	ID       string
	Customer string
	Worst    escrow.Tokens
	// NoWait asks for what the holder has at hand only.
	NoWait bool
}

// ReserveReply carries the reservation, or why there is none.
type ReserveReply struct {
	Parts  []escrow.Part
	Reason escrow.Reason
}

// ReleaseArgs ends a reservation.
type ReleaseArgs struct {
	ID   string
	Used escrow.Tokens
}

// GrantsArgs asks a witness for a customer's grants.
type GrantsArgs struct {
	Customer string
	Place    fleet.Place
}

// GrantsReply lists them.
type GrantsReply struct {
	Grants []escrow.Grant
}

// OrderArgs carries an order to an engine.
type OrderArgs struct {
	Agent  fleet.NodeID
	Number uint64
	Action string
	Name   string
}

// OrderResult says whether the order was given to the engine.
type OrderResult struct {
	Done    bool
	Highest uint64
	Message string
}
