package trial

import (
	"time"

	"dotterelgap/core/escrow"
)

// controlTrip is the time of a call to control and back.
const controlTrip = 2 * time.Millisecond

// central asks control about every request.
type central struct {
	w        *World
	balance  []escrow.Tokens
	reserved map[int]escrow.Tokens
}

// NewCentral checks each request at control, and refuses where it can't.
func NewCentral(w *World) Policy {
	return &central{w: w, balance: append([]escrow.Tokens(nil), w.paid...), reserved: map[int]escrow.Tokens{}}
}

func (p *central) Reserve(r *Request, done func(bool)) {
	if !p.w.Control(p.w.Place(r.Entry)) {
		done(false)
		return
	}
	p.w.Call()
	p.w.After(controlTrip, func() {
		ok := p.balance[r.Customer] >= r.Worst
		if ok {
			p.balance[r.Customer] -= r.Worst
			p.reserved[r.ID] = r.Worst
		}
		done(ok)
	})
}

func (p *central) Release(r *Request, used escrow.Tokens) {
	p.w.Call()
	p.balance[r.Customer] += p.reserved[r.ID] - used
	delete(p.reserved, r.ID)
}

func (p *central) Died(int) {}

func (p *central) Back(int) {}

func (p *central) TopUp(c int, n escrow.Tokens) { p.balance[c] += n }

func (p *central) Locked() escrow.Tokens { return 0 }

// open serves what it can't check: it never refuses wrongly, and overspends.
type open struct{ central }

// NewOpen checks at control, and serves unchecked where it can't.
func NewOpen(w *World) Policy {
	return &open{central{w: w, balance: append([]escrow.Tokens(nil), w.paid...), reserved: map[int]escrow.Tokens{}}}
}

func (p *open) Reserve(r *Request, done func(bool)) {
	if p.w.Control(p.w.Place(r.Entry)) {
		p.central.Reserve(r, done)
		return
	}
	p.reserved[r.ID] = r.Worst
	p.balance[r.Customer] -= r.Worst
	done(true)
}

// clairvoyant knows the balance everywhere and, in the cut, the ideal split.
type clairvoyant struct{ central }

// NewClairvoyant is the floor: it refuses only what no policy could serve.
func NewClairvoyant(w *World) Policy {
	return &clairvoyant{central{w: w, balance: append([]escrow.Tokens(nil), w.paid...), reserved: map[int]escrow.Tokens{}}}
}

func (p *clairvoyant) Reserve(r *Request, done func(bool)) {
	w := p.w
	free := w.paid[r.Customer] - w.spent[r.Customer] - w.inFlight[r.Customer]
	if w.Cut {
		free = min(free, w.ideal[r.Customer][w.Side(w.Place(r.Entry))])
	}
	done(free >= r.Worst)
}

func (p *clairvoyant) Release(*Request, escrow.Tokens) {}

// Placed implements Policy: all lies at control.
func (p *central) Placed(int, int) escrow.Tokens { return 0 }

// Placed implements Policy: the ideal split.
func (p *clairvoyant) Placed(_, c int) escrow.Tokens { return p.w.ideal[c][1] }
