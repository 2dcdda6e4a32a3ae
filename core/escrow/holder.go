package escrow

import (
	"maps"
	"math"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Holder is the state machine with which an entry reserves tokens for requests
// from the grants that it holds.
type Holder struct {
	self         fleet.NodeID
	place        fleet.Place
	opts         Options
	allocations  map[string]*allocation
	grants       map[GrantID]*heldGrant
	reservations map[string]*reservation
	draining     bool
	reportedAt   time.Time
}

type reservation struct {
	customer string
	borrower fleet.NodeID
	parts    []Part
}

// NewHolder returns a holder without grants for an entry in a place.
func NewHolder(self fleet.NodeID, place fleet.Place, opts Options) *Holder {
	return &Holder{
		self:         self,
		place:        place,
		opts:         opts,
		allocations:  map[string]*allocation{},
		grants:       map[GrantID]*heldGrant{},
		reservations: map[string]*reservation{},
	}
}

// Reserve requests the worst-case tokens of an attempt. The result is emitted
// immediately or with a later input. A repeated ID gets the same parts again.
func (h *Holder) Reserve(now time.Time, req Request, fx *Effects) {
	if r, ok := h.reservations[req.ID]; ok {
		fx.Results = append(fx.Results, Result{ID: req.ID, Parts: r.parts})
		return
	}
	a := h.allocation(req.Customer, now)
	if h.draining {
		fx.Results = append(fx.Results, Result{ID: req.ID, Reason: ReasonUnreachable})
		return
	}
	if req.NoWait && a.available()-a.waitingTotal() < req.Worst {
		fx.Results = append(fx.Results, Result{ID: req.ID, Reason: a.noWaitReason()})
		return
	}
	a.waiting = append(a.waiting, waitingRequest{req: req, deadline: now.Add(h.opts.WaitLimit)})
	if a.denied && req.Worst <= a.deniedFree {
		a.nextRefill = now
	}
	h.serve(now, a, fx)
}

// Release ends a reservation: the used tokens are spent and the rest is free
// again. Release is idempotent and ignores unknown reservations. If the request
// is still waiting, Release drops it.
func (h *Holder) Release(now time.Time, id string, used Tokens, fx *Effects) {
	r, ok := h.reservations[id]
	if !ok {
		h.dropWaiting(id)
		return
	}
	delete(h.reservations, id)
	spent := Split(r.parts, used)
	for i, part := range r.parts {
		g := h.grants[part.Grant]
		g.reserved -= part.Amount
		g.spent += spent[i].Amount
	}
	a := h.allocation(r.customer, now)
	a.rate.Add(now, float64(used))
	h.serve(now, a, fx)
	h.closeDone(a, fx)
}

// dropWaiting drops a waiting request whose caller is gone.
func (h *Holder) dropWaiting(id string) {
	for _, a := range h.allocations {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waitingRequest) bool { return w.req.ID == id })
	}
}

// AddGrant adds the grant that the ledger opened for refill seq.
func (h *Holder) AddGrant(now time.Time, seq uint64, g Grant, fx *Effects) {
	a := h.allocation(g.Customer, now)
	if seq != a.seq || g.Holder != h.self || g.ID <= a.latest {
		return
	}
	a.recordReply(now)
	a.latest = g.ID
	h.hold(a, newHeldGrant(g))
	a.stockAtGrant = a.available()
	if h.draining {
		h.grants[g.ID].close(now, fx)
	}
	h.serve(now, a, fx)
}

// TakeOver tries to take over the unclaimed rest of a dead holder's grant.
func (h *Holder) TakeOver(now time.Time, g Grant, fx *Effects) {
	if _, ok := h.grants[g.ID]; ok || h.draining || len(g.Witnesses) == 0 {
		return
	}
	held := newHeldGrant(g)
	h.hold(h.allocation(g.Customer, now), held)
	held.prepare(now, FirstBallot(g).Round+1, h.self, fx)
}

func (h *Holder) hold(a *allocation, g *heldGrant) {
	h.grants[g.grant.ID] = g
	a.grants = append(a.grants, g)
}

// Deny applies the ledger's denial of a refill.
func (h *Holder) Deny(now time.Time, d Denial, fx *Effects) {
	a := h.allocation(d.Customer, now)
	if d.Seq != a.seq {
		return
	}
	a.recordReply(now)
	a.denied = true
	a.deniedFree = d.Free
	a.recalling = d.Recalling
	a.nextRefill = now.Add(h.opts.DeniedRetry)
	h.serve(now, a, fx)
}

// Funded records that the ledger has more tokens for a customer than when it
// denied the last refill.
func (h *Holder) Funded(now time.Time, customer string, fx *Effects) {
	a, ok := h.allocations[customer]
	if !ok || !a.denied {
		return
	}
	a.denied = false
	a.recalling = false
	a.nextRefill = now
	h.serve(now, a, fx)
}

// RefillFailed records that a refill got no reply. The holder resends it with
// the same Seq, since the ledger may have opened the grant.
func (h *Holder) RefillFailed(now time.Time, customer string, fx *Effects) {
	a := h.allocation(customer, now)
	a.refillPending = false
	a.denied = false
	a.ledgerUnreachable = true
	a.nextRefill = now.Add(h.opts.RefillInterval)
	h.serve(now, a, fx)
}

