package escrow

import (
	"time"

	"dotterelgap/core/demand"
)

// allocation is a holder's state for one customer: its grants, its waiting
// requests and its refill.
type allocation struct {
	customer      string
	grants        []*heldGrant
	waiting       []waitingRequest
	rate          demand.Rate
	seq           uint64
	latest        GrantID
	refillPending bool
	denied        bool
	// deniedFree is the amount that was free in the ledger at the denial.
	deniedFree        Tokens
	recalling         bool
	ledgerUnreachable bool
	nextRefill        time.Time
	// stockAtGrant is the available amount after the latest grant.
	stockAtGrant Tokens
}

func newAllocation(customer string, now time.Time, opts Options) *allocation {
	return &allocation{
		customer: customer,
		seq:      1,
		rate:     demand.NewRate(opts.RateHalfLife, now),
	}
}

// recordReply ends the pending refill after a reply of the ledger.
func (a *allocation) recordReply(now time.Time) {
	a.refillPending = false
	a.denied = false
	a.recalling = false
	a.ledgerUnreachable = false
	a.seq++
	a.nextRefill = now
}

// allocate reserves worst tokens from the grants, oldest first. It returns nil if
// the grants have too few free tokens.
func (a *allocation) allocate(worst Tokens) []Part {
	var free Tokens
	for _, g := range a.grants {
		free += g.free()
	}
	if free < worst || len(a.grants) == 0 {
		return nil
	}
	parts := make([]Part, 0, 1)
	for _, g := range a.grants {
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
func (a *allocation) claimMore(now time.Time, opts Options, fx *Effects) {
	shortfall := a.waitingTotal()
	for _, g := range a.grants {
		shortfall -= g.free()
		if g.closing || g.preparing || g.lost || g.claimed == g.grant.Amount || g.target > g.claimed {
			continue
		}
		slice := g.slice(a.rate.PerSecond(now), opts)
		if shortfall <= 0 && g.free() >= slice/2 {
			return
		}
		target := min(g.claimed+max(slice, shortfall), g.grant.Amount)
		shortfall -= target - g.claimed
		g.claim(now, target, fx)
	}
}

// urgentShare is the fraction of the latest stock below which a holder sends a
// refill without waiting for its next report.
const urgentShare = 0.25

// needsRefill reports whether have is less than the fraction below of stock, the
// demand over the horizon. Between two regular checks, have must also be less than
// urgentShare of the amount that was available after the latest grant.
func (a *allocation) needsRefill(have, stock Tokens, below float64, regular bool) bool {
	short := float64(have) < float64(stock)*below
	return short && (regular || float64(have) < float64(a.stockAtGrant)*urgentShare)
}

// available returns the amount that can be reserved for new requests immediately
// or after further claims.
func (a *allocation) available() Tokens {
	var sum Tokens
	for _, g := range a.grants {
		sum += g.available()
	}
	return sum
}

// potential returns the amount that would be available if all requests in flight
// ended without use.
func (a *allocation) potential() Tokens {
	sum := a.available()
	for _, g := range a.grants {
		if !g.closing {
			sum += g.reserved
		}
	}
	return sum
}

// waitingTotal returns the worst-case tokens of all waiting requests.
func (a *allocation) waitingTotal() Tokens {
	var sum Tokens
	for _, w := range a.waiting {
		sum += w.req.Worst
	}
	return sum
}

// shortfall returns what the smallest waiting request needs in addition to have.
func (a *allocation) shortfall(have Tokens) Tokens {
	if len(a.waiting) == 0 {
		return 0
	}
	least := a.waiting[0].req.Worst
	for _, w := range a.waiting {
		least = min(least, w.req.Worst)
	}
	return max(least-have, 0)
}

// noWaitReason returns the reason for refusing a NoWait request.
func (a *allocation) noWaitReason() Reason {
	if a.denied || a.ledgerUnreachable {
		return a.refusalReason()
	}
	return ReasonUnfilled
}

func (a *allocation) refusalReason() Reason {
	if a.denied {
		return ReasonExhausted
	}
	return ReasonUnreachable
}
