package trial

import (
	"slices"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/ledger"
)

// act feeds an input to an entry's holder and carries its messages.
func (p *Escrow) apply(e *escrowEntry, f func(now time.Time, fx *escrow.Effects)) {
	if !p.alive(e) {
		return
	}
	var fx escrow.Effects
	f(p.sim.Now, &fx)
	incarnation := e.incarnation
	schedule := func(d time.Duration, g func(now time.Time, fx *escrow.Effects)) {
		p.sim.After(d, func() {
			if e.incarnation == incarnation {
				p.apply(e, g)
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
		p.sendClaim(e, c, schedule)
	}
	p.sendToLedger(e, fx, schedule)
	for _, c := range fx.Searches {
		p.takeOverGrants(e, c, schedule)
	}
}

type scheduleFunc func(d time.Duration, g func(now time.Time, fx *escrow.Effects))

func (p *Escrow) sendClaim(e *escrowEntry, c escrow.Claim, schedule scheduleFunc) {
	i := slices.IndexFunc(p.agents, func(a *escrowAgent) bool { return a.id == c.Witness })
	if !p.sim.Reachable(e.place, p.agents[i].place) {
		return
	}
	reply := p.agents[i].witness.Claim(c)
	schedule(claimRoundTrip, func(now time.Time, fx *escrow.Effects) { e.holder.OnClaim(now, reply, fx) })
}

func (p *Escrow) sendToLedger(e *escrowEntry, fx escrow.Effects, schedule scheduleFunc) {
	if len(fx.Refills)+len(fx.Spends)+len(fx.Closes) == 0 {
		return
	}
	if !p.sim.ControlReachable(e.place) {
		p.failRefills(e, fx, schedule)
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
		r.Away = p.unreachableHolders()
		answer := p.ledger.Open(r)
		p.sendRecalls(answer.Recalls)
		p.recordDenial(e, answer)
		schedule(controlRoundTrip, func(now time.Time, fx *escrow.Effects) {
			if answer.Grant != nil {
				e.holder.AddGrant(now, answer.Seq, *answer.Grant, fx)
				return
			}
			e.holder.Deny(now, *answer.Denial, fx)
		})
	}
}

func (p *Escrow) unreachableHolders() []fleet.NodeID {
	var out []fleet.NodeID
	for _, e := range p.entries {
		if !p.alive(e) || !p.sim.ControlReachable(e.place) {
			out = append(out, e.id)
		}
	}
	return out
}

func (p *Escrow) recordDenial(e *escrowEntry, a ledger.Answer) {
	if a.Denial == nil {
		return
	}
	if p.denied[e.id] == nil {
		p.denied[e.id] = map[string]escrow.Tokens{}
	}
	p.denied[e.id][a.Denial.Customer] = a.Denial.Free
}

// failRefills lets refills fail after their timeout and sends closes later.
func (p *Escrow) failRefills(e *escrowEntry, fx escrow.Effects, schedule scheduleFunc) {
	for _, r := range fx.Refills {
		schedule(time.Second, func(now time.Time, fx *escrow.Effects) { e.holder.RefillFailed(now, r.Customer, fx) })
	}
	if len(fx.Closes) == 0 {
		return
	}
	closes := slices.Clone(fx.Closes)
	schedule(2*time.Second, func(_ time.Time, fx *escrow.Effects) { fx.Closes = append(fx.Closes, closes...) })
}

// recall reaches the holders with their next beat.
func (p *Escrow) sendRecalls(ids []escrow.GrantID) {
	for _, id := range ids {
		g, ok := p.ledger.Grants[id]
		if !ok {
			continue
		}
		for _, e := range p.entries {
			if e.id == g.Grant.Holder && p.sim.ControlReachable(e.place) {
				p.sim.After(heartbeatInterval/2, func() {
					p.apply(e, func(now time.Time, fx *escrow.Effects) { e.holder.Recall(now, id, fx) })
				})
			}
		}
	}
}

// search takes over what dead holders left at the agents of the place.
func (p *Escrow) takeOverGrants(e *escrowEntry, customer string, schedule scheduleFunc) {
	if p.opts.NoTakeover {
		return
	}
	for _, a := range p.agents {
		if a.place != e.place {
			continue
		}
		for _, g := range a.witness.Grants(customer, placeName(e.place)) {
			if p.holderAlive(g.Holder) {
				continue
			}
			schedule(claimRoundTrip, func(now time.Time, fx *escrow.Effects) { e.holder.TakeOver(now, g, fx) })
		}
	}
}