// OnClaim applies a witness's reply to a claim.
func (h *Holder) OnClaim(now time.Time, r ClaimReply, fx *Effects) {
	g, ok := h.grants[r.Grant]
	if !ok {
		return
	}
	a := h.allocation(g.grant.Customer, now)
	g.handleReply(now, r, fx)
	h.serve(now, a, fx)
	h.closeDone(a, fx)
}

// Tick retries claims and refills, expires waiting requests and reports spends.
// Call it every 50 ms to 1 s.
func (h *Holder) Tick(now time.Time, fx *Effects) {
	regular := now.Sub(h.reportedAt) >= h.opts.ReportInterval || now.Before(h.reportedAt)
	if regular {
		h.reportedAt = now
	}
	for _, c := range slices.Sorted(maps.Keys(h.allocations)) {
		a := h.allocations[c]
		for _, g := range a.grants {
			h.retryClaim(now, a, g, fx)
		}
		h.serve(now, a, fx)
		h.expire(now, a, fx)
		if regular {
			h.reportSpends(now, a, fx)
		}
		h.closeDone(a, fx)
	}
}

func (h *Holder) retryClaim(now time.Time, a *allocation, g *heldGrant, fx *Effects) {
	switch {
	case !g.claiming() || now.Sub(g.sentAt) < h.opts.ClaimRetry:
	case now.Sub(g.claimStartedAt) >= h.opts.ClaimGiveUp:
		g.giveUp(a.ledgerUnreachable)
	default:
		g.send(now, fx)
	}
}

// serve fills waiting requests from the free tokens, in order, and claims or
// requests more.
func (h *Holder) serve(now time.Time, a *allocation, fx *Effects) {
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		parts := a.allocate(w.req.Worst)
		if parts == nil {
			kept = append(kept, w)
			continue
		}
		h.reservations[w.req.ID] = &reservation{customer: a.customer, borrower: w.req.Borrower, parts: parts}
		fx.Results = append(fx.Results, Result{ID: w.req.ID, Parts: parts})
	}
	a.waiting = kept
	a.claimMore(now, h.opts, fx)
	h.refill(now, a, false, fx)
	h.refuseUnfillable(a, fx)
}

// refuseUnfillable refuses waiting requests that can't be filled any more: the
// ledger has no tokens left, none are recalled from other holders, and the
// reservations held here would not free enough.
func (h *Holder) refuseUnfillable(a *allocation, fx *Effects) {
	if !a.denied || a.recalling {
		return
	}
	potential := a.potential()
	a.waiting = slices.DeleteFunc(a.waiting, func(w waitingRequest) bool {
		if w.req.Worst <= potential {
			return false
		}
		fx.Results = append(fx.Results, Result{ID: w.req.ID, Reason: ReasonExhausted})
		return true
	})
}

// expire refuses the requests that have waited for longer than WaitLimit.
func (h *Holder) expire(now time.Time, a *allocation, fx *Effects) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w waitingRequest) bool {
		if now.Before(w.deadline) {
			return false
		}
		fx.Results = append(fx.Results, Result{ID: w.req.ID, Reason: a.refusalReason()})
		return true
	})
}

func (h *Holder) refill(now time.Time, a *allocation, regular bool, fx *Effects) {
	if h.draining || a.refillPending || now.Before(a.nextRefill) {
		return
	}
	have := a.available()
	need := a.shortfall(have)
	rate := a.rate.PerSecond(now)
	stock := Tokens(math.Ceil(rate * h.opts.Horizon.Seconds()))
	if need == 0 && (a.denied || !a.needsRefill(have, stock, h.opts.RefillBelow, regular)) {
		return
	}
	a.refillPending = true
	fx.Refills = append(fx.Refills, Refill{
		Holder: h.self, Place: h.place, Customer: a.customer, Seq: a.seq, Latest: a.latest,
		Rate: rate, Have: have, Need: need, Want: max(a.waitingTotal()-have, 0), Horizon: h.opts.Horizon.Seconds(),
	})
	if a.ledgerUnreachable && need > 0 {
		fx.Searches = append(fx.Searches, a.customer)
	}
}

func (h *Holder) reportSpends(now time.Time, a *allocation, fx *Effects) {
	h.refill(now, a, true, fx)
	for _, g := range a.grants {
		if g.spent == g.reported {
			continue
		}
		g.reported = g.spent
		fx.Spends = append(fx.Spends, Spend{Grant: g.grant.ID, Holder: h.self, Spent: g.spent})
	}
}

func (h *Holder) allocation(customer string, now time.Time) *allocation {
	a, ok := h.allocations[customer]
	if !ok {
		a = newAllocation(customer, now, h.opts)
		h.allocations[customer] = a
	}
	return a
}

// Balance is a customer's tokens at a holder.
type Balance struct {
	Free     Tokens `json:"free"`
	Reserved Tokens `json:"reserved"`
	Spent    Tokens `json:"spent"`
}

// Balance returns the sum over the customer's open grants.
func (h *Holder) Balance(customer string) Balance {
	a, ok := h.allocations[customer]
	if !ok {
		return Balance{}
	}
	var b Balance
	for _, g := range a.grants {
		b.Free += g.available()
		b.Reserved += g.reserved
		b.Spent += g.spent
	}
	return b
}
