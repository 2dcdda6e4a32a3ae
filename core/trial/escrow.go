package trial

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/ledger"
)

// Times of the escrow policy's messages and duties.
const (
	peerRoundTrip     = time.Millisecond
	claimRoundTrip    = time.Millisecond
	tickInterval      = 50 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	suspectAfter      = 2 * time.Second
)

// EscrowOptions switch parts of the policy off, to see what each is worth.
type EscrowOptions struct {
	// PerEntry lets each entry hold for itself; else one entry of the place
	// holds for a customer and the others borrow.
	PerEntry bool
	// NoTakeover leaves a dead holder's rest until control settles it.
	NoTakeover bool
	// NoPeers keeps entries from asking holders in other places.
	NoPeers bool
	// Forfeit bills the whole grant of a dead holder.
	Forfeit bool
	Options escrow.Options
}

// Escrow runs the machines that the processes run: ledger, holders, witnesses
// and meters.
type Escrow struct {
	sim     *Simulation
	opts    EscrowOptions
	ledger  *ledger.Ledger
	entries []*escrowEntry
	agents  []*escrowAgent
	// reservations are the reservations by request.
	reservations map[int]*escrowReservation
	// denied holds what was free when a holder was denied, by customer.
	denied map[fleet.NodeID]map[string]escrow.Tokens
}

type escrowEntry struct {
	index       int
	id          fleet.NodeID
	incarnation int
	place       int
	holder      *escrow.Holder
	waiting     map[string]func(escrow.Result)
}

type escrowAgent struct {
	id      fleet.NodeID
	place   int
	meter   *escrow.Meter
	witness *escrow.Witness
}

// escrowReservation is a request in flight.
type escrowReservation struct {
	entry       *escrowEntry
	incarnation int
	holder      *escrowEntry
	id          string
	agent       *escrowAgent
}

// NewEscrow runs the policy as the processes run it.
func NewEscrow(sim *Simulation) Policy {
	return NewEscrowWith(EscrowOptions{Options: escrow.DefaultOptions()})(sim)
}

// NewEscrowWith runs the policy with some parts switched off.
func NewEscrowWith(opts EscrowOptions) NewPolicyFunc {
	return func(sim *Simulation) Policy {
		p := &Escrow{sim: sim, opts: opts, ledger: ledger.New(), reservations: map[int]*escrowReservation{}, denied: map[fleet.NodeID]map[string]escrow.Tokens{}}
		p.addAgents()
		for e := range sim.Down {
			p.entries = append(p.entries, &escrowEntry{index: e, place: sim.Place(e)})
			p.EntryRestarted(e)
		}
		for c, n := range sim.paid {
			p.ledger.Create(sim.Setup.Customers[c].Name)
			p.TopUp(c, n)
		}
		sim.Every(tickInterval, p.tick)
		sim.Every(heartbeatInterval, p.heartbeat)
		sim.Every(heartbeatInterval, p.notifyFunded)
		return p
	}
}

func (p *Escrow) addAgents() {
	for i := range p.sim.Setup.Agents {
		a := &escrowAgent{id: fleet.NodeID(fmt.Sprintf("agent-%02d", i)), place: i % p.sim.Setup.Places}
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1))
		p.ledger.Join(fleet.Node{ID: a.id, Role: fleet.RoleAgent, Place: placeName(a.place), Addr: addr})
		a.meter = escrow.NewMeter(a.id, 1)
		a.witness = escrow.NewWitness(a.id)
		p.agents = append(p.agents, a)
	}
}

func placeName(i int) fleet.Place { return fleet.Place(fmt.Sprintf("place-%d", i)) }

// EntryRestarted implements Policy: the entry starts anew with nothing.
func (p *Escrow) EntryRestarted(index int) {
	e := p.entries[index]
	e.incarnation++
	e.id = fleet.NodeID(fmt.Sprintf("entry-%d-%d", index, e.incarnation))
	e.holder = escrow.NewHolder(e.id, placeName(e.place), p.opts.Options)
	e.waiting = map[string]func(escrow.Result){}
}

// EntryDied implements Policy. Control suspects the entry after a while; the callers
// whose streams it had come again, and their work is booked by the agents.
func (p *Escrow) EntryDied(index int) {
	e := p.entries[index]
	dead, died := e.id, p.sim.Now
	e.incarnation++
	for _, other := range p.entries {
		if other != e && other.place == e.place {
			p.sim.After(suspectAfter, func() {
				p.apply(other, func(now time.Time, fx *escrow.Effects) { other.holder.BorrowerLost(now, dead, fx) })
			})
		}
	}
	p.sim.After(suspectAfter, func() { p.settleDead(dead, died) })
}

