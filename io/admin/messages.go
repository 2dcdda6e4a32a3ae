package admin

import (
	"net/netip"

	"dotterelgap/core/config"
	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/raft"
	"dotterelgap/core/state"
)

// The paths of the API.
const (
	PathConfig    = "/v1/config"
	PathTopUps    = "/v1/top_ups"
	PathCustomers = "/v1/customers"
	PathStatus    = "/v1/status"
	PathWriteOffs = "/v1/write_offs"
	PathDrain     = "/v1/drain"
	PathReplace   = "/v1/replace"
	PathOrders    = "/v1/orders"
)

// ConfigReply is the configuration in force.
type ConfigReply struct {
	Version     uint64          `json:"version"`
	Fingerprint uint64          `json:"fingerprint,string"`
	Document    config.Document `json:"document"`
}

// ApplyRequest proposes a configuration.
type ApplyRequest struct {
	ChangeID string `json:"change_id"`
	// Base is the version of the configuration that the change is based on.
	Base uint64 `json:"base"`
	// File is the file name of the document, for error messages.
	File     string `json:"file"`
	Document string `json:"document"`
}

// ApplyReply is the reply to ApplyRequest.
type ApplyReply struct {
	Result state.ChangeResult `json:"verdict"`
}

// CustomerReply is a customer's budget in the ledger.
type CustomerReply struct {
	Name   string        `json:"name"`
	Paid   escrow.Tokens `json:"paid"`
	Billed escrow.Tokens `json:"billed"`
	Free   escrow.Tokens `json:"free"`
	// Granted is the sum of the outstanding tokens of Grants. Spent is the sum of the tokens
	// that their holders have reported as spent.
	Granted escrow.Tokens `json:"granted"`
	Spent   escrow.Tokens `json:"spent"`
	Grants  []GrantReply  `json:"grants"`
}

// GrantReply is an open grant.
type GrantReply struct {
	ID          escrow.GrantID `json:"id"`
	Place       fleet.Place    `json:"place"`
	Holder      fleet.NodeID   `json:"holder"`
	Amount      escrow.Tokens  `json:"amount"`
	Outstanding escrow.Tokens  `json:"outstanding"`
	Spent       escrow.Tokens  `json:"spent"`
	Settling    bool           `json:"settling,omitempty"`
	// Doubt is why a settling grant is not settled yet.
	Doubt string `json:"doubt,omitempty"`
}

// NodeReply is a live process and its last reported load.
type NodeReply struct {
	fleet.Node
	Config  uint64 `json:"config"`
	Lags    bool   `json:"lags,omitempty"`
	Running int    `json:"running,omitempty"`
	Waiting int    `json:"waiting,omitempty"`
}

// StatusReply is the status of the fleet.
type StatusReply struct {
	Version     uint64      `json:"version"`
	Environment string      `json:"environment"`
	Control     raft.Status `json:"control"`
	Nodes       []NodeReply `json:"nodes"`
	// Lagging lists the entries in which an older version is in force.
	Lagging []fleet.NodeID `json:"lagging"`
	// Doubts lists the settling grants.
	Doubts []GrantReply `json:"doubts"`
}

// DrainRequest requests that a process drains and shuts down.
type DrainRequest struct {
	Node fleet.NodeID `json:"node"`
}

// ReplaceRequest requests that a lost control host is removed from the group once a
// host that has joined can replace it.
type ReplaceRequest struct {
	Lost raft.MemberID `json:"lost"`
}

// ReplaceReply reports the progress of a replacement. It is complete once the group can
// lose any one host and still has a quorum.
type ReplaceReply struct {
	Complete bool           `json:"complete"`
	Message  string         `json:"message"`
	Members  []raft.Member  `json:"members"`
	Addr     netip.AddrPort `json:"-"`
}

// OrderRequest sends an order to an engine through its agent.
type OrderRequest struct {
	ID     string       `json:"id"`
	Agent  fleet.NodeID `json:"agent"`
	Action string       `json:"action"`
	Name   string       `json:"name"`
}

// OrderReply reports whether the engine accepted the order.
type OrderReply struct {
	Number  uint64 `json:"number"`
	Done    bool   `json:"done"`
	Message string `json:"message,omitempty"`
}

// Failure is the body of a response that reports an error.
type Failure struct {
	Status  int    `json:"-"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Error implements error.
func (f *Failure) Error() string { return f.Message }
