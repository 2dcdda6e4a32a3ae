package state

import (
	"fmt"

	"dotterelgap/core/fleet"
)

// Order asks for the next fencing number for orders to an agent's engine.
type Order struct {
	Agent fleet.NodeID `cbor:"agent"`
	// ID makes a resent request get the same number.
	ID string `cbor:"id"`
}

// OrderRecord is the newest order number of an agent's engine address.
type OrderRecord struct {
	Number uint64 `cbor:"number"`
	ID     string `cbor:"id"`
}

func (m *Machine) order(o Order) (uint64, error) {
	a, ok := m.Ledger.Agents[o.Agent]
	if !ok {
		return 0, &UnknownAgentError{Agent: o.Agent}
	}
	slot := a.Node.Addr.String()
	if r := m.Orders[slot]; r.ID == o.ID && r.Number > 0 {
		return r.Number, nil
	}
	m.NextOrder++
	m.Orders[slot] = OrderRecord{Number: m.NextOrder, ID: o.ID}
	return m.NextOrder, nil
}

// UnknownAgentError says that no such agent has joined.
type UnknownAgentError struct {
	Agent fleet.NodeID
}

// Error implements error.
func (e *UnknownAgentError) Error() string {
	return fmt.Sprintf("agent %q has not joined", e.Agent)
}
