package trial

import (
	"time"

	"dotterelgap/core/escrow"
)

// The terms of timed leases.
const (
	leaseLife  = 10 * time.Minute
	leaseRenew = leaseLife / 2
	// leaseParts divides the free budget for one lease.
	leaseParts = 8
)

// lease is a part of a budget that its holder may spend until a time.
type lease struct {
	entry, customer        int
	amount, used, reserved escrow.Tokens
	reported               escrow.Tokens
	end                    time.Time
	ended                  bool
}

func (l *lease) rest() escrow.Tokens { return l.amount - l.used - l.reserved }

// leases gives entries parts of budgets for a time. When a lease ends, control
// takes back what was not reported as used.
type leases struct {
	sim     *Simulation
	balance []escrow.Tokens
	held    [][]*lease
	of      map[int]*lease
	// careful keeps the lease of an unreachable holder until it reports.
	careful bool
}

// NewLeases is the timed lease as it is commonly built: at its end, what the
// holder did not report as used is free again.
func NewLeases(sim *Simulation) Policy { return newLeases(sim, false) }

// NewCarefulLeases waits for the holder's last report before it frees anything.
func NewCarefulLeases(sim *Simulation) Policy { return newLeases(sim, true) }

func newLeases(sim *Simulation, careful bool) Policy {
	p := &leases{sim: sim, balance: append([]escrow.Tokens(nil), sim.paid...), of: map[int]*lease{}, careful: careful}
	for range sim.Down {
		p.held = append(p.held, make([]*lease, len(sim.paid)))
	}
	return p
}

func (p *leases) control(entry int) bool {
	return !p.sim.Down[entry] && p.sim.ControlReachable(p.sim.Place(entry))
}

func (p *leases) Reserve(r *Request, done func(bool)) {
	l := p.held[r.Entry][r.Customer]
	if l != nil && !l.ended && p.sim.Now.Before(l.end) && l.rest() >= r.Worst {
		p.take(l, r)
		done(true)
		return
	}
	if !p.control(r.Entry) {
		done(false)
		return
	}
	p.sim.CountCall()
	p.sim.After(controlTrip, func() {
		l := p.grant(r)
		if l != nil {
			p.take(l, r)
		}
		done(l != nil)
	})
}

func (p *leases) take(l *lease, r *Request) {
	l.reserved += r.Worst
	p.of[r.ID] = l
}

// grant ends the entry's lease and opens a new one.
func (p *leases) grant(r *Request) *lease {
	if old := p.held[r.Entry][r.Customer]; old != nil {
		p.finish(old)
	}
	n := max(p.balance[r.Customer]/leaseParts, r.Worst)
	if n > p.balance[r.Customer] {
		return nil
	}
	p.balance[r.Customer] -= n
	l := &lease{entry: r.Entry, customer: r.Customer, amount: n, end: p.sim.Now.Add(leaseLife)}
	p.held[r.Entry][r.Customer] = l
	p.renewLater(l)
	p.endLater(l)
	return l
}

// finish ends a lease whose holder can be asked: requests in flight stay paid.
func (p *leases) finish(l *lease) {
	if l.ended {
		return
	}
	l.ended = true
	p.balance[l.customer] += l.rest()
}

func (p *leases) renewLater(l *lease) {
	p.sim.After(leaseRenew, func() {
		if l.ended || !p.control(l.entry) || p.held[l.entry][l.customer] != l {
			return
		}
		p.sim.CountCall()
		l.reported = l.used + l.reserved
		l.end = p.sim.Now.Add(leaseLife)
		p.renewLater(l)
		p.endLater(l)
	})
}

// endLater takes the lease back at its end.
func (p *leases) endLater(l *lease) {
	end := l.end
	p.sim.After(end.Sub(p.sim.Now), func() {
		if l.ended || !l.end.Equal(end) {
			return
		}
		if p.control(l.entry) && p.held[l.entry][l.customer] == l {
			p.finish(l)
			return
		}
		if p.careful {
			p.sim.After(time.Second, func() { p.endLater(l) })
			return
		}
		l.ended = true
		p.balance[l.customer] += l.amount - l.reported
	})
}

func (p *leases) Release(r *Request, used escrow.Tokens) {
	l := p.of[r.ID]
	delete(p.of, r.ID)
	l.reserved -= r.Worst
	l.used += used
	if l.ended {
		p.balance[r.Customer] += r.Worst - used
	}
}

// EntryDied: the leases run out by themselves.
func (p *leases) EntryDied(entry int) {
	p.held[entry] = make([]*lease, len(p.sim.paid))
}

func (p *leases) EntryRestarted(int) {}

func (p *leases) TopUp(c int, n escrow.Tokens) { p.balance[c] += n }

func (p *leases) Locked() escrow.Tokens { return 0 }

// UnspentAt implements Policy.
func (p *leases) UnspentAt(place, c int) escrow.Tokens {
	var sum escrow.Tokens
	for e, held := range p.held {
		if l := held[c]; l != nil && !l.ended && p.sim.Place(e) == place {
			sum += l.rest()
		}
	}
	return sum
}
