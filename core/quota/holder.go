package quota

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/demand"
	"dotterelgap/core/fleet"
)

// Holder spends from allowances on behalf of one entry.
type Holder struct {
	id       fleet.NodeID
	addr     netip.AddrPort
	opts     Options
	seq      uint64
	heard    uint64
	purses   map[string]*purse
	requests map[string]reservation
	sentAt   time.Time
	fullAt   time.Time
	// answeredAt is when the latest answer came.
	answeredAt time.Time
	// asking is the Seq of the statement that waits for its answer, or 0.
	asking uint64
	short  bool
	left   bool
	began  time.Time
	// panel is that of the latest statement that was answered, asked that of the
	// statements since, next that of the coming ones.
	panel, asked, next panel
}

type reservation struct {
	customer string
	worst    Tokens
	// loan is set where the tokens were borrowed.
	loan bool
}

// purse is a holder's allowance of one customer.
type purse struct {
	known     bool
	unbounded bool
	granted   Tokens
	// mark is what the ledger confirmed, or less where a lower one was stated.
	mark Tokens
	// start is the part of mark that may be spent at once, raised what witnesses
	// have recorded since the latest answer, kept what keepers have.
	start    Tokens
	raised   Tokens
	kept     Tokens
	spent    Tokens
	reserved Tokens
	// loans is what was borrowed and is not reserved.
	loans Tokens
	// lending is what another node wants to borrow and no witness knows of yet.
	lending Tokens
	// waiting holds the worst cases of requests that wait for an answer.
	waiting map[string]Tokens
	// recall is set where the ledger wants back what is above keep.
	recall  bool
	keep    Tokens
	unspent Tokens
	rate    demand.Rate
	// seeded is set where the rate was taken over and not stated since.
	seeded bool
	// statedSpent and statedReserved are those of the latest statement.
	statedSpent, statedReserved Tokens
	// largest is the worst case of the largest request since largestAt.
	largest   Tokens
	largestAt time.Time
}

// NewHolder returns a holder without allowances.
func NewHolder(id fleet.NodeID, addr netip.AddrPort, opts Options, now time.Time) *Holder {
	return &Holder{
		id: id, addr: addr, opts: opts, purses: map[string]*purse{}, requests: map[string]reservation{},
		answeredAt: now, began: now,
	}
}

// Renew starts a new life after the ledger has ended this one. Requests in
// progress are billed already.
func (h *Holder) Renew(id fleet.NodeID) {
	h.id = id
	h.seq, h.heard, h.asking = 0, 0, 0
	h.panel, h.asked = panel{}, panel{}
	h.fullAt = time.Time{}
	h.requests = map[string]reservation{}
	for c := range h.purses {
		h.purses[c] = &purse{rate: h.purses[c].rate, waiting: h.purses[c].waiting}
	}
}

// SetCustomers names the customers that allowances are wanted for.
func (h *Holder) SetCustomers(now time.Time, names []string) {
	for _, c := range names {
		if _, ok := h.purses[c]; !ok {
			h.purses[c] = &purse{rate: demand.NewRate(h.opts.RateHalfLife, now), waiting: map[string]Tokens{}}
			h.short = true
		}
	}
}

// SetWitnesses names the witnesses and the keepers of the coming statements.
func (h *Holder) SetWitnesses(witnesses, keepers []fleet.NodeID) {
	h.next = panel{witnesses: witnesses, keepers: keepers}
}

// panels are those that the ledger may know of: that of the latest answer, and
// that of statements since, whose answers may be lost.
func (h *Holder) panels() []panel {
	if h.panel.equal(h.asked) {
		return []panel{h.panel}
	}
	return []panel{h.panel, h.asked}
}

// bound is what a purse may spend by the time that no answer has come for, if a
// keeper records it.
func (h *Holder) bound(now time.Time, p *purse) Tokens {
	return h.opts.Opening(now.Sub(h.answeredAt)).limit(p.start, p.mark, p.granted)
}

// unkept is what a purse may spend without keepers.
func (h *Holder) unkept(now time.Time, p *purse) Tokens {
	if len(h.panel.keepers)+len(h.asked.keepers) == 0 {
		return h.bound(now, p)
	}
	return h.opts.Opening(now.Sub(h.answeredAt)-h.opts.KeeperLead).limit(p.start, p.mark, p.granted)
}

