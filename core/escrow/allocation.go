package escrow

import (
	"time"

	"dotterelgap/core/demand"
)

// purse is all that a holder has and awaits for one customer.
type purse struct {
	customer string
	grants   []*held
	waiting  []waiting
	rate     demand.Rate
	seq      uint64
	latest   GrantID
	asking   bool
	denied   bool
	// deniedFree is what the ledger still had when it denied.
	deniedFree Tokens
	recalling  bool
	cutOff     bool
	nextRefill time.Time
	// stocked is what was ahead after the latest grant.
	stocked Tokens
}

func newPurse(customer string, now time.Time, opts Options) *purse {
	return &purse{
		customer: customer,
		seq:      1,
		rate:     demand.NewRate(opts.RateHalfLife, now),
	}
}

// answered notes that the ledger has answered the refill that was asked.
func (p *purse) answered(now time.Time) {
	p.asking = false
	p.denied = false
	p.recalling = false
	p.cutOff = false
	p.seq++
	p.nextRefill = now
}

// allocate reserves worst over the grants, oldest first, or returns nil.
func (p *purse) allocate(worst Tokens) []Part {
	var free Tokens
	for _, g := range p.grants {
		free += g.free()
	}
	if free < worst || len(p.grants) == 0 {
		return nil
	}
	parts := make([]Part, 0, 1)
	for _, g := range p.grants {
		n := min(g.free(), worst)
		if n <= 0 && worst > 0 {
			continue
		}
		g.reserved += n
		worst -= n
		parts = append(parts, Part{Grant: g.grant.ID, Amount: n})
		if worst == 0 {
			break
		}
	}
	return parts
}

// claimMore claims the next slices before they are needed.
func (p *purse) claimMore(now time.Time, opts Options, fx *Effects) {
	lack := p.wanted()
	for _, g := range p.grants {
		lack -= g.free()
		if g.closing || g.preparing || g.lost || g.claimed == g.grant.Amount || g.target > g.claimed {
			continue
		}
		slice := g.slice(p.rate.PerSecond(now), opts)
		if lack <= 0 && g.free() >= slice/2 {
			return
		}
		target := min(g.claimed+max(slice, lack), g.grant.Amount)
		lack -= target - g.claimed
		g.claim(now, target, fx)
	}
}

// urgentShare is the share of the latest stock under which a holder asks for
// more without waiting for its next report.
const urgentShare = 0.25

// low tells whether the stock is short of the horizon's demand: at the regular
// look at it, or in between if little is left of what it last was.
func (p *purse) low(have, stock Tokens, below float64, regular bool) bool {
	short := float64(have) < float64(stock)*below
	return short && (regular || float64(have) < float64(p.stocked)*urgentShare)
}

// ahead is what could be reserved for new requests after further claims.
func (p *purse) ahead() Tokens {
	var sum Tokens
	for _, g := range p.grants {
		sum += g.ahead()
	}
	return sum
}

// coming is what could be free once all requests in flight have ended.
func (p *purse) coming() Tokens {
	sum := p.ahead()
	for _, g := range p.grants {
		if !g.closing {
			sum += g.reserved
		}
	}
	return sum
}

// wanted is the worst case of all waiting requests.
func (p *purse) wanted() Tokens {
	var sum Tokens
	for _, w := range p.waiting {
		sum += w.req.Worst
	}
	return sum
}

// lacks is what the smallest waiting request needs beyond what there is.
func (p *purse) lacks(have Tokens) Tokens {
	if len(p.waiting) == 0 {
		return 0
	}
	least := p.waiting[0].req.Worst
	for _, w := range p.waiting {
		least = min(least, w.req.Worst)
	}
	return max(least-have, 0)
}

// reasonAtHand says why a request that does not wait is refused.
func (p *purse) reasonAtHand() Reason {
	if p.denied || p.cutOff {
		return p.reason()
	}
	return ReasonUnfilled
}

func (p *purse) reason() Reason {
	if p.denied {
		return ReasonExhausted
	}
	return ReasonUnreachable
}
