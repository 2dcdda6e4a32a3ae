package escrow

import (
	"maps"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Recall asks to give back grants of a customer that are not in use, so that
// another place can have their rest. The newest demand keeps what it needs.
func (h *Holder) Recall(now time.Time, id GrantID, fx *Effects) {
	g, ok := h.grants[id]
	if !ok || now.Sub(g.since) < h.opts.RecallHold {
		return
	}
	g.close(now, fx)
	h.closeDone(h.purse(g.grant.Customer, now), fx)
}

// Drain gives all grants back as soon as their reservations have ended.
func (h *Holder) Drain(now time.Time, fx *Effects) {
	h.draining = true
	for _, c := range slices.Sorted(maps.Keys(h.purses)) {
		p := h.purses[c]
		for _, g := range p.grants {
			g.close(now, fx)
		}
		h.closeDone(p, fx)
	}
}

// Drained tells whether nothing is held any more.
func (h *Holder) Drained() bool {
	return h.draining && len(h.grants) == 0
}

// BorrowerLost says that an entry is taken for dead. What it used is only known
// at the agents, so the ledger settles the grants that it had loans of.
func (h *Holder) BorrowerLost(now time.Time, borrower fleet.NodeID, fx *Effects) {
	if borrower == h.self {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(h.reservations)) {
		r := h.reservations[id]
		if r.borrower == borrower {
			h.Abandon(now, id, fx)
		}
	}
}

// Abandon gives up on a reservation whose use can't be found out here. Its
// tokens stay locked until its grants end, which the ledger then settles from
// the agents' reports.
func (h *Holder) Abandon(now time.Time, id string, fx *Effects) {
	r, ok := h.reservations[id]
	if !ok {
		return
	}
	delete(h.reservations, id)
	for _, part := range r.parts {
		g := h.grants[part.Grant]
		g.stuck += part.Amount
		g.shared = true
	}
	h.closeDone(h.purse(r.customer, now), fx)
}

// Fenced says that an agent refused a grant that the ledger is settling. What
// is reserved stays until its requests end; nothing new is reserved from it.
func (h *Holder) Fenced(now time.Time, id GrantID, fx *Effects) {
	g, ok := h.grants[id]
	if !ok {
		return
	}
	g.lost = true
	g.shared = true
	g.close(now, fx)
	h.closeDone(h.purse(g.grant.Customer, now), fx)
}

func (h *Holder) closeDone(p *purse, fx *Effects) {
	p.grants = slices.DeleteFunc(p.grants, func(g *held) bool {
		if !g.done() {
			h.confine(g, fx)
			return false
		}
		delete(h.grants, g.grant.ID)
		fx.Closes = append(fx.Closes, Close{
			Grant: g.grant.ID, Holder: h.self, Spent: g.spent,
			Final: !g.shared && g.ballot == FirstBallot(g.grant),
		})
		return true
	})
}

// confine gives the unreserved rest of a closing grant back early.
func (h *Holder) confine(g *held, fx *Effects) {
	if !g.closing || g.confined || g.shared || g.claiming() {
		return
	}
	g.confined = true
	fx.Closes = append(fx.Closes, Close{Grant: g.grant.ID, Holder: h.self, Spent: g.spent, Open: g.reserved, Final: true})
}
