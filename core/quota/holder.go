package quota

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/demand"
	"dotterelgap/core/fleet"
)

// Reason says why a request's worst case was not reserved; empty if it was.
type Reason string

// The reasons for a refusal. All of them mean that nothing ran.
const (
	// Exhausted: what the customer has left over all holders does not cover it.
	Exhausted Reason = "budget_exhausted"
	// Elsewhere: the customer has tokens left, but not enough of them here.
	Elsewhere Reason = "budget_elsewhere"
	// Unknown: the control group has not said yet what the customer has.
	Unknown Reason = "budget_unknown"
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
	// answeredAt is when the latest answer came.
	answeredAt time.Time
	// asking is the Seq of the statement that waits for its answer, or 0.
	asking uint64
	short  bool
	left   bool
}

type reservation struct {
	customer string
	worst    Tokens
}

// purse is a holder's allowance of one customer.
type purse struct {
	known     bool
	unbounded bool
	granted   Tokens
	// mark is what the ledger confirmed, or less where a lower one was stated.
	mark     Tokens
	spent    Tokens
	reserved Tokens
	need     Tokens
	fair     Tokens
	unspent  Tokens
	rate     demand.Rate
}

// NewHolder returns a holder without allowances.
func NewHolder(id fleet.NodeID, addr netip.AddrPort, opts Options, now time.Time) *Holder {
	return &Holder{
		id: id, addr: addr, opts: opts, purses: map[string]*purse{}, requests: map[string]reservation{},
		answeredAt: now,
	}
}

// Renew starts a new life after the ledger has ended this one. Requests in
// progress are billed already.
func (h *Holder) Renew(id fleet.NodeID) {
	h.id = id
	h.seq, h.heard, h.asking = 0, 0, 0
	h.requests = map[string]reservation{}
	for c := range h.purses {
		h.purses[c] = &purse{rate: h.purses[c].rate}
	}
}

// SetCustomers names the customers that allowances are wanted for.
func (h *Holder) SetCustomers(now time.Time, names []string) {
	for _, c := range names {
		if _, ok := h.purses[c]; !ok {
			h.purses[c] = &purse{rate: demand.NewRate(h.opts.RateHalfLife, now)}
			h.short = true
		}
	}
}

// CutOff tells whether the reserve may be used.
func (h *Holder) CutOff(now time.Time) bool {
	return h.heard > 0 && now.Sub(h.answeredAt) >= h.opts.CutOff
}

// limit is what a purse may spend in all.
func (h *Holder) limit(now time.Time, p *purse) Tokens {
	if h.CutOff(now) {
		return p.granted
	}
	return p.mark
}

// Reserve takes the worst case of a request out of the customer's allowance.
func (h *Holder) Reserve(now time.Time, id, customer string, worst Tokens) Reason {
	p, ok := h.purses[customer]
	if !ok || !p.known {
		h.short = true
		return Unknown
	}
	if p.unbounded {
		return ""
	}
	if p.spent+p.reserved+worst > h.limit(now, p) {
		return h.refuse(p, worst)
	}
	p.reserved += worst
	h.requests[id] = reservation{customer: customer, worst: worst}
	if p.mark-p.spent-p.reserved < h.ahead(now, p)/2 {
		h.short = true
	}
	return ""
}

func (h *Holder) refuse(p *purse, worst Tokens) Reason {
	h.short = true
	p.need = max(p.need, worst)
	if p.unspent < worst {
		return Exhausted
	}
	return Elsewhere
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
	p.reserved -= r.worst
	p.spent += min(max(used, 0), r.worst)
	p.rate.Add(now, float64(used))
}

// ahead is how far the mark should be above what is in use: enough for the time
// until the reserve may be used, with some to spare.
func (h *Holder) ahead(now time.Time, p *purse) Tokens {
	span := h.opts.CutOff + 2*h.opts.Interval
	demand := Tokens(math.Ceil(p.rate.PerSecond(now) * span.Seconds()))
	return max(demand, Tokens(h.opts.MarkShare*float64(p.granted-p.spent)))
}

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
	s := Statement{Holder: h.id, Addr: h.addr, Seq: h.seq, Heard: h.heard, Left: h.left}
	for _, c := range h.customers() {
		s.Uses = append(s.Uses, h.usage(now, c, h.purses[c]))
	}
	return s
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
	u := Usage{Customer: customer, Spent: p.spent, Reserved: p.reserved, Need: p.need, Rate: p.rate.PerSecond(now)}
	p.need = 0
	if h.left {
		u.Limit = used
	} else if p.fair > 0 && p.fair < p.granted {
		u.Limit = max(p.fair, used)
	}
	if u.Limit > 0 {
		p.granted = min(p.granted, u.Limit)
	}
	p.fair = 0
	u.Mark = used + h.ahead(now, p)
	if h.left {
		u.Mark = used
	}
	p.mark = min(p.mark, u.Mark)
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
	for _, a := range answers {
		p, ok := h.purses[a.Customer]
		if !ok {
			continue
		}
		p.known = true
		p.unbounded = a.Unbounded
		p.granted, p.mark, p.fair, p.unspent = a.Granted, a.Mark, a.Fair, a.Unspent
	}
}

// Lost says that no answer to the statement came in time.
func (h *Holder) Lost(seq uint64) {
	if seq == h.asking {
		h.asking = 0
	}
}

// Leave makes the next statement the last one: it gives everything back.
func (h *Holder) Leave() { h.left = true }
