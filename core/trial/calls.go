package trial

import (
	"slices"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/ledger"
)

// apply runs an input f on the holder of a live entry and delivers the holder's
// messages.
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
	for _, result := range fx.Results {
		if done, ok := e.waiting[result.ID]; ok {
			delete(e.waiting, result.ID)
			done(result)
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

// scheduleFunc schedules an input to the holder after d. The input is dropped if
// the entry has a new incarnation by then.
type scheduleFunc func(d time.Duration, g func(now time.Time, fx *escrow.Effects))

// sendClaim sends a claim to its witness if the entry can reach it.
func (p *Escrow) sendClaim(e *escrowEntry, c escrow.Claim, schedule scheduleFunc) {
	i := slices.IndexFunc(p.agents, func(a *escrowAgent) bool { return a.id == c.Witness })
	if !p.sim.Reachable(e.place, p.agents[i].place) {
		return
	}
	reply := p.agents[i].witness.Claim(c)
	schedule(claimRoundTrip, func(now time.Time, fx *escrow.Effects) { e.holder.OnClaim(now, reply, fx) })
}

// sendToLedger sends spends, closes and refills to control in one call.
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

// unreachableHolders returns the holders that are dead or that control can't
// reach.
func (p *Escrow) unreachableHolders() []fleet.NodeID {
	var out []fleet.NodeID
	for _, e := range p.entries {
		if !p.alive(e) || !p.sim.ControlReachable(e.place) {
			out = append(out, e.id)
		}
	}
	return out
}

// recordDenial records how many tokens were free when a refill was denied, for
// notifyFunded.
func (p *Escrow) recordDenial(e *escrowEntry, a ledger.Answer) {
	if a.Denial == nil {
		return
	}
	if p.denied[e.id] == nil {
		p.denied[e.id] = map[string]escrow.Tokens{}
	}
	p.denied[e.id][a.Denial.Customer] = a.Denial.Free
}

// failRefills handles messages to an unreachable control. Refills fail after their
// timeout of one second, closes are resent after two seconds, and spends are
// dropped.
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

// sendRecalls sends recalls to the holders. They arrive after half the heartbeat
// interval, the mean wait for the next heartbeat.
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

// takeOverGrants takes over the grants of dead holders that the agents of the place
// know of.
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
