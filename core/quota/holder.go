package quota

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/demand"
	"dotterelgap/core/fleet"
)

// Holder spends from allocations on behalf of one entry.
type Holder struct {
	id          fleet.NodeID
	addr        netip.AddrPort
	opts        Options
	seq         uint64
	heard       uint64
	allocations map[string]*localAllocation
	requests    map[string]reservation
	// customersKnown is set once a policy has named the customers with a prepaid amount.
	customersKnown bool
	sentAt         time.Time
	fullAt         time.Time
	// repliedAt is when the latest reply came.
	repliedAt time.Time
	// pendingSeq is the Seq of the statement that awaits its reply, or 0.
	pendingSeq uint64
	// urgent is set while a statement should be sent as soon as possible.
	urgent    bool
	left      bool
	startedAt time.Time
	// confirmed holds the witnesses of the latest statement that got a reply, proposed
	// those of the statements since, next those of the statements to come.
	confirmed, proposed, next witnessSet
}

type reservation struct {
	customer string
	worst    Tokens
	// begun is set once a part of the response may have been passed on.
	begun bool
	// loan is set if the tokens were borrowed.
	loan bool
}

// NewHolder returns a holder without allocations.
func NewHolder(id fleet.NodeID, addr netip.AddrPort, opts Options, now time.Time) *Holder {
	return &Holder{
		id: id, addr: addr, opts: opts, allocations: map[string]*localAllocation{}, requests: map[string]reservation{},
		repliedAt: now, startedAt: now,
	}
}

// Renew starts a new incarnation after the ledger has ended this one. Requests in
// progress are billed already.
func (h *Holder) Renew(id fleet.NodeID) {
	h.id = id
	h.seq, h.heard, h.pendingSeq = 0, 0, 0
	h.confirmed, h.proposed = witnessSet{}, witnessSet{}
	h.fullAt = time.Time{}
	h.requests = map[string]reservation{}
	for c := range h.allocations {
		h.allocations[c] = &localAllocation{rate: h.allocations[c].rate, waiting: h.allocations[c].waiting, ready: map[string]Tokens{}}
	}
}

// SetCustomers adds the customers that the holder needs allocations for. The spending of customers that
// were never named is not limited.
func (h *Holder) SetCustomers(now time.Time, names []string) {
	h.customersKnown = true
	for _, c := range names {
		if _, ok := h.allocations[c]; !ok {
			h.allocations[c] = &localAllocation{rate: demand.NewRate(h.opts.RateHalfLife, now), waiting: map[string]Tokens{}, ready: map[string]Tokens{}}
			h.urgent = true
		}
	}
}

// SetWitnesses sets the witnesses and the keepers of the statements to come.
func (h *Holder) SetWitnesses(witnesses, keepers []fleet.NodeID) {
	h.next = witnessSet{witnesses: witnesses, keepers: keepers}
}

// witnessSets returns the sets that the ledger may know: the one of the latest reply,
// and the one of the statements since, whose replies may be lost.
func (h *Holder) witnessSets() []witnessSet {
	if h.confirmed.equal(h.proposed) {
		return []witnessSet{h.confirmed}
	}
	return []witnessSet{h.confirmed, h.proposed}
}

// openLimit returns what may be spent after the time without a reply so far, if keepers
// record it.
func (h *Holder) openLimit(now time.Time, alloc *localAllocation) Tokens {
	return h.opts.Opening(now.Sub(h.repliedAt)).limit(alloc.initialLimit, alloc.cutoffLimit, alloc.granted)
}

// openLimitWithoutKeepers returns what may be spent without a record of keepers.
func (h *Holder) openLimitWithoutKeepers(now time.Time, alloc *localAllocation) Tokens {
	if len(h.confirmed.keepers)+len(h.proposed.keepers) == 0 {
		return h.openLimit(now, alloc)
	}
	return h.opts.Opening(now.Sub(h.repliedAt)-h.opts.KeeperLead).limit(alloc.initialLimit, alloc.cutoffLimit, alloc.granted)
}

// limit returns what may be spent in total.
func (h *Holder) limit(now time.Time, alloc *localAllocation) Tokens {
	limit := max(h.openLimitWithoutKeepers(now, alloc), min(h.openLimit(now, alloc), alloc.keeperWatermark))
	if len(h.confirmed.witnesses)+len(h.proposed.witnesses) > 0 {
		limit = min(limit, max(alloc.initialLimit, alloc.watermark))
	}
	return limit
}

