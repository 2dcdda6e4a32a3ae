package trial

import (
	"time"

	"dotterelgap/core/escrow"
)

// controlRoundTrip is the time of a call to control and back.
const controlRoundTrip = 2 * time.Millisecond

// central asks control about every request.
type central struct {
	sim      *Simulation
	balance  []escrow.Tokens
	reserved map[int]escrow.Tokens
}

// NewCentral checks each request at control, and refuses where it can't.
func NewCentral(sim *Simulation) Policy {
	return &central{sim: sim, balance: append([]escrow.Tokens(nil), sim.paid...), reserved: map[int]escrow.Tokens{}}
}

func (p *central) Reserve(r *Request, done func(bool)) {
	if !p.sim.ControlReachable(p.sim.Place(r.Entry)) {
		done(false)
		return
	}
	p.sim.CountCall()
	p.sim.After(controlRoundTrip, func() {
		ok := p.balance[r.Customer] >= r.Worst
		if ok {
			p.balance[r.Customer] -= r.Worst
			p.reserved[r.ID] = r.Worst
		}
		done(ok)
	})
}

func (p *central) Release(r *Request, used escrow.Tokens) {
	p.sim.CountCall()
	p.balance[r.Customer] += p.reserved[r.ID] - used
	delete(p.reserved, r.ID)
}

func (p *central) EntryDied(int) {}

func (p *central) EntryRestarted(int) {}

func (p *central) TopUp(c int, n escrow.Tokens) { p.balance[c] += n }

func (p *central) Locked() escrow.Tokens { return 0 }

// failOpen serves what it can't check: it never refuses wrongly, and overspends.
type failOpen struct{ central }

// NewFailOpen checks at control, and serves unchecked where it can't.
func NewFailOpen(sim *Simulation) Policy {
	return &failOpen{central{sim: sim, balance: append([]escrow.Tokens(nil), sim.paid...), reserved: map[int]escrow.Tokens{}}}
}

func (p *failOpen) Reserve(r *Request, done func(bool)) {
	if p.sim.ControlReachable(p.sim.Place(r.Entry)) {
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
func NewClairvoyant(sim *Simulation) Policy {
	return &clairvoyant{central{sim: sim, balance: append([]escrow.Tokens(nil), sim.paid...), reserved: map[int]escrow.Tokens{}}}
}

func (p *clairvoyant) Reserve(r *Request, done func(bool)) {
	sim := p.sim
	free := sim.paid[r.Customer] - sim.spent[r.Customer] - sim.inFlight[r.Customer]
	if sim.Partitioned {
		free = min(free, sim.idealShares[r.Customer][sim.Partition(sim.Place(r.Entry))])
	}
	done(free >= r.Worst)
}

func (p *clairvoyant) Release(*Request, escrow.Tokens) {}

// UnspentAt implements Policy: all lies at control.
func (p *central) UnspentAt(int, int) escrow.Tokens { return 0 }

// UnspentAt implements Policy: the ideal split.
func (p *clairvoyant) UnspentAt(_, c int) escrow.Tokens { return p.sim.idealShares[c][1] }