// limit is what a purse may spend in all.
func (h *Holder) limit(now time.Time, p *purse) Tokens {
	limit := max(h.unkept(now, p), min(h.bound(now, p), p.kept))
	if len(h.panel.witnesses)+len(h.asked.witnesses) > 0 {
		limit = min(limit, max(p.start, p.raised))
	}
	return limit
}

// Reserve takes the worst case of a request out of the customer's allowance, or
// returns a *RefusedError. What was refused counts as needed until it is reserved
// or given up.
func (h *Holder) Reserve(now time.Time, id, customer string, worst Tokens) error {
	p, ok := h.purses[customer]
	if !ok || !p.known {
		h.short = true
		if ok {
			p.waiting[id] = worst
		}
		return &RefusedError{Reason: Unknown, Customer: customer, Worst: worst, Age: now.Sub(h.answeredAt)}
	}
	if p.unbounded {
		return nil
	}
	p.noteSize(now, worst, h.opts.LargestLife)
	if p.loans >= worst {
		delete(p.waiting, id)
		p.loans -= worst
		h.requests[id] = reservation{customer: customer, worst: worst, loan: true}
		return nil
	}
	if p.spent+p.reserved+worst > h.limit(now, p) {
		p.waiting[id] = worst
		return h.refuse(now, customer, p, worst)
	}
	delete(p.waiting, id)
	p.reserved += worst
	h.requests[id] = reservation{customer: customer, worst: worst}
	if p.start-p.spent-p.reserved < h.ahead(now, p, h.opts.InitialHorizon)/2 {
		h.short = true
	}
	return nil
}

// noteSize keeps the size of the largest request of late.
func (p *purse) noteSize(now time.Time, worst Tokens, life time.Duration) {
	if worst >= p.largest || now.Sub(p.largestAt) > life {
		p.largest, p.largestAt = worst, now
	}
}

func (h *Holder) refuse(now time.Time, customer string, p *purse, worst Tokens) error {
	h.short = true
	e := &RefusedError{
		RetryIn: h.opensIn(now, p, worst), Raisable: h.bound(now, p)-p.spent-p.reserved >= worst,
		Reason: Elsewhere, Customer: customer, Worst: worst, Spent: p.spent, Reserved: p.reserved,
		Mark: p.mark, Granted: p.granted, Unspent: p.unspent, Age: now.Sub(h.answeredAt), CutOff: now.Sub(h.answeredAt) >= h.opts.CutOff,
	}
	if p.unspent < worst {
		e.Reason = Exhausted
	}
	return e
}

// opensStep is how exactly the time is told at which tokens open.
const opensStep = 100 * time.Millisecond

// opensIn is the time until a request's worst case is open if no answer comes, or 0
// if it is now or will not be.
func (h *Holder) opensIn(now time.Time, p *purse, worst Tokens) time.Duration {
	if p.granted-p.spent-p.reserved < worst {
		return 0
	}
	silent := now.Sub(h.answeredAt)
	for in := time.Duration(0); silent+in <= h.opts.CutOff+h.opts.GrantOpens; in += opensStep {
		if h.opts.Opening(silent+in).limit(p.start, p.mark, p.granted)-p.spent-p.reserved >= worst {
			return in
		}
	}
	return 0
}

// GiveUp says that a request that was refused does not wait any more.
func (h *Holder) GiveUp(id, customer string) {
	if p, ok := h.purses[customer]; ok {
		delete(p.waiting, id)
	}
}

// need is what all waiting requests want.
func (p *purse) need() Tokens {
	var sum Tokens
	for _, n := range p.waiting {
		sum += n
	}
	return sum
}

// Settle ends a reservation with what was used of it. It is harmless to settle
// twice.
func (h *Holder) Settle(now time.Time, id string, used Tokens) {
	r, ok := h.requests[id]
	if !ok {
		return
	}
	delete(h.requests, id)
	p := h.purses[r.customer]
	used = min(max(used, 0), r.worst)
	p.rate.Add(now, float64(used))
	if r.loan {
		p.loans += r.worst - used
		return
	}
	p.reserved -= r.worst
	p.spent += used
}

// ahead is the demand of a span.
func (h *Holder) ahead(now time.Time, p *purse, span time.Duration) Tokens {
	return Tokens(math.Ceil(p.rate.PerSecond(now) * span.Seconds()))
}

