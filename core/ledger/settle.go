package ledger

import (
	"cmp"
	"maps"
	"slices"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
)

// Settle starts to take back the grants of a holder that is believed dead. The
// belief may be wrong: a living holder is told by the agents' refusals.
func (l *Ledger) Settle(ids []escrow.GrantID) {
	for _, id := range ids {
		if g, ok := l.Grants[id]; ok {
			l.settle(g)
		}
	}
}

// Holders lists the processes that hold grants, in order.
func (l *Ledger) Holders() []fleet.NodeID {
	return slices.Sorted(maps.Keys(l.perHolder))
}

// HeldBy lists the open grants of a holder that are not being settled.
func (l *Ledger) HeldBy(holder fleet.NodeID) []escrow.GrantID {
	var ids []escrow.GrantID
	for id := range l.perHolder[holder] {
		if !l.Grants[id].Settling {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Settling lists the grants that agents must fence, in order.
func (l *Ledger) Settling() []escrow.Grant {
	var out []escrow.Grant
	for id := range l.settling {
		out = append(out, l.Grants[id].Grant)
	}
	slices.SortFunc(out, func(a, b escrow.Grant) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Progress says what the reports allow for one settling grant.
type Progress struct {
	Grant escrow.GrantID `cbor:"grant"`
	// Cap is the most that can ever be billed, by what is known.
	Cap escrow.Tokens `cbor:"cap"`
	// Bill is what was spent, valid if Final.
	Bill  escrow.Tokens `cbor:"bill"`
	Final bool          `cbor:"final"`
	// Keys are the retried keys that Bill covers.
	Keys []string `cbor:"keys"`
}

// Assess works out from the agents' reports how far a grant can be settled. It
// reads the ledger and changes nothing.
func (l *Ledger) Assess(id escrow.GrantID, reports map[fleet.NodeID]escrow.Report) (Progress, bool) {
	g, ok := l.Grants[id]
	if !ok || !g.Settling {
		return Progress{}, false
	}
	p := Progress{Grant: id, Cap: min(g.Outstanding, watermark(g.Grant, reports))}
	fenced, final := true, true
	for agent, a := range l.Agents {
		if a.Gone {
			continue
		}
		r, ok := reports[agent]
		fenced = fenced && ok && r.Fenced
		final = final && ok && r.Done()
	}
	if !fenced {
		return p, p.Cap < g.Outstanding
	}
	known := billable(id, l.withLeft(id, reports), l.Retried)
	if l.mayHaveLost(g) && known.cap < p.Cap {
		p.Cap = max(p.Cap, known.cap)
		return p, p.Cap < g.Outstanding || (final && !g.Doubt)
	}
	p.Cap = min(p.Cap, known.cap)
	p.Bill, p.Keys, p.Final = known.bill, known.keys, final
	return p, final || p.Cap < g.Outstanding
}

// withLeft adds the last reports of agents that left in an orderly way.
func (l *Ledger) withLeft(id escrow.GrantID, reports map[fleet.NodeID]escrow.Report) map[fleet.NodeID]escrow.Report {
	out := maps.Clone(reports)
	if out == nil {
		out = map[fleet.NodeID]escrow.Report{}
	}
	for agent, a := range l.Agents {
		if r, ok := a.Reports[id]; ok {
			out[agent] = r
		}
	}
	return out
}

// mayHaveLost tells whether an agent with a part in the grant has ended.
func (l *Ledger) mayHaveLost(g *OpenGrant) bool {
	for _, a := range l.Agents {
		if a.Gone && !a.Left && g.Grant.ID < a.GoneAt {
			return true
		}
	}
	return false
}

// watermark is the most that was claimed, if a majority of witnesses is known.
func watermark(g escrow.Grant, reports map[fleet.NodeID]escrow.Report) escrow.Tokens {
	var mark escrow.Tokens
	n := 0
	for _, w := range g.Witnesses {
		r, ok := reports[w]
		if !ok || !r.Witness {
			continue
		}
		n++
		mark = max(mark, r.Watermark)
	}
	if n < g.Majority() {
		return g.Amount
	}
	return mark
}

type billing struct {
	bill, cap escrow.Tokens
	keys      []string
}

// billable adds up the agents' accounts. Of several attempts for one key the
// acknowledged one is billed, else the largest.
func billable(id escrow.GrantID, reports map[fleet.NodeID]escrow.Report, retried map[string]escrow.GrantID) billing {
	var b billing
	perKey := map[string][]escrow.Charge{}
	for _, r := range reports {
		b.bill += r.Settled
		b.cap += r.Settled
		for _, c := range r.Charges {
			perKey[c.Key] = append(perKey[c.Key], c)
		}
	}
	for key, charges := range perKey {
		b.cap += reservedFor(id, charges)
		if _, ok := retried[key]; ok {
			continue
		}
		used, multi := billedOf(id, charges)
		b.bill += used
		if multi {
			b.keys = append(b.keys, key)
		}
	}
	slices.Sort(b.keys)
	return b
}

func reservedFor(id escrow.GrantID, charges []escrow.Charge) escrow.Tokens {
	var sum escrow.Tokens
	for _, c := range charges {
		sum += partOf(id, c)
	}
	return sum
}

func billedOf(id escrow.GrantID, charges []escrow.Charge) (used escrow.Tokens, retried bool) {
	var acked, largest escrow.Tokens
	anyAcked := false
	for _, c := range charges {
		n := partOf(id, c)
		retried = retried || c.Retried
		largest = max(largest, n)
		if c.Acked {
			anyAcked = true
			acked += n
		}
	}
	if anyAcked {
		return acked, retried
	}
	return largest, retried
}

// partOf is what a charge took, or may still take, from a grant.
func partOf(id escrow.GrantID, c escrow.Charge) escrow.Tokens {
	parts := c.Parts
	if c.Done {
		parts = escrow.Split(c.Parts, c.Used)
	}
	var sum escrow.Tokens
	for _, p := range parts {
		if p.Grant == id {
			sum += p.Amount
		}
	}
	return sum
}

// Advance books what Assess found.
func (l *Ledger) Advance(p Progress) {
	g, ok := l.Grants[p.Grant]
	if !ok || !g.Settling {
		return
	}
	l.confine(g, p.Cap)
	if !p.Final {
		g.Doubt = l.mayHaveLost(g)
		return
	}
	for _, k := range p.Keys {
		l.Retried[k] = p.Grant
	}
	l.remove(g, p.Bill)
	l.prune()
}

// WriteOff ends an operator's doubt about a grant: Bill tokens are billed, the
// rest returns to the customer. Its ID makes it count once.
type WriteOff struct {
	ID    string         `cbor:"id" json:"id"`
	Grant escrow.GrantID `cbor:"grant" json:"grant"`
	Bill  escrow.Tokens  `cbor:"bill" json:"bill"`
}

// WriteOff settles a grant by an operator's word, or returns an *AmountError or
// *NotInDoubtError.
func (l *Ledger) WriteOff(w WriteOff) error {
	if _, ok := l.WriteOffs[w.ID]; ok {
		return nil
	}
	g, ok := l.Grants[w.Grant]
	if !ok || !g.Settling {
		return &NotInDoubtError{Grant: w.Grant}
	}
	if w.Bill < 0 || w.Bill > g.Outstanding {
		return &AmountError{Tokens: w.Bill}
	}
	l.WriteOffs[w.ID] = w.Grant
	l.remove(g, w.Bill)
	l.prune()
	return nil
}
