package trial

import (
	"time"

	"dotterelgap/core/escrow"
)

// controlRoundTrip is the round-trip time of a call to control.
const controlRoundTrip = 2 * time.Millisecond

// central checks every request at control.
type central struct {
	sim      *Simulation
	balance  []escrow.Tokens
	reserved map[int]escrow.Tokens
}

// NewCentral returns a policy that checks each request at control and refuses it
// if control is unreachable.
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

// failOpen serves requests that it can't check. It refuses none of them wrongly,
// but it overspends.
type failOpen struct{ central }

// NewFailOpen returns a policy that checks each request at control and serves it
// unchecked if control is unreachable.
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

// clairvoyant knows the balance in the whole fleet and, during the partition, its
// ideal split.
type clairvoyant struct{ central }

// NewClairvoyant returns the policy that gives the lower bound on refusals. It
// refuses only requests that no policy can serve without overspending.
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

// UnspentAt implements Policy. All unspent tokens are at control.
func (p *central) UnspentAt(int, int) escrow.Tokens { return 0 }

// UnspentAt implements Policy. It returns the ideal share of the partitioned place.
func (p *clairvoyant) UnspentAt(_, c int) escrow.Tokens { return p.sim.idealShares[c][1] }
