package state

import "dotterelgap/core/quota"

// Published is a routing policy, packed by the node that its operator sent it to.
type Published struct {
	Number uint64 `cbor:"number"`
	Data   []byte `cbor:"data"`
}

// publish puts a policy in force if its number is the highest. It returns the
// number in force, and whether the policy is the one that was put in force now.
func (m *Machine) publish(p Publish) (number uint64, accepted bool) {
	if p.Number <= m.Policy.Number {
		return m.Policy.Number, false
	}
	m.Policy = Published{Number: p.Number, Data: p.Data}
	m.Quota.SetPrepaid(p.Prepaid)
	return p.Number, true
}

// account takes in a holder's statement.
func (m *Machine) account(at quota.Timestamp, s quota.Statement) Result {
	answers, booked := m.Quota.Apply(at, s)
	return Result{Allowances: answers, NotRecorded: !booked, Ended: !s.Left && m.Quota.Ended(s.Holder)}
}

// moment is when the command was proposed.
func (c Command) moment() quota.Timestamp {
	return quota.Timestamp{At: c.At, Term: c.Term, By: c.By}
}
