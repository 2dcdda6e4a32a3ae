package state

import "dotterelgap/core/quota"

// Published is a routing policy, encoded by the node that received it from the operator.
type Published struct {
	Number uint64 `cbor:"number"`
	Data   []byte `cbor:"data"`
}

// publish puts a policy in force if its number is the highest. It returns the number of
// the policy in force, and whether this call put it in force.
func (m *Machine) publish(p Publish) (number uint64, accepted bool) {
	if p.Number <= m.Policy.Number {
		return m.Policy.Number, false
	}
	m.Policy = Published{Number: p.Number, Data: p.Data}
	m.Quota.SetPrepaid(p.Prepaid)
	return p.Number, true
}

// recordStatement records a holder's statement in the quota ledger.
func (m *Machine) recordStatement(at quota.Timestamp, s quota.Statement) Result {
	allowances, recorded := m.Quota.Apply(at, s)
	return Result{Allowances: allowances, NotRecorded: !recorded, Ended: !s.Left && m.Quota.Ended(s.Holder)}
}

// timestamp returns when, and by which leader, the command was proposed.
func (c Command) timestamp() quota.Timestamp {
	return quota.Timestamp{At: c.At, Term: c.Term, By: c.By}
}
