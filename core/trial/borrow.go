package trial

import (
	"fmt"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
)

// maxRetries bounds the tries of a request whose grant was fenced meanwhile.
const maxRetries = 3

// Reserve implements Policy: at the home entry of the place, else at homes in
// other places that can be reached.
func (p *Escrow) Reserve(r *Request, done func(bool)) {
	e := p.entries[r.Entry]
	p.reserveAt(r, e, p.holders(r, e), done)
}

// holders lists where to ask, in order.
func (p *Escrow) holders(r *Request, e *escrowEntry) []*escrowEntry {
	if p.opts.PerEntry {
		return []*escrowEntry{e}
	}
	out := []*escrowEntry{p.home(r.Customer, e.place)}
	if p.opts.NoPeers {
		return out
	}
	for place := range p.w.Setup.Places {
		if place != e.place && p.w.Reach(place, e.place) {
			if h := p.home(r.Customer, place); h != nil {
				out = append(out, h)
			}
		}
	}
	return out
}

// home is the live entry of a place that holds for a customer.
func (p *Escrow) home(customer, place int) *escrowEntry {
	var ids []fleet.NodeID
	byID := map[fleet.NodeID]*escrowEntry{}
	for _, e := range p.entries {
		if e.place == place && p.up(e) {
			ids = append(ids, e.id)
			byID[e.id] = e
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return byID[fleet.Rendezvous(p.w.Setup.Customers[customer].Name, ids)[0]]
}

func (p *Escrow) reserveAt(r *Request, e *escrowEntry, from []*escrowEntry, done func(bool)) {
	if len(from) == 0 {
		done(false)
		return
	}
	h := from[0]
	id := fmt.Sprintf("%d/%d/%s", r.ID, r.retries, h.id)
	life := h.life
	finished := false
	verdict := func(v escrow.Verdict) {
		if finished {
			return
		}
		finished = true
		if len(v.Parts) == 0 {
			p.reserveAt(r, e, from[1:], done)
			return
		}
		p.dispatch(r, e, h, id, v.Parts, done)
	}
	trip := time.Duration(0)
	if h != e {
		trip = peerTrip
	}
	p.w.After(trip, func() {
		if h.life != life || !p.up(h) {
			verdict(escrow.Verdict{ID: id})
			return
		}
		h.waiting[id] = verdict
		p.act(h, func(now time.Time, fx *escrow.Effects) {
			h.holder.Reserve(now, escrow.Request{
				ID: id, Customer: p.w.Setup.Customers[r.Customer].Name, Worst: r.Worst, Borrower: e.id,
			}, fx)
		})
	})
	// The caller of a holder that dies meanwhile asks the next one.
	p.w.After(3*time.Second, func() { verdict(escrow.Verdict{ID: id}) })
}

// dispatch opens the charge at an agent of the place.
func (p *Escrow) dispatch(r *Request, e, h *escrowEntry, id string, parts []escrow.Part, done func(bool)) {
	if !p.up(e) {
		return
	}
	a := p.agentFor(e.place)
	err := a.meter.Begin(escrow.Charge{Key: id, Attempt: 1, Parts: parts})
	if err != nil {
		p.refusedByAgent(r, e, h, id, parts, done)
		return
	}
	p.jobs[r.ID] = &escrowJob{entry: e, life: e.life, holder: h, id: id, agent: a}
	done(true)
}

// refusedByAgent tries again when a grant was fenced meanwhile.
func (p *Escrow) refusedByAgent(r *Request, e, h *escrowEntry, id string, parts []escrow.Part, done func(bool)) {
	p.act(h, func(now time.Time, fx *escrow.Effects) {
		h.holder.Release(now, id, 0, fx)
		for _, part := range parts {
			h.holder.Fenced(now, part.Grant, fx)
		}
	})
	r.retries++
	if r.retries > maxRetries {
		done(false)
		return
	}
	p.reserveAt(r, e, p.holders(r, e), done)
}

func (p *Escrow) agentFor(place int) *escrowAgent {
	n := 0
	for _, a := range p.agents {
		if a.place == place {
			n++
		}
	}
	pick := p.w.Rand.IntN(n)
	for _, a := range p.agents {
		if a.place != place {
			continue
		}
		if pick == 0 {
			return a
		}
		pick--
	}
	return nil
}

// Release implements Policy: the run ends at its agent; its entry, if it still
// lives, books it at agent and holder.
func (p *Escrow) Release(r *Request, used escrow.Tokens) {
	j := p.jobs[r.ID]
	delete(p.jobs, r.ID)
	j.agent.meter.Use(j.id, 1, used)
	j.agent.meter.End(j.id, 1)
	if j.entry.life != j.life || !p.up(j.entry) {
		return
	}
	j.agent.meter.Ack(j.id, 1, used)
	p.act(j.holder, func(now time.Time, fx *escrow.Effects) { j.holder.holder.Release(now, j.id, used, fx) })
}
