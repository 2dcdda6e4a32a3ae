package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
)

// NodeID identifies one incarnation of a process.
type NodeID string

// Place is the name of a data centre, as given in the settings.
type Place string

// Role is the role of a process in the system.
type Role string

// The roles of the processes that send heartbeats to the control group.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Node describes a process of the system, as sent in its heartbeats.
type Node struct {
	ID    NodeID         `cbor:"id" json:"id"`
	Role  Role           `cbor:"role" json:"role"`
	Place Place          `cbor:"place" json:"place"`
	Addr  netip.AddrPort `cbor:"addr" json:"addr"`
	// Service is the service that the agent's upstream provides; empty for entries.
	Service string `cbor:"service" json:"service,omitempty"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `cbor:"slots" json:"slots,omitempty"`
	// Draining is set once the process has been ordered to shut down.
	Draining bool `cbor:"draining" json:"draining,omitempty"`
}

// NewNodeID returns a random id for a new incarnation of a process.
func NewNodeID(role Role, rnd *rand.Rand) NodeID {
	return NodeID(fmt.Sprintf("%s-%012x", role, rnd.Uint64()>>16))
}
