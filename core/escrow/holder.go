package escrow

import (
	"maps"
	"math"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Holder is the machine of one entry that reserves tokens for requests out of
// the grants that it holds.
type Holder struct {
	self         fleet.NodeID
	place        fleet.Place
	opts         Options
	purses       map[string]*purse
	grants       map[GrantID]*held
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
		purses:       map[string]*purse{},
		grants:       map[GrantID]*held{},
		reservations: map[string]*reservation{},
	}
}

// Reserve asks for the worst case of an attempt. The verdict may come at once
// or with a later input. A repeated ID gets the same parts again.
func (h *Holder) Reserve(now time.Time, req Request, fx *Effects) {
	if r, ok := h.reservations[req.ID]; ok {
		fx.Results = append(fx.Results, Result{ID: req.ID, Parts: r.parts})
		return
	}
	p := h.purse(req.Customer, now)
	if h.draining {
		fx.Results = append(fx.Results, Result{ID: req.ID, Reason: ReasonUnreachable})
		return
	}
	if req.NoWait && p.ahead()-p.wanted() < req.Worst {
		fx.Results = append(fx.Results, Result{ID: req.ID, Reason: p.reasonAtHand()})
		return
	}
	p.waiting = append(p.waiting, waiting{req: req, deadline: now.Add(h.opts.WaitLimit)})
	if p.denied && req.Worst <= p.deniedFree {
		p.nextRefill = now
	}
	h.serve(now, p, fx)
}

// Release ends a reservation: used tokens are spent, the rest is free again.
// Releasing twice, or an unknown reservation, changes nothing.
func (h *Holder) Release(now time.Time, id string, used Tokens, fx *Effects) {
	r, ok := h.reservations[id]
	if !ok {
		h.forget(id)
		return
	}
	delete(h.reservations, id)
	spent := Split(r.parts, used)
	for i, part := range r.parts {
		g := h.grants[part.Grant]
		g.reserved -= part.Amount
		g.spent += spent[i].Amount
	}
	p := h.purse(r.customer, now)
	p.rate.Add(now, float64(used))
	h.serve(now, p, fx)
	h.closeDone(p, fx)
}

// forget drops a request that still waits, since its caller is gone.
func (h *Holder) forget(id string) {
	for _, p := range h.purses {
		p.waiting = slices.DeleteFunc(p.waiting, func(w waiting) bool { return w.req.ID == id })
	}
}

// AddGrant takes in the grant that the ledger opened for refill seq.
func (h *Holder) AddGrant(now time.Time, seq uint64, g Grant, fx *Effects) {
	p := h.purse(g.Customer, now)
	if seq != p.seq || g.Holder != h.self || g.ID <= p.latest {
		return
	}
	p.answered(now)
	p.latest = g.ID
	h.hold(p, newHeld(g))
	p.stocked = p.ahead()
	if h.draining {
		h.grants[g.ID].close(now, fx)
	}
	h.serve(now, p, fx)
}

// TakeOver tries to hold the unclaimed rest of a dead holder's grant.
func (h *Holder) TakeOver(now time.Time, g Grant, fx *Effects) {
	if _, ok := h.grants[g.ID]; ok || h.draining || len(g.Witnesses) == 0 {
		return
	}
	held := newHeld(g)
	h.hold(h.purse(g.Customer, now), held)
	held.prepare(now, FirstBallot(g).Round+1, h.self, fx)
}

func (h *Holder) hold(p *purse, g *held) {
	h.grants[g.grant.ID] = g
	p.grants = append(p.grants, g)
}

// Deny takes in the ledger's answer that there is nothing more to grant.
func (h *Holder) Deny(now time.Time, d Denial, fx *Effects) {
	p := h.purse(d.Customer, now)
	if d.Seq != p.seq {
		return
	}
	p.answered(now)
	p.denied = true
	p.deniedFree = d.Free
	p.recalling = d.Recalling
	p.nextRefill = now.Add(h.opts.AskAgain)
	h.serve(now, p, fx)
}

// Funded says that the ledger has more for a customer than when it denied.
func (h *Holder) Funded(now time.Time, customer string, fx *Effects) {
	p, ok := h.purses[customer]
	if !ok || !p.denied {
		return
	}
	p.denied = false
	p.recalling = false
	p.nextRefill = now
	h.serve(now, p, fx)
}

// RefillFailed says that no answer to a refill came. It is asked again with the
// same number, since the ledger may have opened the grant.
func (h *Holder) RefillFailed(now time.Time, customer string, fx *Effects) {
	p := h.purse(customer, now)
	p.asking = false
	p.denied = false
	p.cutOff = true
	p.nextRefill = now.Add(h.opts.RefillInterval)
	h.serve(now, p, fx)
}