// Short tells whether a statement should be sent as soon as may be.
func (h *Holder) Short() bool { return h.short }

// Due tells whether a statement should be sent now.
func (h *Holder) Due(now time.Time) bool {
	if h.asking != 0 || h.left {
		return false
	}
	since := now.Sub(h.sentAt)
	return since >= h.opts.Interval || (h.short && since >= h.opts.Urgent)
}

// Statement returns the holder's word on all its allowances, to be sent to the
// control group. It lowers marks and allowances here first.
func (h *Holder) Statement(now time.Time) Statement {
	h.seq++
	h.asking = h.seq
	h.sentAt = now
	h.short = false
	if h.asked.equal(h.panel) {
		// One change of the witnesses at a time: raises must reach all panels that
		// the ledger may know.
		h.asked = h.next
	}
	s := Statement{Witnesses: h.asked.witnesses, Keepers: h.asked.keepers, Holder: h.id, Addr: h.addr, Seq: h.seq, Heard: h.heard, Left: h.left, Age: now.Sub(h.began)}
	full := now.Sub(h.fullAt) >= h.opts.FullEvery
	if full {
		h.fullAt = now
	}
	for _, c := range h.customers() {
		if p := h.purses[c]; full || h.left || p.changed() {
			s.Uses = append(s.Uses, h.usage(now, c, p))
		}
	}
	return s
}

// changed tells whether the ledger should hear of a customer.
func (p *purse) changed() bool {
	return !p.known || p.recall || p.seeded || len(p.waiting) > 0 || p.spent != p.statedSpent || p.reserved != p.statedReserved
}

func (h *Holder) customers() []string {
	out := make([]string, 0, len(h.purses))
	for c := range h.purses {
		out = append(out, c)
	}
	slices.Sort(out)
	return out
}

func (h *Holder) usage(now time.Time, customer string, p *purse) Usage {
	used := p.spent + p.reserved
	p.statedSpent, p.statedReserved, p.seeded = p.spent, p.reserved, false
	u := Usage{Customer: customer, Spent: p.spent, Reserved: p.reserved, Need: p.need(), Rate: p.rate.PerSecond(now), Largest: p.largest}
	if h.left || p.recall {
		u.GiveBack = true
		u.Limit = used + u.Need
		if !h.left {
			u.Limit = max(p.keep, u.Limit)
		}
		p.granted = min(p.granted, u.Limit)
	}
	p.recall = false
	u.Mark = used + u.Need + h.ahead(now, p, h.opts.CutoffHorizon)
	u.Start = used + u.Need + h.ahead(now, p, h.opts.InitialHorizon)
	if h.left {
		u.Mark, u.Start = used, used
	}
	p.mark = min(p.mark, u.Mark, p.granted)
	p.start = min(p.start, u.Start, p.mark)
	return u
}

// Answered takes in the ledger's answer to the statement with this Seq. Answers
// to earlier statements are passed over.
func (h *Holder) Answered(now time.Time, seq uint64, answers []Allowance) {
	if seq != h.asking {
		return
	}
	h.asking = 0
	h.heard = seq
	h.answeredAt = now
	h.panel = h.asked
	for _, p := range h.purses {
		p.raised, p.kept = 0, 0
	}
	for _, a := range answers {
		p, ok := h.purses[a.Customer]
		if !ok {
			continue
		}
		if !p.known && a.Rate > p.rate.PerSecond(now) {
			p.rate.Seed(now, a.Rate)
			p.seeded = true
		}
		p.known = true
		p.unbounded = a.Unbounded
		p.granted, p.mark, p.start = a.Granted, a.Mark, a.Start
		p.recall, p.keep, p.unspent = a.Recall, a.Keep, a.Unspent
		// What another one waits for is given back at once.
		h.short = h.short || a.Wanted && a.Granted > max(a.Keep, p.spent+p.reserved+p.need())
	}
}

// Lost says that no answer to the statement came in time.
func (h *Holder) Lost(seq uint64) {
	if seq == h.asking {
		h.asking = 0
		h.fullAt = time.Time{}
	}
}

// Leave makes the next statement the last one: it gives everything back.
func (h *Holder) Leave() { h.left = true }

// Asking is the Seq of the statement that waits for its answer, or 0.
func (h *Holder) Asking() uint64 { return h.asking }
