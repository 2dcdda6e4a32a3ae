package ledger

import (
	"math"
	"slices"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
)

// Answer is the ledger's reply to a refill: a grant or a denial.
type Answer struct {
	Seq    uint64         `cbor:"seq"`
	Grant  *escrow.Grant  `cbor:"grant"`
	Denial *escrow.Denial `cbor:"denial"`
	// Recalls are the grants whose holders should return their unused tokens, so
	// that the ledger can grant them to this refill's holder.
	Recalls []escrow.GrantID `cbor:"recalls"`
}

// Open handles a refill and returns the reply. A resent refill gets the same grant
// again.
func (l *Ledger) Open(r escrow.Refill) Answer {
	if g := l.undelivered(r); g != nil {
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

// undelivered returns a grant that was opened for the holder but has not reached
// it, because the reply was lost or a delayed refill opened it, or nil.
func (l *Ledger) undelivered(r escrow.Refill) *OpenGrant {
	for _, id := range l.byCustomer[r.Customer] {
		g := l.Grants[id]
		if id > r.Latest && g.Grant.Holder == r.Holder && !g.Settling {
			return g
		}
	}
	return nil
}

// deny returns a denial of a refill.
func (l *Ledger) deny(r escrow.Refill, recalls []escrow.GrantID) Answer {
	d := &escrow.Denial{Customer: r.Customer, Seq: r.Seq, Free: l.Free(r.Customer), Recalling: r.Need > 0 && len(recalls) > 0}
	return Answer{Seq: r.Seq, Denial: d, Recalls: recalls}
}

// share returns the holder's fraction of the customer's demand.
func (a *Account) share(holder fleet.NodeID) float64 {
	var sum float64
	for _, r := range a.Rates {
		sum += r
	}
	if sum == 0 {
		return 1.0 / firstShareDivisor
	}
	return a.Rates[holder] / sum
}

// pool returns the tokens that a customer has not spent, according to the
// holders' latest reports.
func (l *Ledger) pool(customer string, free escrow.Tokens) escrow.Tokens {
	sum := free
	for _, id := range l.byCustomer[customer] {
		sum += max(l.Grants[id].unspent(), 0)
	}
	return sum
}

// fairAmount returns the amount that fills a holder's stock for its horizon, but
// not above its share of the pool.
func fairAmount(r escrow.Refill, pool escrow.Tokens, share float64) escrow.Tokens {
	stock := escrow.Tokens(math.Ceil(r.Rate * r.Horizon))
	if r.Rate == 0 {
		stock = pool / firstShareDivisor
	}
	capped := escrow.Tokens(math.Floor(float64(pool) * share))
	return max(min(stock, capped)-r.Have, 0)
}

// recallThreshold is the multiple of its share above which a holder's grants are
// recalled.
const recallThreshold = 1.25

// rebalance returns the grants to recall from holders that have far more than
// their share, if the refill gets less than half of its fair amount.
func (l *Ledger) rebalance(r escrow.Refill, pool, amount, fair escrow.Tokens) []escrow.GrantID {
	if amount >= fair/2 {
		return nil
	}
	a := l.Accounts[r.Customer]
	unspent := map[fleet.NodeID]escrow.Tokens{}
	for _, id := range l.byCustomer[r.Customer] {
		unspent[l.Grants[id].Grant.Holder] += l.Grants[id].unspent()
	}
	var ids []escrow.GrantID
	for _, id := range l.byCustomer[r.Customer] {
		g := l.Grants[id]
		h := g.Grant.Holder
		if h != r.Holder && !g.Settling && !slices.Contains(r.Away, h) && float64(unspent[h]) > recallThreshold*float64(pool)*a.share(h) {
			ids = append(ids, id)
		}
	}
	return ids
}

// witnesses picks the witnesses of a grant among the agents in the holder's
// place. All replicas pick the same ones.
func (l *Ledger) witnesses(r escrow.Refill) []fleet.NodeID {
	live := l.liveAgents[r.Place]
	if len(live) > witnessesPerGrant {
		live = fleet.Rendezvous(r.Customer, live)[:witnessesPerGrant]
	}
	return append([]fleet.NodeID(nil), live...)
}

// recalls returns the grants of other holders, if the tokens that they could
// return cover the need. All of them are recalled, since their unspent amounts
// are known with a delay only.
func (l *Ledger) recalls(r escrow.Refill) []escrow.GrantID {
	if r.Need == 0 {
		return nil
	}
	var others []*OpenGrant
	for _, id := range l.byCustomer[r.Customer] {
		g := l.Grants[id]
		if g.Grant.Holder != r.Holder && !g.Settling && g.unspent() > 0 && !slices.Contains(r.Away, g.Grant.Holder) {
			others = append(others, g)
		}
	}
	var ids []escrow.GrantID
	unspent := l.Free(r.Customer)
	for _, g := range others {
		unspent += g.unspent()
		ids = append(ids, g.Grant.ID)
	}
	if unspent < r.Need {
		return nil
	}
	return ids
}

// unspent returns the outstanding tokens that no holder has reported as spent.
func (g *OpenGrant) unspent() escrow.Tokens {
	return g.Outstanding - g.spent()
}

func (g *OpenGrant) spent() escrow.Tokens {
	var sum escrow.Tokens
	for _, n := range g.Spent {
		sum += n
	}
	return sum
}

// Spend records a holder's cumulative use of a grant.
func (l *Ledger) Spend(s escrow.Spend) {
	g, ok := l.Grants[s.Grant]
	if !ok {
		return
	}
	g.Spent[s.Holder] = max(g.Spent[s.Holder], s.Spent)
}

// Close returns a grant from its holder. If other holders may have spent from the
// grant, the ledger settles it.
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
		l.lowerCap(g, c.Spent+c.Open)
		return
	}
	l.remove(g, c.Spent)
	l.prune()
}