// OnClaim takes in a witness's answer.
func (h *Holder) OnClaim(now time.Time, r ClaimReply, fx *Effects) {
	g, ok := h.grants[r.Grant]
	if !ok {
		return
	}
	p := h.purse(g.grant.Customer, now)
	g.onReply(now, r, fx)
	h.serve(now, p, fx)
	h.closeDone(p, fx)
}

// Tick retries claims and refills, ends waits and reports spends. Calling it
// every 50 ms to 1 s is enough.
func (h *Holder) Tick(now time.Time, fx *Effects) {
	regular := now.Sub(h.reportedAt) >= h.opts.ReportInterval || now.Before(h.reportedAt)
	if regular {
		h.reportedAt = now
	}
	for _, c := range slices.Sorted(maps.Keys(h.purses)) {
		p := h.purses[c]
		for _, g := range p.grants {
			h.retryClaim(now, p, g, fx)
		}
		h.serve(now, p, fx)
		h.expire(now, p, fx)
		if regular {
			h.report(now, p, fx)
		}
		h.closeDone(p, fx)
	}
}

func (h *Holder) retryClaim(now time.Time, p *purse, g *held, fx *Effects) {
	switch {
	case !g.claiming() || now.Sub(g.sentAt) < h.opts.ClaimRetry:
	case now.Sub(g.askedAt) >= h.opts.ClaimGiveUp:
		g.giveUp(p.cutOff)
	default:
		g.send(now, fx)
	}
}

// serve gives waiting requests what there is, in order, and asks for more.
func (h *Holder) serve(now time.Time, p *purse, fx *Effects) {
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		parts := p.allocate(w.req.Worst)
		if parts == nil {
			kept = append(kept, w)
			continue
		}
		h.reservations[w.req.ID] = &reservation{customer: p.customer, borrower: w.req.Borrower, parts: parts}
		fx.Results = append(fx.Results, Result{ID: w.req.ID, Parts: parts})
	}
	p.waiting = kept
	p.claimMore(now, h.opts, fx)
	h.refill(now, p, false, fx)
	h.refuseHopeless(p, fx)
}

// refuseHopeless refuses requests for which waiting can bring nothing: the
// ledger has no more, no other holder is asked, and nothing here comes free.
func (h *Holder) refuseHopeless(p *purse, fx *Effects) {
	if !p.denied || p.recalling {
		return
	}
	coming := p.coming()
	p.waiting = slices.DeleteFunc(p.waiting, func(w waiting) bool {
		if w.req.Worst <= coming {
			return false
		}
		fx.Results = append(fx.Results, Result{ID: w.req.ID, Reason: ReasonExhausted})
		return true
	})
}

func (h *Holder) expire(now time.Time, p *purse, fx *Effects) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w waiting) bool {
		if now.Before(w.deadline) {
			return false
		}
		fx.Results = append(fx.Results, Result{ID: w.req.ID, Reason: p.reason()})
		return true
	})
}

func (h *Holder) refill(now time.Time, p *purse, regular bool, fx *Effects) {
	if h.draining || p.asking || now.Before(p.nextRefill) {
		return
	}
	have := p.ahead()
	need := p.lacks(have)
	rate := p.rate.PerSecond(now)
	stock := Tokens(math.Ceil(rate * h.opts.Horizon.Seconds()))
	if need == 0 && (p.denied || !p.low(have, stock, h.opts.RefillBelow, regular)) {
		return
	}
	p.asking = true
	fx.Refills = append(fx.Refills, Refill{
		Holder: h.self, Place: h.place, Customer: p.customer, Seq: p.seq, Latest: p.latest,
		Rate: rate, Have: have, Need: need, Want: max(p.wanted()-have, 0), Horizon: h.opts.Horizon.Seconds(),
	})
	if p.cutOff && need > 0 {
		fx.Searches = append(fx.Searches, p.customer)
	}
}

func (h *Holder) report(now time.Time, p *purse, fx *Effects) {
	h.refill(now, p, true, fx)
	for _, g := range p.grants {
		if g.spent == g.reported {
			continue
		}
		g.reported = g.spent
		fx.Spends = append(fx.Spends, Spend{Grant: g.grant.ID, Holder: h.self, Spent: g.spent})
	}
}

func (h *Holder) purse(customer string, now time.Time) *purse {
	p, ok := h.purses[customer]
	if !ok {
		p = newPurse(customer, now, h.opts)
		h.purses[customer] = p
	}
	return p
}

// Balance is what the holder has of a customer's tokens.
type Balance struct {
	Free     Tokens `json:"free"`
	Reserved Tokens `json:"reserved"`
	Spent    Tokens `json:"spent"`
}

// Balance returns what is held for a customer in the open grants.
func (h *Holder) Balance(customer string) Balance {
	p, ok := h.purses[customer]
	if !ok {
		return Balance{}
	}
	var b Balance
	for _, g := range p.grants {
		b.Free += g.ahead()
		b.Reserved += g.reserved
		b.Spent += g.spent
	}
	return b
}
