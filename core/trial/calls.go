package trial

import (
	"slices"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/ledger"
)

// act feeds an input to an entry's holder and carries its messages.
func (p *Escrow) act(e *escrowEntry, f func(now time.Time, fx *escrow.Effects)) {
	if !p.up(e) {
		return
	}
	var fx escrow.Effects
	f(p.sim.Now, &fx)
	life := e.life
	later := func(d time.Duration, g func(now time.Time, fx *escrow.Effects)) {
		p.sim.After(d, func() {
			if e.life == life {
				p.act(e, g)
			}
		})
	}
	for _, v := range fx.Results {
		if done, ok := e.waiting[v.ID]; ok {
			delete(e.waiting, v.ID)
			done(v)
		}
	}
	for _, c := range fx.Claims {
		p.claim(e, c, later)
	}
	p.toLedger(e, fx, later)
	for _, c := range fx.Searches {
		p.search(e, c, later)
	}
}

type laterFunc func(d time.Duration, g func(now time.Time, fx *escrow.Effects))

func (p *Escrow) claim(e *escrowEntry, c escrow.Claim, later laterFunc) {
	i := slices.IndexFunc(p.agents, func(a *escrowAgent) bool { return a.id == c.Witness })
	if !p.sim.Reachable(e.place, p.agents[i].place) {
		return
	}
	reply := p.agents[i].witness.Claim(c)
	later(claimTrip, func(now time.Time, fx *escrow.Effects) { e.holder.OnClaim(now, reply, fx) })
}

func (p *Escrow) toLedger(e *escrowEntry, fx escrow.Effects, later laterFunc) {
	if len(fx.Refills)+len(fx.Spends)+len(fx.Closes) == 0 {
		return
	}
	if !p.sim.ControlReachable(e.place) {
		p.ledgerAway(e, fx, later)
		return
	}
	p.sim.CountCall()
	for _, s := range fx.Spends {
		p.ledger.Spend(s)
	}
	for _, c := range fx.Closes {
		p.ledger.Close(c)
	}
	for _, r := range fx.Refills {
		r.Away = p.away()
		answer := p.ledger.Open(r)
		p.recall(answer.Recalls)
		p.noteDenial(e, answer)
		later(controlTrip, func(now time.Time, fx *escrow.Effects) {
			if answer.Grant != nil {
				e.holder.AddGrant(now, answer.Seq, *answer.Grant, fx)
				return
			}
			e.holder.Deny(now, *answer.Denial, fx)
		})
	}
}

func (p *Escrow) away() []fleet.NodeID {
	var out []fleet.NodeID
	for _, e := range p.entries {
		if !p.up(e) || !p.sim.ControlReachable(e.place) {
			out = append(out, e.id)
		}
	}
	return out
}

func (p *Escrow) noteDenial(e *escrowEntry, a ledger.Answer) {
	if a.Denial == nil {
		return
	}
	if p.denied[e.id] == nil {
		p.denied[e.id] = map[string]escrow.Tokens{}
	}
	p.denied[e.id][a.Denial.Customer] = a.Denial.Free
}

// ledgerAway lets refills fail after their timeout and sends closes later.
func (p *Escrow) ledgerAway(e *escrowEntry, fx escrow.Effects, later laterFunc) {
	for _, r := range fx.Refills {
		later(time.Second, func(now time.Time, fx *escrow.Effects) { e.holder.RefillFailed(now, r.Customer, fx) })
	}
	if len(fx.Closes) == 0 {
		return
	}
	closes := slices.Clone(fx.Closes)
	later(2*time.Second, func(_ time.Time, fx *escrow.Effects) { fx.Closes = append(fx.Closes, closes...) })
}

// recall reaches the holders with their next beat.
func (p *Escrow) recall(ids []escrow.GrantID) {
	for _, id := range ids {
		g, ok := p.ledger.Grants[id]
		if !ok {
			continue
		}
		for _, e := range p.entries {
			if e.id == g.Grant.Holder && p.sim.ControlReachable(e.place) {
				p.sim.After(beatTime/2, func() {
					p.act(e, func(now time.Time, fx *escrow.Effects) { e.holder.Recall(now, id, fx) })
				})
			}
		}
	}
}

// search takes over what dead holders left at the agents of the place.
func (p *Escrow) search(e *escrowEntry, customer string, later laterFunc) {
	if p.opts.NoTakeover {
		return
	}
	for _, a := range p.agents {
		if a.place != e.place {
			continue
		}
		for _, g := range a.witness.Grants(customer, placeName(e.place)) {
			if p.holderUp(g.Holder) {
				continue
			}
			later(claimTrip, func(now time.Time, fx *escrow.Effects) { e.holder.TakeOver(now, g, fx) })
		}
	}
}
