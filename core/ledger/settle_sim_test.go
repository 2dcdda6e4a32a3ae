package ledger_test

import (
	"slices"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/runs"
)

// bill voids the earlier attempts one by one, acknowledges the charge at the
// agent, and then releases the reservation at the holder.
func (s *simulation) bill(e *entryNode, j *job, used escrow.Tokens) {
	id := runs.ID{Customer: j.customer, Key: j.key}
	if len(j.earlier) > 0 && !j.unbilled {
		a := j.earlier[0]
		s.send(e.name(), a.name(), func() {
			voided := a.machine.Void(id)
			s.markVoided(a, j.key, voided)
			s.send(a.name(), e.name(), func() {
				if len(j.earlier) == 0 || j.earlier[0] != a || e.frozen {
					return
				}
				j.earlier = j.earlier[1:]
				j.unbilled = !voided
				s.bill(e, j, used)
			})
		})
		return
	}
	if j.unbilled {
		used = 0
	}
	a, incarnation := j.agent, j.incarnation
	s.send(e.name(), a.name(), func() {
		if a.id != incarnation {
			return
		}
		billed := a.machine.Ack(id, j.attempt, used)
		s.markVoided(a, j.key, billed == 0)
		s.send(a.name(), e.name(), func() {
			if _, ok := e.jobs[j.id]; ok {
				s.finish(e, j, billed)
			}
		})
	})
}

func (s *simulation) markVoided(a *agentNode, key string, voided bool) {
	for _, run := range s.engineRuns {
		if run.agent == a.id && run.key == key {
			run.voided = run.voided || voided
		}
	}
}

// heartbeat sends an agent's reports to the control group. The reply contains the
// grants to fence.
func (s *simulation) heartbeat(a *agentNode) {
	incarnation := a.id
	for _, g := range a.fences {
		r := a.meter.Fence(g.ID)
		if slices.Contains(g.Witnesses, a.id) {
			r.Witness, r.Watermark = true, a.witness.Fence(g)
		}
		s.send(a.name(), control, func() {
			if s.reports[r.Grant] == nil {
				s.reports[r.Grant] = map[fleet.NodeID]escrow.Report{}
			}
			if old, ok := s.reports[r.Grant][r.Agent]; !ok || !old.Done() {
				s.reports[r.Grant][r.Agent] = r
			}
		})
	}
	unknown := a.meter.Unknown()
	s.send(a.name(), control, func() {
		settling, floor := s.ledger.Settling(), s.ledger.Floor()
		open := map[escrow.GrantID]bool{}
		for _, id := range unknown {
			g, ok := s.ledger.Grants[id]
			open[id] = ok && !g.Settling
		}
		s.send(control, a.name(), func() {
			if a.id != incarnation {
				return
			}
			a.fences = settling
			for id, ok := range open {
				a.meter.Confirm(id, ok)
			}
			a.meter.SetFloor(floor)
			a.witness.SetFloor(floor)
		})
	})
}

// settle assesses all settling grants, as the leader does.
func (s *simulation) settle() {
	for _, g := range s.ledger.Settling() {
		if p, ok := s.ledger.Assess(g.ID, s.reports[g.ID]); ok {
			s.ledger.Advance(p)
		}
	}
}

// generatedFor returns the tokens that the engines actually generated for a
// customer, without voided runs.
func (s *simulation) generatedFor(customer string) escrow.Tokens {
	var sum escrow.Tokens
	for _, run := range s.engineRuns {
		if run.customer == customer && !run.voided {
			sum += run.generated
		}
	}
	return sum
}

// generatedByGrant returns the tokens that the engines actually generated on each
// grant, without voided runs.
func (s *simulation) generatedByGrant() map[escrow.GrantID]escrow.Tokens {
	out := map[escrow.GrantID]escrow.Tokens{}
	for _, run := range s.engineRuns {
		if run.voided {
			continue
		}
		for _, p := range escrow.Split(run.parts, run.generated) {
			out[p.Grant] += p.Amount
		}
	}
	return out
}
