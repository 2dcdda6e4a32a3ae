package state

import (
	"fmt"

	"dotterelgap/core/fleet"
)

// Order requests the next fencing number for orders to an agent's engine.
type Order struct {
	Agent fleet.NodeID `cbor:"agent"`
	// ID identifies the request, so that a retry gets the same number.
	ID string `cbor:"id"`
}

// OrderRecord is the latest order number issued for the address of an agent's engine.
type OrderRecord struct {
	Number uint64 `cbor:"number"`
	ID     string `cbor:"id"`
}

func (m *Machine) order(o Order) (uint64, error) {
	a, ok := m.Ledger.Agents[o.Agent]
	if !ok {
		return 0, &UnknownAgentError{Agent: o.Agent}
	}
	addr := a.Node.Addr.String()
	if r := m.Orders[addr]; r.ID == o.ID && r.Number > 0 {
		return r.Number, nil
	}
	m.NextOrder++
	m.Orders[addr] = OrderRecord{Number: m.NextOrder, ID: o.ID}
	return m.NextOrder, nil
}

// UnknownAgentError is returned for an agent that has not joined.
type UnknownAgentError struct {
	Agent fleet.NodeID
}

// Error implements error.
func (e *UnknownAgentError) Error() string {
	return fmt.Sprintf("agent %q has not joined", e.Agent)
}
