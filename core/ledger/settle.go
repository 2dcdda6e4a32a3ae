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
	// Doubt: an agent that may have spent is gone without its last word.
	Doubt bool `cbor:"doubt"`
}

// Assess works out from the agents' reports how far a grant can be settled. It
// reads the ledger and changes nothing.
func (l *Ledger) Assess(id escrow.GrantID, reports map[fleet.NodeID]escrow.Report) (Progress, bool) {
	g, ok := l.Grants[id]
	if !ok || !g.Settling {
		return Progress{}, false
	}
	p := Progress{Grant: id, Cap: min(g.Outstanding, watermark(g.Grant, reports))}
	all := l.withLeft(id, reports)
	fenced, final := true, true
	for agent, a := range l.Agents {
		if !a.concerns(id) {
			continue
		}
		r, ok := all[agent]
		fenced = fenced && ok && r.Fenced
		final = final && ok && r.Done()
	}
	if fenced {
		known := billable(id, all)
		p.Cap = min(p.Cap, known.cap)
		p.Bill, p.Final = known.bill, final
	}
	p.Doubt = l.lost(id, all)
	return p, final || p.Cap < g.Outstanding || p.Doubt != g.Doubt
}

// concerns tells whether an agent's word on a grant is needed: it may have run
// work for it, and has not left in an orderly way.
func (a *Agent) concerns(id escrow.GrantID) bool {
	return !a.Gone || (!a.Left && id < a.GoneAt)
}

// lost tells whether an agent whose last word is needed is gone without it.
func (l *Ledger) lost(id escrow.GrantID, reports map[fleet.NodeID]escrow.Report) bool {
	for agent, a := range l.Agents {
		if r, ok := reports[agent]; a.Gone && a.concerns(id) && !(ok && r.Done()) {
			return true
		}
	}
	return false
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
}

// billable adds up the agents' accounts. An attempt that may not be its key's
// first is billed only if its entry has made sure of that and said so.
func billable(id escrow.GrantID, reports map[fleet.NodeID]escrow.Report) billing {
	var b billing
	for _, r := range reports {
		b.bill += r.Settled
		b.cap += r.Settled
		for _, c := range r.Charges {
			n := partOf(id, c)
			b.cap += n
			if c.Acked || !c.Retried {
				b.bill += n
			}
		}
	}
	return b
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
		g.Doubt = p.Doubt
		return
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
