package trial

import (
	"time"

	"dotterelgap/core/escrow"
)

// static gives every entry the same part of every budget.
type static struct {
	w *World
	// purse is each entry's rest per customer.
	purse [][]escrow.Tokens
	// pending are payments that could not be handed on yet.
	pending [][]escrow.Tokens
}

// NewStatic splits each budget evenly over the entries.
func NewStatic(w *World) Policy {
	p := &static{w: w}
	for range w.Down {
		p.purse = append(p.purse, tokens(len(w.paid)))
		p.pending = append(p.pending, tokens(len(w.paid)))
	}
	for c, n := range w.paid {
		p.TopUp(c, n)
	}
	w.Every(time.Second, p.handOn)
	return p
}

func (p *static) Reserve(r *Request, done func(bool)) {
	rest := &p.purse[r.Entry][r.Customer]
	ok := *rest >= r.Worst
	if ok {
		*rest -= r.Worst
	}
	done(ok)
}

func (p *static) Release(r *Request, used escrow.Tokens) {
	p.purse[r.Entry][r.Customer] += r.Worst - used
}

// Died: the part is on record at control, which hands it out again, but for
// what its holder spent, which nobody knows: the whole rest is kept.
func (p *static) Died(int) {}

func (p *static) Back(int) {}

func (p *static) TopUp(c int, n escrow.Tokens) {
	for e := range p.pending {
		p.pending[e][c] += n / escrow.Tokens(len(p.pending))
	}
	p.handOn()
}

func (p *static) handOn() {
	for e := range p.pending {
		if !p.w.Control(p.w.Place(e)) {
			continue
		}
		for c, n := range p.pending[e] {
			if n > 0 {
				p.w.Call()
			}
			p.purse[e][c] += n
			p.pending[e][c] = 0
		}
	}
}

func (p *static) Locked() escrow.Tokens { return 0 }

// Placed implements Policy.
func (p *static) Placed(place, c int) escrow.Tokens {
	var sum escrow.Tokens
	for e := range p.purse {
		if p.w.Place(e) == place {
			sum += p.purse[e][c]
		}
	}
	return sum
}