func (p *Escrow) settleDead(dead fleet.NodeID, died time.Time) {
	if !p.opts.Forfeit {
		ids := p.ledger.HeldBy(dead)
		p.ledger.Settle(ids)
		p.recordSettlement(ids, died)
		return
	}
	for _, id := range p.ledger.HeldBy(dead) {
		g := p.ledger.Grants[id]
		p.ledger.Close(escrow.Close{Grant: id, Holder: g.Grant.Holder, Spent: g.Outstanding, Final: true})
	}
}

// recordSettlement records when the unused rest of a dead entry's grants is back.
func (p *Escrow) recordSettlement(ids []escrow.GrantID, died time.Time) {
	unsettled := slices.ContainsFunc(ids, func(id escrow.GrantID) bool {
		g, ok := p.ledger.Grants[id]
		return ok && g.Outstanding > 0 && g.Outstanding == g.Grant.Amount
	})
	if unsettled {
		p.sim.After(tickInterval, func() { p.recordSettlement(ids, died) })
		return
	}
	if len(ids) > 0 {
		_ = p.sim.Result.Settle.RecordValue(p.sim.Now.Sub(died).Milliseconds())
	}
}

// TopUp implements Policy.
func (p *Escrow) TopUp(c int, n escrow.Tokens) {
	t := ledger.TopUp{ID: fmt.Sprintf("%d-%d", c, p.sim.Now.UnixNano()), Customer: p.sim.Setup.Customers[c].Name, Tokens: n}
	if err := p.ledger.TopUp(t); err != nil {
		panic(err)
	}
}

// notifyFunded tells denied holders with their next beat that there is more.
func (p *Escrow) notifyFunded() {
	for _, e := range p.entries {
		for c, free := range p.denied[e.id] {
			if !p.sim.ControlReachable(e.place) || p.ledger.Free(c) <= free {
				continue
			}
			delete(p.denied[e.id], c)
			p.apply(e, func(now time.Time, fx *escrow.Effects) { e.holder.Funded(now, c, fx) })
		}
	}
}

// Locked implements Policy.
func (p *Escrow) Locked() escrow.Tokens {
	var sum escrow.Tokens
	for _, g := range p.ledger.Grants {
		if g.Settling {
			sum += g.Outstanding
		}
	}
	return sum
}

func (p *Escrow) alive(e *escrowEntry) bool { return !p.sim.Down[e.index] }

func (p *Escrow) holderAlive(id fleet.NodeID) bool {
	return slices.ContainsFunc(p.entries, func(e *escrowEntry) bool { return e.id == id && p.alive(e) })
}

func (p *Escrow) tick() {
	for _, e := range p.entries {
		p.apply(e, func(now time.Time, fx *escrow.Effects) { e.holder.Tick(now, fx) })
	}
}

// beat carries fences to the agents that control reaches, and settles.
func (p *Escrow) heartbeat() {
	settling := p.ledger.Settling()
	for _, g := range settling {
		reports := map[fleet.NodeID]escrow.Report{}
		for _, a := range p.agents {
			if p.sim.ControlReachable(a.place) {
				reports[a.id] = a.fence(g)
			}
		}
		if step, ok := p.ledger.Assess(g.ID, reports); ok {
			p.ledger.Advance(step)
		}
	}
	floor := p.ledger.Floor()
	for _, a := range p.agents {
		if p.sim.ControlReachable(a.place) {
			a.meter.SetFloor(floor)
			a.witness.SetFloor(floor)
		}
	}
}

func (a *escrowAgent) fence(g escrow.Grant) escrow.Report {
	r := a.meter.Fence(g.ID)
	if slices.Contains(g.Witnesses, a.id) {
		r.Witness, r.Watermark = true, a.witness.Fence(g)
	}
	return r
}

// UnspentAt implements Policy: also what a dead entry left at its agents.
func (p *Escrow) UnspentAt(place, c int) escrow.Tokens {
	var sum escrow.Tokens
	for _, g := range p.ledger.Grants {
		if g.Grant.Customer == p.sim.Setup.Customers[c].Name && g.Grant.Place == placeName(place) {
			sum += g.Outstanding - p.used(g.Grant.ID)
		}
	}
	return sum
}

// used is what was truly used of a grant.
func (p *Escrow) used(id escrow.GrantID) escrow.Tokens {
	var sum escrow.Tokens
	for _, a := range p.agents {
		r := a.meter.Report(id)
		sum += r.Settled
		for _, c := range r.Charges {
			sum += c.Used
		}
	}
	return sum
}
