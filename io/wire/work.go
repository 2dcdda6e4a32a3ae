package wire

import (
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
)

// PathRun is the path of an agent's handler that runs a Dispatch and streams Pieces.
const PathRun = "/run"

// Dispatch asks an agent to run one attempt of a request.
type Dispatch struct {
	// Agent is the incarnation of the agent that the dispatch is for. Any other one
	// refuses it.
	Agent    fleet.NodeID
	Customer string
	Key      string
	Attempt  int
	// Body is the digest of the request. It prevents the use of a key for another
	// request.
	Body uint64
	// Payment is the id of the reservation that pays for the run. Parts are the
	// reservation's amounts by grant.
	Payment  string
	Parts    []escrow.Part
	Retried  bool
	Priority config.Priority
	// AttachOnly attaches to an existing run and never starts one.
	AttachOnly bool
	// Offset is the number of response bytes that the entry already has.
	Offset  int64
	Timeout time.Duration
	// Trace is the W3C traceparent of the entry's span.
	Trace   string
	Request Request
}

// Request is the request that the agent sends to the upstream.
type Request struct {
	Method      string
	Path        string
	ContentType string
	// Key is sent to a plain service as the idempotency key.
	Key        string
	Body       []byte
	Repeatable bool
	Model      bool
	// PromptTokens is an upper bound. The engine enforces MaxOutput.
	PromptTokens escrow.Tokens
	MaxOutput    escrow.Tokens
	FixedTokens  escrow.Tokens
}

// PieceKind is the kind of a Piece.
type PieceKind uint8

// The kinds of pieces. A complete response is one head, data in order, and one end. A
// refusal or a failure takes the place of the missing pieces.
const (
	PieceHead PieceKind = iota + 1
	PieceData
	PieceEnd
	PieceRefused
	PieceFailed
)

// Piece is a part of a streamed response. Every piece names its request, so that a stray
// piece is never attributed to another request.
type Piece struct {
	Kind    PieceKind
	Key     string
	Attempt int
	// Offset is the offset of Data in the body; in an end, it is the length of the body.
	Offset int64
	Data   []byte
	// Status and Type are set in a head.
	Status int
	Type   string
	// Digest is the digest of the whole body and Used the charge of the attempt. They
	// are set in an end.
	Digest uint64
	Used   escrow.Tokens
	// Payment is the id of the reservation that the run is charged to.
	Payment string
	// Code and Message are set in a refusal or failure. A refusal means that the attempt
	// did not run at this agent and never will, except with CodeExpired.
	Code    string
	Message string
	Load    Load
}

// The codes of refusals and failures. With CodeExpired, the attempt ran and its response
// is no longer kept.
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

// RunID identifies one attempt at an agent.
type RunID struct {
	Agent    fleet.NodeID
	Customer string
	Key      string
	Attempt  int
}

// AckArgs requests that the charge of an attempt is billed.
type AckArgs struct {
	RunID
	Billed escrow.Tokens
}

// AckReply contains the amount that is billed.
type AckReply struct {
	// OtherLife is set if the agent is another incarnation than the one asked.
	OtherLife bool
	Billed    escrow.Tokens
}

// VoidReply reports whether the request is not billed at the agent.
type VoidReply struct {
	Voided bool
}

// Resolved is the outcome of an attempt.
type Resolved struct {
	// OtherLife is set if the agent has restarted and knows nothing of the attempt.
	OtherLife bool
	// NotRun is set if the attempt did not run and never will.
	NotRun  bool
	Running bool
	// Expired is set if the attempt ran and its response is no longer kept.
	Expired bool
	Used    escrow.Tokens
	// Payment is the id of the reservation that pays for the run.
	Payment string
}

// ReserveArgs requests a reservation from a holder on behalf of a borrower.
type ReserveArgs struct {
	Borrower fleet.NodeID
	ID       string
	Customer string
	Worst    escrow.Tokens
	// NoWait refuses the request immediately if the holder's grants do not cover it.
	NoWait bool
}

// ReserveReply contains the reservation, or the reason for its refusal.
type ReserveReply struct {
	Parts  []escrow.Part
	Reason escrow.Reason
}

// ReleaseArgs ends a reservation.
type ReleaseArgs struct {
	ID   string
	Used escrow.Tokens
}

// GrantsArgs requests a customer's grants from a witness.
type GrantsArgs struct {
	Customer string
	Place    fleet.Place
}

// GrantsReply lists the grants.
type GrantsReply struct {
	Grants []escrow.Grant
}

// OrderArgs is an order for an engine.
type OrderArgs struct {
	Agent  fleet.NodeID
	Number uint64
	Action string
	Name   string
}

// OrderResult reports whether the engine accepted the order.
type OrderResult struct {
	Done bool
	// Highest is the highest order number that the agent knows.
	Highest uint64
	Message string
}