// Reserve takes the worst case of a request out of the customer's allocation, or
// returns a *RefusedError. A refused request counts as needed until it is reserved or
// given up.
func (h *Holder) Reserve(now time.Time, id, customer string, worst Tokens) error {
	alloc, ok := h.allocations[customer]
	if !ok && h.customersKnown {
		return nil // no policy of this node has had an amount for the customer
	}
	if !ok || !alloc.known {
		h.urgent = true
		if ok {
			alloc.waiting[id] = worst
		}
		return &RefusedError{Reason: Unknown, Customer: customer, Worst: worst, Age: now.Sub(h.repliedAt)}
	}
	if alloc.unbounded {
		return nil
	}
	alloc.trackLargest(now, worst, h.opts.LargestTTL)
	if alloc.loans >= worst {
		delete(alloc.waiting, id)
		alloc.loans -= worst
		h.requests[id] = reservation{customer: customer, worst: worst, loan: true}
		return nil
	}
	if alloc.spent+alloc.reserved+worst > h.admitLimit(now, alloc) {
		alloc.waiting[id] = worst
		return h.refuse(now, customer, alloc, worst, alloc.reserved)
	}
	delete(alloc.waiting, id)
	alloc.reserved += worst
	h.requests[id] = reservation{customer: customer, worst: worst}
	h.urgent = h.urgent || h.startsLow(now, alloc)
	return nil
}

// refuse returns the error for a request that the limits have no room for beside what is spent and
// what others in progress may still use.
func (h *Holder) refuse(now time.Time, customer string, alloc *localAllocation, worst, others Tokens) error {
	h.urgent = true
	used := alloc.spent + others
	e := &RefusedError{
		RetryIn: h.opensIn(now, alloc, used+worst), Raisable: h.openLimit(now, alloc)-used >= worst,
		Reason: Elsewhere, Customer: customer, Worst: worst, Spent: alloc.spent, Reserved: others,
		CutoffLimit: alloc.cutoffLimit, Granted: alloc.granted, Unspent: alloc.unspent, Age: now.Sub(h.repliedAt), CutOff: now.Sub(h.repliedAt) >= h.opts.CutOff,
	}
	if alloc.unspent < worst {
		e.Reason = Exhausted
	}
	return e
}

// opensStep is the resolution of opensIn.
const opensStep = 100 * time.Millisecond

// opensIn returns the time until a total of tokens opens if no reply comes. It returns 0 if it
// is open now, or never will be.
func (h *Holder) opensIn(now time.Time, alloc *localAllocation, total Tokens) time.Duration {
	if alloc.granted < total {
		return 0
	}
	elapsed := now.Sub(h.repliedAt)
	for in := time.Duration(0); elapsed+in <= h.opts.CutOff+h.opts.GrantOpens; in += opensStep {
		if h.opts.Opening(elapsed+in).limit(alloc.initialLimit, alloc.cutoffLimit, alloc.granted) >= total {
			return in
		}
	}
	return 0
}

// GiveUp ends the wait of a request that was refused, or could not begin.
func (h *Holder) GiveUp(id, customer string) {
	if alloc, ok := h.allocations[customer]; ok {
		delete(alloc.waiting, id)
		delete(alloc.ready, id)
	}
}

// missedTTL is how long the holder keeps asking for the tokens of a refused request. Its caller
// may come back, and a reply may take longer than requests wait.
const missedTTL = time.Second

// Miss ends the wait of a request that was refused though the customer has tokens left.
func (h *Holder) Miss(now time.Time, id, customer string) {
	alloc, ok := h.allocations[customer]
	if !ok {
		return
	}
	if worst := alloc.waiting[id]; worst > 0 {
		alloc.missed, alloc.missedUntil = max(alloc.missedNeed(now), worst), now.Add(missedTTL)
	}
	h.GiveUp(id, customer)
}

// Settle ends a reservation with the tokens that the request used. It is idempotent.
func (h *Holder) Settle(now time.Time, id string, used Tokens) {
	r, ok := h.requests[id]
	if !ok {
		return
	}
	delete(h.requests, id)
	alloc := h.allocations[r.customer]
	used = min(max(used, 0), r.worst)
	alloc.rate.Add(now, float64(used))
	if r.loan {
		alloc.loans += r.worst - used
		return
	}
	delete(alloc.ready, id)
	alloc.reserved -= r.worst
	if r.begun {
		alloc.begun -= r.worst
	}
	alloc.spent += used
}

// demandOver returns the expected demand over a span of time.
func (h *Holder) demandOver(now time.Time, alloc *localAllocation, span time.Duration) Tokens {
	return Tokens(math.Ceil(alloc.rate.PerSecond(now) * span.Seconds()))
}

// largestRequests returns the worst cases of the requests that the cutoff limit must have room
// for: where demand is low, a part of a request would be of no use.
func (h *Holder) largestRequests(now time.Time, alloc *localAllocation) Tokens {
	if now.Sub(alloc.largestAt) > h.opts.LargestTTL {
		return 0
	}
	return Tokens(h.opts.CutoffRequests) * alloc.largest
}

// Urgent reports whether a statement should be sent as soon as possible.
func (h *Holder) Urgent() bool { return h.urgent }

