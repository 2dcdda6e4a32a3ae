package escrow

import (
	"maps"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Recall closes a grant that the ledger recalls, so that another place can use
// the rest. Grants that have been held for less than RecallHold are kept, since
// the latest demand needs them.
func (h *Holder) Recall(now time.Time, id GrantID, fx *Effects) {
	g, ok := h.grants[id]
	if !ok || now.Sub(g.since) < h.opts.RecallHold {
		return
	}
	g.close(now, fx)
	h.closeDone(h.allocation(g.grant.Customer, now), fx)
}

// Drain closes all grants and returns each one when its reservations have ended.
func (h *Holder) Drain(now time.Time, fx *Effects) {
	h.draining = true
	for _, c := range slices.Sorted(maps.Keys(h.allocations)) {
		a := h.allocations[c]
		for _, g := range a.grants {
			g.close(now, fx)
		}
		h.closeDone(a, fx)
	}
}

// Drained reports whether the holder is draining and has no grants left.
func (h *Holder) Drained() bool {
	return h.draining && len(h.grants) == 0
}

// BorrowerLost abandons the reservations of an entry that is presumed dead. Only
// the agents know what it used, so the ledger settles the grants that it had
// loans from.
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

// Abandon drops a reservation whose use the holder can't determine. Its tokens
// stay locked until its grants are closed; the ledger then settles them from the
// agents' reports.
func (h *Holder) Abandon(now time.Time, id string, fx *Effects) {
	r, ok := h.reservations[id]
	if !ok {
		return
	}
	delete(h.reservations, id)
	for _, part := range r.parts {
		g := h.grants[part.Grant]
		g.abandoned += part.Amount
		g.shared = true
	}
	h.closeDone(h.allocation(r.customer, now), fx)
}

// Fenced handles an agent's refusal of a grant that the ledger is settling.
// Reserved tokens stay reserved until their requests end; nothing more is
// reserved from the grant.
func (h *Holder) Fenced(now time.Time, id GrantID, fx *Effects) {
	g, ok := h.grants[id]
	if !ok {
		return
	}
	g.lost = true
	g.shared = true
	g.close(now, fx)
	h.closeDone(h.allocation(g.grant.Customer, now), fx)
}

// closeDone returns finished grants to the ledger, and the unreserved rest of
// closing ones.
func (h *Holder) closeDone(a *allocation, fx *Effects) {
	a.grants = slices.DeleteFunc(a.grants, func(g *heldGrant) bool {
		if !g.done() {
			h.returnRest(g, fx)
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

// returnRest returns the unreserved rest of a closing grant before its
// reservations have ended.
func (h *Holder) returnRest(g *heldGrant, fx *Effects) {
	if !g.closing || g.restReturned || g.shared || g.claiming() {
		return
	}
	g.restReturned = true
	fx.Closes = append(fx.Closes, Close{Grant: g.grant.ID, Holder: h.self, Spent: g.spent, Open: g.reserved, Final: true})
}
