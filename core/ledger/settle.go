package ledger

import (
	"cmp"
	"maps"
	"slices"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
)

// Settle starts settling the grants of a holder that is presumed dead. If the
// holder is still alive, it learns of this when agents refuse its grants.
func (l *Ledger) Settle(ids []escrow.GrantID) {
	for _, id := range ids {
		if g, ok := l.Grants[id]; ok {
			l.settle(g)
		}
	}
}

// Holders returns the processes that hold grants, in order.
func (l *Ledger) Holders() []fleet.NodeID {
	return slices.Sorted(maps.Keys(l.byHolder))
}

// HeldBy returns the open grants of a holder that are not being settled, in
// order.
func (l *Ledger) HeldBy(holder fleet.NodeID) []escrow.GrantID {
	var ids []escrow.GrantID
	for id := range l.byHolder[holder] {
		if !l.Grants[id].Settling {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Settling returns the grants that the agents must fence, in order.
func (l *Ledger) Settling() []escrow.Grant {
	var out []escrow.Grant
	for id := range l.settling {
		out = append(out, l.Grants[id].Grant)
	}
	slices.SortFunc(out, func(a, b escrow.Grant) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Progress is the assessment of one settling grant from the agents' reports.
type Progress struct {
	Grant escrow.GrantID `cbor:"grant"`
	// Cap is the maximum that can still be billed according to the reports.
	Cap escrow.Tokens `cbor:"cap"`
	// Bill is the amount to bill. It is valid if Final is set.
	Bill  escrow.Tokens `cbor:"bill"`
	Final bool          `cbor:"final"`
	// Doubt is set if an agent that may have run work on the grant is gone
	// without its final report.
	Doubt bool `cbor:"doubt"`
}

// Assess determines from the agents' reports how far a grant can be settled. The
// second value is false if there is nothing to advance. Assess does not change
// the ledger.
func (l *Ledger) Assess(id escrow.GrantID, reports map[fleet.NodeID]escrow.Report) (Progress, bool) {
	g, ok := l.Grants[id]
	if !ok || !g.Settling {
		return Progress{}, false
	}
	p := Progress{Grant: id, Cap: min(g.Outstanding, watermark(g.Grant, reports))}
	all := l.withLeaveReports(id, reports)
	fenced, final := true, true
	for agent, a := range l.Agents {
		if !a.mustReport(id) {
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
	p.Doubt = l.reportLost(id, all)
	return p, final || p.Cap < g.Outstanding || p.Doubt != g.Doubt
}

// mustReport reports whether the agent's report on a grant is needed: the agent
// may have run work on the grant and has not sent a leave message.
func (a *Agent) mustReport(id escrow.GrantID) bool {
	return !a.Gone || (!a.Left && id < a.GoneAt)
}

// reportLost reports whether an agent is gone without the final report that is
// needed from it.
func (l *Ledger) reportLost(id escrow.GrantID, reports map[fleet.NodeID]escrow.Report) bool {
	for agent, a := range l.Agents {
		if r, ok := reports[agent]; a.Gone && a.mustReport(id) && !(ok && r.Done()) {
			return true
		}
	}
	return false
}

// withLeaveReports returns the reports together with those in the leave messages
// of agents that have shut down.
func (l *Ledger) withLeaveReports(id escrow.GrantID, reports map[fleet.NodeID]escrow.Report) map[fleet.NodeID]escrow.Report {
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

// watermark returns the highest watermark that the witnesses report, or the whole
// grant if less than a majority of them has reported.
func watermark(g escrow.Grant, reports map[fleet.NodeID]escrow.Report) escrow.Tokens {
	var highest escrow.Tokens
	n := 0
	for _, w := range g.Witnesses {
		r, ok := reports[w]
		if !ok || !r.Witness {
			continue
		}
		n++
		highest = max(highest, r.Watermark)
	}
	if n < g.Majority() {
		return g.Amount
	}
	return highest
}

type billing struct {
	bill, cap escrow.Tokens
}

// billable sums the agents' reports on a grant. A retried attempt is billed only
// if its entry has acknowledged it, since an earlier attempt for the key may be
// billed instead.
func billable(id escrow.GrantID, reports map[fleet.NodeID]escrow.Report) billing {
	var b billing
	for _, r := range reports {
		b.bill += r.Settled
		b.cap += r.Settled
		for _, c := range r.Charges {
			n := chargedTo(id, c)
			b.cap += n
			if c.Acked || !c.Retried {
				b.bill += n
			}
		}
	}
	return b
}

// chargedTo returns the amount that a charge has used, or may still use, from a
// grant.
func chargedTo(id escrow.GrantID, c escrow.Charge) escrow.Tokens {
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

// Advance applies the result of Assess.
func (l *Ledger) Advance(p Progress) {
	g, ok := l.Grants[p.Grant]
	if !ok || !g.Settling {
		return
	}
	l.lowerCap(g, p.Cap)
	if !p.Final {
		g.Doubt = p.Doubt
		return
	}
	l.remove(g, p.Bill)
	l.prune()
}

// WriteOff is an operator's decision on a grant in doubt: Bill tokens are billed
// and the rest returns to the customer. Its ID makes it idempotent.
type WriteOff struct {
	ID    string         `cbor:"id" json:"id"`
	Grant escrow.GrantID `cbor:"grant" json:"grant"`
	Bill  escrow.Tokens  `cbor:"bill" json:"bill"`
}

// WriteOff settles a grant by an operator's decision, or returns an *AmountError
// or a *NotInDoubtError.
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
