package trial

import (
	"time"

	"dotterelgap/core/escrow"
)

// Parameters of timed leases.
const (
	leaseDuration = 10 * time.Minute
	leaseRenewal  = leaseDuration / 2
	// leaseDivisor is the part of the free budget that goes into one lease: one
	// divided by this number.
	leaseDivisor = 8
)

// lease is a part of a budget that an entry may spend until the lease expires.
type lease struct {
	entry, customer        int
	amount, used, reserved escrow.Tokens
	// reported is the amount used or reserved at the latest renewal.
	reported escrow.Tokens
	expiry   time.Time
	ended    bool
}

func (l *lease) free() escrow.Tokens { return l.amount - l.used - l.reserved }

// leases grants entries parts of budgets for a limited time. When a lease expires,
// control frees the tokens that the holder has not reported as used.
type leases struct {
	sim       *Simulation
	balance   []escrow.Tokens
	byEntry   [][]*lease
	byRequest map[int]*lease
	// careful keeps the tokens of an expired lease until its holder is reachable
	// again and reports.
	careful bool
}

// NewLeases returns a policy with timed leases as they are commonly built: when a
// lease expires, the tokens that the holder has not reported as used are free
// again. The policy overspends if an unreachable holder has used them.
func NewLeases(sim *Simulation) Policy { return newLeases(sim, false) }

// NewCarefulLeases returns a policy with timed leases that frees the tokens of an
// expired lease only after the holder's last report.
func NewCarefulLeases(sim *Simulation) Policy { return newLeases(sim, true) }

func newLeases(sim *Simulation, careful bool) Policy {
	p := &leases{sim: sim, balance: append([]escrow.Tokens(nil), sim.paid...), byRequest: map[int]*lease{}, careful: careful}
	for range sim.Down {
		p.byEntry = append(p.byEntry, make([]*lease, len(sim.paid)))
	}
	return p
}

func (p *leases) controlReachable(entry int) bool {
	return !p.sim.Down[entry] && p.sim.ControlReachable(p.sim.Place(entry))
}

func (p *leases) Reserve(r *Request, done func(bool)) {
	l := p.byEntry[r.Entry][r.Customer]
	if l != nil && !l.ended && p.sim.Now.Before(l.expiry) && l.free() >= r.Worst {
		p.reserveFrom(l, r)
		done(true)
		return
	}
	if !p.controlReachable(r.Entry) {
		done(false)
		return
	}
	p.sim.CountCall()
	p.sim.After(controlRoundTrip, func() {
		l := p.openLease(r)
		if l != nil {
			p.reserveFrom(l, r)
		}
		done(l != nil)
	})
}

// reserveFrom reserves the worst-case tokens of a request from a lease.
func (p *leases) reserveFrom(l *lease, r *Request) {
	l.reserved += r.Worst
	p.byRequest[r.ID] = l
}

// openLease ends the entry's lease and opens a new one. It returns nil if the
// balance does not cover the request.
func (p *leases) openLease(r *Request) *lease {
	if previous := p.byEntry[r.Entry][r.Customer]; previous != nil {
		p.closeLease(previous)
	}
	n := max(p.balance[r.Customer]/leaseDivisor, r.Worst)
	if n > p.balance[r.Customer] {
		return nil
	}
	p.balance[r.Customer] -= n
	l := &lease{entry: r.Entry, customer: r.Customer, amount: n, expiry: p.sim.Now.Add(leaseDuration)}
	p.byEntry[r.Entry][r.Customer] = l
	p.scheduleRenewal(l)
	p.scheduleExpiry(l)
	return l
}

// closeLease ends a lease whose holder is reachable. The tokens that are reserved
// for requests in flight stay in the lease until they are released.
func (p *leases) closeLease(l *lease) {
	if l.ended {
		return
	}
	l.ended = true
	p.balance[l.customer] += l.free()
}

// scheduleRenewal renews the lease after leaseRenewal if control can reach its
// holder. The holder reports what it has used with the renewal.
func (p *leases) scheduleRenewal(l *lease) {
	p.sim.After(leaseRenewal, func() {
		if l.ended || !p.controlReachable(l.entry) || p.byEntry[l.entry][l.customer] != l {
			return
		}
		p.sim.CountCall()
		l.reported = l.used + l.reserved
		l.expiry = p.sim.Now.Add(leaseDuration)
		p.scheduleRenewal(l)
		p.scheduleExpiry(l)
	})
}

// scheduleExpiry ends the lease when it expires, unless it has been renewed.
func (p *leases) scheduleExpiry(l *lease) {
	expiry := l.expiry
	p.sim.After(expiry.Sub(p.sim.Now), func() {
		if l.ended || !l.expiry.Equal(expiry) {
			return
		}
		if p.controlReachable(l.entry) && p.byEntry[l.entry][l.customer] == l {
			p.closeLease(l)
			return
		}
		if p.careful {
			p.sim.After(time.Second, func() { p.scheduleExpiry(l) })
			return
		}
		l.ended = true
		p.balance[l.customer] += l.amount - l.reported
	})
}

func (p *leases) Release(r *Request, used escrow.Tokens) {
	l := p.byRequest[r.ID]
	delete(p.byRequest, r.ID)
	l.reserved -= r.Worst
	l.used += used
	if l.ended {
		p.balance[r.Customer] += r.Worst - used
	}
}

// EntryDied implements Policy. The entry's leases expire on their own.
func (p *leases) EntryDied(entry int) {
	p.byEntry[entry] = make([]*lease, len(p.sim.paid))
}

func (p *leases) EntryRestarted(int) {}

func (p *leases) TopUp(c int, n escrow.Tokens) { p.balance[c] += n }

func (p *leases) Locked() escrow.Tokens { return 0 }

// UnspentAt implements Policy.
func (p *leases) UnspentAt(place, c int) escrow.Tokens {
	var sum escrow.Tokens
	for e, held := range p.byEntry {
		if l := held[c]; l != nil && !l.ended && p.sim.Place(e) == place {
			sum += l.free()
		}
	}
	return sum
}