// Due reports whether a statement should be sent now.
func (h *Holder) Due(now time.Time) bool {
	if h.pendingSeq != 0 || h.left {
		return false
	}
	since := now.Sub(h.sentAt)
	return since >= h.opts.Interval || (h.urgent && since >= h.opts.Urgent)
}

// Statement returns the holder's report on its allocations, to be sent to the control
// group. It lowers the limits here first, so that the holder never spends beyond what
// the ledger records from the statement.
func (h *Holder) Statement(now time.Time) Statement {
	h.seq++
	h.pendingSeq = h.seq
	h.sentAt = now
	h.urgent = false
	if h.proposed.equal(h.confirmed) {
		// Only one change of the witnesses is in progress at a time, since raises must
		// reach all sets that the ledger may know.
		h.proposed = h.next
	}
	s := Statement{Witnesses: h.proposed.witnesses, Keepers: h.proposed.keepers, Holder: h.id, Addr: h.addr, Seq: h.seq, Heard: h.heard, Left: h.left, Age: now.Sub(h.startedAt)}
	full := now.Sub(h.fullAt) >= h.opts.FullEvery
	if full {
		h.fullAt = now
	}
	for _, c := range h.customers() {
		if alloc := h.allocations[c]; full || h.left || alloc.changed() || alloc.missedNeed(now) > 0 {
			s.Uses = append(s.Uses, h.usage(now, c, alloc))
		}
	}
	return s
}

func (h *Holder) customers() []string {
	out := make([]string, 0, len(h.allocations))
	for c := range h.allocations {
		out = append(out, c)
	}
	slices.Sort(out)
	return out
}

func (h *Holder) usage(now time.Time, customer string, alloc *localAllocation) Usage {
	used := alloc.spent + alloc.reserved
	alloc.statedSpent, alloc.statedReserved, alloc.statedBegun, alloc.seeded = alloc.spent, alloc.reserved, alloc.begun, false
	u := Usage{Customer: customer, Spent: alloc.spent, Reserved: alloc.reserved, Unbegun: alloc.unbegun(), Need: alloc.need(now), Rate: alloc.rate.PerSecond(now), Largest: alloc.largest}
	if h.left || alloc.recall {
		u.GiveBack = true
		u.Limit = used + u.Need
		if !h.left {
			u.Limit = max(alloc.keep, u.Limit)
		}
		alloc.granted = min(alloc.granted, u.Limit)
	}
	alloc.recall = false
	u.Mark = used + u.Need + max(h.demandOver(now, alloc, h.opts.CutoffHorizon), h.largestRequests(now, alloc))
	u.Start = alloc.spent + alloc.begun + alloc.readyTokens() + h.startAhead(now, alloc)
	if h.left {
		u.Mark, u.Start = used, used
	}
	alloc.cutoffLimit = min(alloc.cutoffLimit, u.Mark, alloc.granted)
	alloc.initialLimit = min(alloc.initialLimit, u.Start, alloc.cutoffLimit)
	return u
}

// HandleReply applies the ledger's reply to the statement with this Seq. It ignores
// replies to earlier statements.
func (h *Holder) HandleReply(now time.Time, seq uint64, allowances []Allowance) {
	if seq != h.pendingSeq {
		return
	}
	h.pendingSeq = 0
	h.heard = seq
	h.repliedAt = now
	h.confirmed = h.proposed
	for _, alloc := range h.allocations {
		alloc.watermark, alloc.keeperWatermark = 0, 0
	}
	for _, a := range allowances {
		alloc, ok := h.allocations[a.Customer]
		if !ok {
			continue
		}
		if !alloc.known && a.Rate > alloc.rate.PerSecond(now) {
			alloc.rate.Seed(now, a.Rate)
			alloc.seeded = true
		}
		alloc.known = true
		alloc.unbounded = a.Unbounded
		alloc.granted, alloc.cutoffLimit, alloc.initialLimit = a.Granted, a.Mark, a.Start
		alloc.recall, alloc.keep, alloc.unspent = a.Recall, a.Keep, a.Unspent
		// Give back immediately what another holder waits for.
		h.urgent = h.urgent || a.Wanted && a.Granted > max(a.Keep, alloc.spent+alloc.reserved+alloc.need(now))
	}
}

// ReplyLost records that no reply to the statement came in time.
func (h *Holder) ReplyLost(seq uint64) {
	if seq == h.pendingSeq {
		h.pendingSeq = 0
		h.fullAt = time.Time{}
	}
}

// Leave makes the next statement the last one, which gives back everything that requests in
// progress don't need. They count as begun.
func (h *Holder) Leave() {
	h.left = true
	for _, alloc := range h.allocations {
		alloc.missed = 0
		alloc.begun = alloc.reserved
	}
	for id, r := range h.requests {
		r.begun = true
		h.requests[id] = r
	}
}

// PendingSeq returns the Seq of the statement that awaits its reply, or 0.
func (h *Holder) PendingSeq() uint64 { return h.pendingSeq }
