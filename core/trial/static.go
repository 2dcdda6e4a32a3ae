package trial

import (
	"time"

	"dotterelgap/core/escrow"
)

// static gives every entry an equal share of every budget.
type static struct {
	sim *Simulation
	// balance holds each entry's unspent tokens per customer.
	balance [][]escrow.Tokens
	// pending holds each entry's tokens per customer that have not been delivered
	// yet. An unreachable entry gets them once the partition ends.
	pending [][]escrow.Tokens
}

// NewStatic returns a policy that splits each budget evenly between the entries.
func NewStatic(sim *Simulation) Policy {
	p := &static{sim: sim}
	for range sim.Down {
		p.balance = append(p.balance, tokens(len(sim.paid)))
		p.pending = append(p.pending, tokens(len(sim.paid)))
	}
	for c, n := range sim.paid {
		p.TopUp(c, n)
	}
	sim.Every(time.Second, p.distribute)
	return p
}

func (p *static) Reserve(r *Request, done func(bool)) {
	balance := &p.balance[r.Entry][r.Customer]
	ok := *balance >= r.Worst
	if ok {
		*balance -= r.Worst
	}
	done(ok)
}

func (p *static) Release(r *Request, used escrow.Tokens) {
	p.balance[r.Entry][r.Customer] += r.Worst - used
}

// EntryDied implements Policy. Control has a record of the share and gives it to the
// restarted entry, but nobody knows how much of it the entry had spent. The model
// keeps the whole unspent balance.
func (p *static) EntryDied(int) {}

func (p *static) EntryRestarted(int) {}

func (p *static) TopUp(c int, n escrow.Tokens) {
	for e := range p.pending {
		p.pending[e][c] += n / escrow.Tokens(len(p.pending))
	}
	p.distribute()
}

// distribute delivers pending tokens to the entries that control can reach.
func (p *static) distribute() {
	for e := range p.pending {
		if !p.sim.ControlReachable(p.sim.Place(e)) {
			continue
		}
		for c, n := range p.pending[e] {
			if n > 0 {
				p.sim.CountCall()
			}
			p.balance[e][c] += n
			p.pending[e][c] = 0
		}
	}
}

func (p *static) Locked() escrow.Tokens { return 0 }

// UnspentAt implements Policy.
func (p *static) UnspentAt(place, c int) escrow.Tokens {
	var sum escrow.Tokens
	for e := range p.balance {
		if p.sim.Place(e) == place {
			sum += p.balance[e][c]
		}
	}
	return sum
}
