package ledger

import (
	"math"
	"slices"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
)

// Answer is the ledger's answer to a refill: a grant or a denial.
type Answer struct {
	Seq    uint64         `cbor:"seq"`
	Grant  *escrow.Grant  `cbor:"grant"`
	Denial *escrow.Denial `cbor:"denial"`
	// Recalls are the grants whose holders should give back what they don't
	// use, so that the denied holder can have it.
	Recalls []escrow.GrantID `cbor:"recalls"`
}

// Open answers a refill. A resent one gets the same grant again.
func (l *Ledger) Open(r escrow.Refill) Answer {
	if g := l.missed(r); g != nil {
		return Answer{Seq: r.Seq, Grant: &g.Grant}
	}
	a, ok := l.Accounts[r.Customer]
	if !ok {
		return l.deny(r, nil)
	}
	a.Rates[r.Holder] = r.Rate
	free := l.Free(r.Customer)
	pool := l.pool(r.Customer, free)
	fair := fairAmount(r, pool, a.share(r.Holder))
	amount := min(max(fair, r.Want), free)
	if amount <= 0 || amount < r.Need {
		return l.deny(r, append(l.recalls(r), l.rebalance(r, pool, 0, fair)...))
	}
	recalls := l.rebalance(r, pool, amount, fair)
	g := &OpenGrant{
		Grant: escrow.Grant{
			ID: l.NextGrant, Customer: r.Customer, Place: r.Place, Holder: r.Holder,
			Amount: amount, Witnesses: l.witnesses(r),
		},
		Outstanding: amount, Spent: map[fleet.NodeID]escrow.Tokens{},
	}
	l.NextGrant++
	l.Grants[g.Grant.ID] = g
	l.index(g)
	return Answer{Seq: r.Seq, Grant: &g.Grant, Recalls: recalls}
}

// missed finds a grant that was opened for the holder and has not reached it:
// its answer was lost, or the refill came twice.
func (l *Ledger) missed(r escrow.Refill) *OpenGrant {
	for _, id := range l.perOwner[r.Customer] {
		g := l.Grants[id]
		if id > r.Latest && g.Grant.Holder == r.Holder && !g.Settling {
			return g
		}
	}
	return nil
}

func (l *Ledger) deny(r escrow.Refill, recalls []escrow.GrantID) Answer {
	d := &escrow.Denial{Customer: r.Customer, Seq: r.Seq, Free: l.Free(r.Customer), Recalling: r.Need > 0 && len(recalls) > 0}
	return Answer{Seq: r.Seq, Denial: d, Recalls: recalls}
}

// share is the part of the customer's demand that a holder sees.
func (a *Account) share(holder fleet.NodeID) float64 {
	var sum float64
	for _, r := range a.Rates {
		sum += r
	}
	if sum == 0 {
		return 1.0 / firstShare
	}
	return a.Rates[holder] / sum
}

// pool is all that a customer has not spent, as far as is known.
func (l *Ledger) pool(customer string, free escrow.Tokens) escrow.Tokens {
	sum := free
	for _, id := range l.perOwner[customer] {
		sum += max(l.Grants[id].rest(), 0)
	}
	return sum
}

// fairAmount stocks a holder for its horizon, at most its share of the pool.
func fairAmount(r escrow.Refill, pool escrow.Tokens, share float64) escrow.Tokens {
	stock := escrow.Tokens(math.Ceil(r.Rate * r.Horizon))
	if r.Rate == 0 {
		stock = pool / firstShare
	}
	capped := escrow.Tokens(math.Floor(float64(pool) * share))
	return max(min(stock, capped)-r.Have, 0)
}

// overShare is how far above its share a holder may be before it is recalled.
const overShare = 1.25

// rebalance recalls the grants of holders that have far more than their share,
// where another can't get its own.
func (l *Ledger) rebalance(r escrow.Refill, pool, amount, fair escrow.Tokens) []escrow.GrantID {
	if amount >= fair/2 {
		return nil
	}
	a := l.Accounts[r.Customer]
	has := map[fleet.NodeID]escrow.Tokens{}
	for _, id := range l.perOwner[r.Customer] {
		has[l.Grants[id].Grant.Holder] += l.Grants[id].rest()
	}
	var ids []escrow.GrantID
	for _, id := range l.perOwner[r.Customer] {
		g := l.Grants[id]
		h := g.Grant.Holder
		if h != r.Holder && !g.Settling && !slices.Contains(r.Away, h) && float64(has[h]) > overShare*float64(pool)*a.share(h) {
			ids = append(ids, id)
		}
	}
	return ids
}

// witnesses picks agents in the holder's place, the same for all processes.
func (l *Ledger) witnesses(r escrow.Refill) []fleet.NodeID {
	live := l.live[r.Place]
	if len(live) > witnessesPerGrant {
		live = fleet.Rendezvous(r.Customer, live)[:witnessesPerGrant]
	}
	return append([]fleet.NodeID(nil), live...)
}

// recalls lists other holders' grants if what they could give back covers the
// need. All are recalled: what they have left is known with a lag only.
func (l *Ledger) recalls(r escrow.Refill) []escrow.GrantID {
	if r.Need == 0 {
		return nil
	}
	var others []*OpenGrant
	for _, id := range l.perOwner[r.Customer] {
		g := l.Grants[id]
		if g.Grant.Holder != r.Holder && !g.Settling && g.rest() > 0 && !slices.Contains(r.Away, g.Grant.Holder) {
			others = append(others, g)
		}
	}
	var ids []escrow.GrantID
	idle := l.Free(r.Customer)
	for _, g := range others {
		idle += g.rest()
		ids = append(ids, g.Grant.ID)
	}
	if idle < r.Need {
		return nil
	}
	return ids
}

func (g *OpenGrant) rest() escrow.Tokens {
	return g.Outstanding - g.spent()
}

func (g *OpenGrant) spent() escrow.Tokens {
	var sum escrow.Tokens
	for _, n := range g.Spent {
		sum += n
	}
	return sum
}

// Spend takes in a holder's cumulative statement.
func (l *Ledger) Spend(s escrow.Spend) {
	g, ok := l.Grants[s.Grant]
	if !ok {
		return
	}
	g.Spent[s.Holder] = max(g.Spent[s.Holder], s.Spent)
}

// Close takes a grant back from its holder.
func (l *Ledger) Close(c escrow.Close) {
	g, ok := l.Grants[c.Grant]
	if !ok {
		return
	}
	l.Spend(escrow.Spend{Grant: c.Grant, Holder: c.Holder, Spent: c.Spent})
	if !c.Final || c.Holder != g.Grant.Holder {
		l.settle(g)
		return
	}
	if c.Open > 0 {
		l.confine(g, c.Spent+c.Open)
		return
	}
	l.remove(g, c.Spent)
	l.prune()
}
