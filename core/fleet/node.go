package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
)

// NodeID names one life (incarnation) of one process.
type NodeID string

// Place is the name of a data centre, as written in the settings.
type Place string

// Role says what a process does.
type Role string

// The roles of the processes that announce themselves to the control group.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Node describes a process of the system as it announces itself.
type Node struct {
	ID    NodeID         `cbor:"id" json:"id"`
	Role  Role           `cbor:"role" json:"role"`
	Place Place          `cbor:"place" json:"place"`
	Addr  netip.AddrPort `cbor:"addr" json:"addr"`
	// Service is the service that the agent's upstream serves; empty for entries.
	Service string `cbor:"service" json:"service,omitempty"`
	// Slots is the number of requests that the upstream runs at once.
	Slots int `cbor:"slots" json:"slots,omitempty"`
	// Draining is set once the process has been told to leave.
	Draining bool `cbor:"draining" json:"draining,omitempty"`
}

// NewNodeID returns a fresh id for one life of a process.
func NewNodeID(role Role, rnd *rand.Rand) NodeID {
	return NodeID(fmt.Sprintf("%s-%012x", role, rnd.Uint64()>>16))
}
