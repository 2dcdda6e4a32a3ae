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
	p.reserveAt(r, e, p.candidates(r, e), done)
}

// ask is a holder to ask, at once or with waiting.
type candidate struct {
	holder *escrowEntry
	wait   bool
}

// holders lists where to ask, in order: the place's holders, its home again if
// that can still ask control, homes in other places, and the home at last.
func (p *Escrow) candidates(r *Request, e *escrowEntry) []candidate {
	if p.opts.PerEntry {
		return []candidate{{e, true}}
	}
	local := p.rankedEntries(r.Customer, e.place)
	var out []candidate
	for _, h := range local {
		out = append(out, candidate{h, false})
	}
	for place := range p.sim.Setup.Places {
		if place == e.place || p.opts.NoPeers || !p.sim.Reachable(place, e.place) {
			continue
		}
		if remote := p.rankedEntries(r.Customer, place); len(remote) > 0 {
			out = append(out, candidate{remote[0], false})
		}
	}
	if len(local) > 0 {
		out = append(out, candidate{local[0], true})
	}
	return out
}

// unfilled puts the home before the other places where it can still be filled.
func nextCandidates(candidates []candidate, v escrow.Result) []candidate {
	rest := candidates[1:]
	if v.Reason != escrow.ReasonUnfilled || len(rest) == 0 || !rest[len(rest)-1].wait {
		return rest
	}
	home := rest[len(rest)-1]
	if home.holder != candidates[0].holder {
		return rest
	}
	return append([]candidate{home}, rest[:len(rest)-1]...)
}

// ranked lists the live entries of a place, the customer's home first.
func (p *Escrow) rankedEntries(customer, place int) []*escrowEntry {
	var ids []fleet.NodeID
	byID := map[fleet.NodeID]*escrowEntry{}
	for _, e := range p.entries {
		if e.place == place && p.alive(e) {
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

func (p *Escrow) reserveAt(r *Request, e *escrowEntry, candidates []candidate, done func(bool)) {
	if len(candidates) == 0 {
		done(false)
		return
	}
	h := candidates[0].holder
	id := fmt.Sprintf("%d/%d/%d/%s", r.ID, r.retries, len(candidates), h.id)
	incarnation := h.incarnation
	finished := false
	finish := func(v escrow.Result) {
		if finished {
			p.releaseLate(h, incarnation, v)
			return
		}
		finished = true
		if len(v.Parts) == 0 {
			p.reserveAt(r, e, nextCandidates(candidates, v), done)
			return
		}
		p.startCharge(r, e, h, id, v.Parts, done)
	}
	trip := time.Duration(0)
	if h != e {
		trip = peerRoundTrip
	}
	p.sim.After(trip, func() {
		if h.incarnation != incarnation || !p.alive(h) {
			finish(escrow.Result{ID: id})
			return
		}
		h.waiting[id] = finish
		p.apply(h, func(now time.Time, fx *escrow.Effects) {
			h.holder.Reserve(now, escrow.Request{
				ID: id, Customer: p.sim.Setup.Customers[r.Customer].Name, Worst: r.Worst, Borrower: e.id, NoWait: !candidates[0].wait,
			}, fx)
		})
	})
	// The caller of a holder that dies meanwhile asks the next one.
	p.sim.After(3*time.Second, func() { finish(escrow.Result{ID: id}) })
}

// releaseLate releases what was granted after the entry had stopped waiting.
func (p *Escrow) releaseLate(h *escrowEntry, incarnation int, v escrow.Result) {
	if len(v.Parts) > 0 && h.incarnation == incarnation {
		p.apply(h, func(now time.Time, fx *escrow.Effects) { h.holder.Release(now, v.ID, 0, fx) })
	}
}

// startCharge opens the charge at an agent of the place.
func (p *Escrow) startCharge(r *Request, e, h *escrowEntry, id string, parts []escrow.Part, done func(bool)) {
	if !p.alive(e) {
		return
	}
	a := p.pickAgent(e.place)
	err := a.meter.Begin(escrow.Charge{Key: id, Attempt: 1, Parts: parts})
	if err != nil {
		p.retryFenced(r, e, h, id, parts, done)
		return
	}
	p.reservations[r.ID] = &escrowReservation{entry: e, incarnation: e.incarnation, holder: h, id: id, agent: a}
	done(true)
}

// retryFenced tries again when a grant was fenced meanwhile.
func (p *Escrow) retryFenced(r *Request, e, h *escrowEntry, id string, parts []escrow.Part, done func(bool)) {
	p.apply(h, func(now time.Time, fx *escrow.Effects) {
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
	p.reserveAt(r, e, p.candidates(r, e), done)
}

func (p *Escrow) pickAgent(place int) *escrowAgent {
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
	res := p.reservations[r.ID]
	delete(p.reservations, r.ID)
	res.agent.meter.Use(res.id, 1, used)
	res.agent.meter.End(res.id, 1)
	if res.entry.incarnation != res.incarnation || !p.alive(res.entry) {
		return
	}
	res.agent.meter.Ack(res.id, 1, used)
	p.apply(res.holder, func(now time.Time, fx *escrow.Effects) { res.holder.holder.Release(now, res.id, used, fx) })
}
