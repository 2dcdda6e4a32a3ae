package ledger_test

import (
	"slices"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/runs"
)

// book voids the earlier attempts one by one, then books at the agent, then
// releases at the holder.
func (w *world) book(e *entryNode, j *job, used escrow.Tokens) {
	id := runs.ID{Customer: j.customer, Key: j.key}
	if len(j.earlier) > 0 && !j.unbilled {
		a := j.earlier[0]
		w.send(e.name(), a.name(), func() {
			voided := a.book.Void(id)
			w.waive(a, j.key, voided)
			w.send(a.name(), e.name(), func() {
				if len(j.earlier) == 0 || j.earlier[0] != a || e.frozen {
					return
				}
				j.earlier = j.earlier[1:]
				j.unbilled = !voided
				w.book(e, j, used)
			})
		})
		return
	}
	if j.unbilled {
		used = 0
	}
	a, life := j.agent, j.life
	w.send(e.name(), a.name(), func() {
		if a.id != life {
			return
		}
		billed := a.book.Ack(id, j.attempt, used)
		w.waive(a, j.key, billed == 0)
		w.send(a.name(), e.name(), func() {
			if _, ok := e.jobs[j.id]; ok {
				w.finish(e, j, billed)
			}
		})
	})
}

func (w *world) waive(a *agentNode, key string, waived bool) {
	for _, tr := range w.truth {
		if tr.agent == a.id && tr.key == key {
			tr.waived = tr.waived || waived
		}
	}
}

// beat carries fences to an agent and its reports back.
func (w *world) beat(a *agentNode) {
	life := a.id
	for _, g := range a.fences {
		r := a.meter.Fence(g.ID)
		if slices.Contains(g.Witnesses, a.id) {
			r.Witness, r.Watermark = true, a.witness.Fence(g)
		}
		w.send(a.name(), control, func() {
			if w.reports[r.Grant] == nil {
				w.reports[r.Grant] = map[fleet.NodeID]escrow.Report{}
			}
			if old, ok := w.reports[r.Grant][r.Agent]; !ok || !old.Done() {
				w.reports[r.Grant][r.Agent] = r
			}
		})
	}
	unknown := a.meter.Unknown()
	w.send(a.name(), control, func() {
		settling, floor := w.ledger.Settling(), w.ledger.Floor()
		open := map[escrow.GrantID]bool{}
		for _, id := range unknown {
			g, ok := w.ledger.Grants[id]
			open[id] = ok && !g.Settling
		}
		w.send(control, a.name(), func() {
			if a.id != life {
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

// settle is the leader's duty.
func (w *world) settle() {
	for _, g := range w.ledger.Settling() {
		if p, ok := w.ledger.Assess(g.ID, w.reports[g.ID]); ok {
			w.ledger.Advance(p)
		}
	}
}

// made is what the engines truly made on a customer's account.
func (w *world) made(customer string) escrow.Tokens {
	var sum escrow.Tokens
	for _, tr := range w.truth {
		if tr.customer == customer && !tr.waived {
			sum += tr.made
		}
	}
	return sum
}

// madeOn is what the engines truly made on each grant.
func (w *world) madeOn() map[escrow.GrantID]escrow.Tokens {
	out := map[escrow.GrantID]escrow.Tokens{}
	for _, tr := range w.truth {
		if tr.waived {
			continue
		}
		for _, p := range escrow.Split(tr.parts, tr.made) {
			out[p.Grant] += p.Amount
		}
	}
	return out
}
