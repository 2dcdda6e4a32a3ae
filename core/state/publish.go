package state

import (
	"time"

	"dotterelgap/core/quota"
)

// Published is a routing policy as its operator wrote it.
type Published struct {
	Number uint64 `cbor:"number"`
	Data   []byte `cbor:"data"`
}

// publish puts a policy in force if its number is the highest, and returns the
// number in force.
func (m *Machine) publish(p Publish) uint64 {
	if p.Number <= m.Policy.Number {
		return m.Policy.Number
	}
	m.Policy = Published{Number: p.Number, Data: p.Data}
	m.Quota.SetPrepaid(p.Prepaid)
	return p.Number
}

// account takes in a holder's statement.
func (m *Machine) account(at time.Time, s quota.Statement) Result {
	answers := m.Quota.Apply(at, s)
	return Result{Allowances: answers, Ended: !s.Left && m.Quota.Ended(s.Holder)}
}
