package trial

import (
	"fmt"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
)

// maxRetries is the number of retries of a request whose grant was fenced before
// its charge started.
const maxRetries = 3

// Reserve implements Policy. It first asks for tokens that a holder already has.
// If none has enough, it waits at the home entry of the place, which asks control
// for more.
func (p *Escrow) Reserve(r *Request, done func(bool)) {
	e := p.entries[r.Entry]
	p.reserveAt(r, e, p.candidates(r, e), done)
}

// candidate is a holder to borrow from. If wait is set, the request waits there
// for further tokens; otherwise the holder replies immediately.
type candidate struct {
	holder *escrowEntry
	wait   bool
}

// candidates returns the holders to ask, in order: the holders of the place, the
// homes in other places, and finally the home of the place with waiting.
// nextCandidates moves that home forward if it can still get tokens from control.
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

// nextCandidates returns the candidates after the first one, which has replied
// with result. If the first one is the home and has too few tokens but has not asked
// control yet, it comes next again, with waiting, before the other holders.
func nextCandidates(candidates []candidate, result escrow.Result) []candidate {
	rest := candidates[1:]
	if result.Reason != escrow.ReasonUnfilled || len(rest) == 0 || !rest[len(rest)-1].wait {
		return rest
	}
	home := rest[len(rest)-1]
	if home.holder != candidates[0].holder {
		return rest
	}
	return append([]candidate{home}, rest[:len(rest)-1]...)
}

// rankedEntries returns the live entries of a place, the customer's home first.
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

// reserveAt reserves the request's tokens at the first candidate and continues
// with the next one if that holder does not grant them.
func (p *Escrow) reserveAt(r *Request, e *escrowEntry, candidates []candidate, done func(bool)) {
	if len(candidates) == 0 {
		done(false)
		return
	}
	h := candidates[0].holder
	id := fmt.Sprintf("%d/%d/%d/%s", r.ID, r.retries, len(candidates), h.id)
	incarnation := h.incarnation
	finished := false
	finish := func(result escrow.Result) {
		if finished {
			p.releaseLate(h, incarnation, result)
			return
		}
		finished = true
		if len(result.Parts) == 0 {
			p.reserveAt(r, e, nextCandidates(candidates, result), done)
			return
		}
		p.startCharge(r, e, h, id, result.Parts, done)
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
	// If the holder does not reply in time, for example because it has died, the
	// entry asks the next candidate.
	p.sim.After(3*time.Second, func() { finish(escrow.Result{ID: id}) })
}

// releaseLate releases a reservation that was granted after the entry had stopped
// waiting for it.
func (p *Escrow) releaseLate(h *escrowEntry, incarnation int, result escrow.Result) {
	if len(result.Parts) > 0 && h.incarnation == incarnation {
		p.apply(h, func(now time.Time, fx *escrow.Effects) { h.holder.Release(now, result.ID, 0, fx) })
	}
}

// startCharge starts the charge of a reserved request at an agent of the place.
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

// retryFenced retries a request whose charge an agent has refused because one of
// its grants is fenced.
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

// pickAgent returns a random agent of a place.
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

// Release implements Policy. The run ends at its agent. If the entry is still in
// the same incarnation, it acknowledges the use at the agent and the holder.
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
