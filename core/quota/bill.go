package quota

import (
	"cmp"
	"slices"
)

// Bill says what a holder is billed for one customer when it ends, and why.
type Bill struct {
	Customer string `json:"customer"`
	// Billed is the sum of Spent, Reserved and Ahead.
	Billed Tokens `json:"billed"`
	// Spent and Reserved come from the holder's latest statement: what its ended requests used,
	// and what those that had begun may still have used.
	Spent    Tokens `json:"spent"`
	Reserved Tokens `json:"reserved"`
	// Ahead is what the holder may have spent since that statement.
	Ahead Tokens `json:"ahead"`
	// Rate is the holder's demand in tokens per second.
	Rate float64 `json:"rate"`
}

// Bills returns what the holder of an ending is billed, with the largest amounts beyond Spent
// first. It returns nothing if the holder has ended, or has sent a statement since.
func (l *Ledger) Bills(e Ending) []Bill {
	h, ok := l.Holders[e.Holder]
	if !ok || h.Ended || h.Seq != e.Seq {
		return nil
	}
	var out []Bill
	for c, a := range l.Accounts {
		if r, ok := a.Allocations[e.Holder]; ok && a.Bounded {
			out = append(out, e.Evidence.detail(r, c))
		}
	}
	slices.SortFunc(out, func(a, b Bill) int {
		return cmp.Or(cmp.Compare(b.Billed-b.Spent, a.Billed-a.Spent), cmp.Compare(a.Customer, b.Customer))
	})
	return out
}

// detail splits the bill of an allocation into its parts.
func (e Evidence) detail(r *Allocation, customer string) Bill {
	b := Bill{Customer: customer, Billed: e.bill(r, customer), Rate: r.Rate}
	b.Spent = min(r.Spent, b.Billed)
	b.Reserved = min(r.begun(), b.Billed) - b.Spent
	b.Ahead = b.Billed - b.Spent - b.Reserved
	return b
}

// Ending returns the ending that a statement names or causes.
func (s Statement) Ending() Ending {
	if s.Left {
		return Ending{Holder: s.Holder, Seq: s.Seq, Evidence: Evidence{Witnessed: true}}
	}
	return s.Replaces
}
