package trial

import (
	"fmt"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
)

// maxRetries bounds the tries of a request whose grant was fenced meanwhile.
const maxRetries = 3

// Reserve implements Policy: what some holder has at hand is taken first; else
// the home entry of the place is asked to get more.
func (p *Escrow) Reserve(r *Request, done func(bool)) {
	e := p.entries[r.Entry]
	p.reserveAt(r, e, p.holders(r, e), done)
}

// ask is a holder to ask, at once or with waiting.
type ask struct {
	holder *escrowEntry
	wait   bool
}

// holders lists where to ask, in order: the place's holders, its home again if
// that can still ask control, homes in other places, and the home at last.
func (p *Escrow) holders(r *Request, e *escrowEntry) []ask {
	if p.opts.PerEntry {
		return []ask{{e, true}}
	}
	near := p.ranked(r.Customer, e.place)
	var out []ask
	for _, h := range near {
		out = append(out, ask{h, false})
	}
	for place := range p.sim.Setup.Places {
		if place == e.place || p.opts.NoPeers || !p.sim.Reachable(place, e.place) {
			continue
		}
		if far := p.ranked(r.Customer, place); len(far) > 0 {
			out = append(out, ask{far[0], false})
		}
	}
	if len(near) > 0 {
		out = append(out, ask{near[0], true})
	}
	return out
}

// unfilled puts the home before the other places where it can still be filled.
func unfilled(from []ask, v escrow.Result) []ask {
	rest := from[1:]
	if v.Reason != escrow.ReasonUnfilled || len(rest) == 0 || !rest[len(rest)-1].wait {
		return rest
	}
	home := rest[len(rest)-1]
	if home.holder != from[0].holder {
		return rest
	}
	return append([]ask{home}, rest[:len(rest)-1]...)
}

// ranked lists the live entries of a place, the customer's home first.
func (p *Escrow) ranked(customer, place int) []*escrowEntry {
	var ids []fleet.NodeID
	byID := map[fleet.NodeID]*escrowEntry{}
	for _, e := range p.entries {
		if e.place == place && p.up(e) {
			ids = append(ids, e.id)
			byID[e.id] = e
		}
	}
	var out []*escrowEntry
	for _, id := range fleet.Rendezvous(p.sim.Setup.Customers[customer].Name, ids) {
		out = append(out, byID[id])
	}
	return out
}

func (p *Escrow) reserveAt(r *Request, e *escrowEntry, from []ask, done func(bool)) {
	if len(from) == 0 {
		done(false)
		return
	}
	h := from[0].holder
	id := fmt.Sprintf("%d/%d/%d/%s", r.ID, r.retries, len(from), h.id)
	life := h.life
	finished := false
	verdict := func(v escrow.Result) {
		if finished {
			p.giveBack(h, life, v)
			return
		}
		finished = true
		if len(v.Parts) == 0 {
			p.reserveAt(r, e, unfilled(from, v), done)
			return
		}
		p.dispatch(r, e, h, id, v.Parts, done)
	}
	trip := time.Duration(0)
	if h != e {
		trip = peerTrip
	}
	p.sim.After(trip, func() {
		if h.life != life || !p.up(h) {
			verdict(escrow.Result{ID: id})
			return
		}
		h.waiting[id] = verdict
		p.act(h, func(now time.Time, fx *escrow.Effects) {
			h.holder.Reserve(now, escrow.Request{
				ID: id, Customer: p.sim.Setup.Customers[r.Customer].Name, Worst: r.Worst, Borrower: e.id, NoWait: !from[0].wait,
			}, fx)
		})
	})
	// The caller of a holder that dies meanwhile asks the next one.
	p.sim.After(3*time.Second, func() { verdict(escrow.Result{ID: id}) })
}

// giveBack releases what was granted after the entry had stopped waiting.
func (p *Escrow) giveBack(h *escrowEntry, life int, v escrow.Result) {
	if len(v.Parts) > 0 && h.life == life {
		p.act(h, func(now time.Time, fx *escrow.Effects) { h.holder.Release(now, v.ID, 0, fx) })
	}
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
	pick := p.sim.Rand.IntN(n)
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
