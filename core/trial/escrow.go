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

// Delays and intervals of the escrow policy.
const (
	peerRoundTrip     = time.Millisecond
	claimRoundTrip    = time.Millisecond
	tickInterval      = 50 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	suspectAfter      = 2 * time.Second
)

// EscrowOptions turns parts of the escrow policy off, to measure their effect.
type EscrowOptions struct {
	// PerEntry makes each entry hold its own grants. Otherwise one entry of each
	// place holds the grants of a customer and the other entries borrow from it.
	PerEntry bool
	// NoTakeover keeps entries from taking over a dead holder's grants. Their
	// unused tokens are not available until control settles the grants.
	NoTakeover bool
	// NoPeers keeps entries from borrowing from holders in other places.
	NoPeers bool
	// Forfeit bills the whole grants of a dead holder.
	Forfeit bool
	// Options configures the holders.
	Options escrow.Options
}

// Escrow is the escrow policy. It runs the state machines that the processes run:
// the ledger, holders, witnesses and meters.
type Escrow struct {
	sim     *Simulation
	opts    EscrowOptions
	ledger  *ledger.Ledger
	entries []*escrowEntry
	agents  []*escrowAgent
	// reservations holds the requests in flight by Request.ID.
	reservations map[int]*escrowReservation
	// denied holds, per holder and customer, the tokens that were free in the
	// ledger when the holder's refill was denied.
	denied map[fleet.NodeID]map[string]escrow.Tokens
}

// escrowEntry is an entry with its holder. Its id changes with each incarnation.
type escrowEntry struct {
	index       int
	id          fleet.NodeID
	incarnation int
	place       int
	holder      *escrow.Holder
	// waiting holds the callbacks of pending reservations by reservation id.
	waiting map[string]func(escrow.Result)
}

type escrowAgent struct {
	id      fleet.NodeID
	place   int
	meter   *escrow.Meter
	witness *escrow.Witness
}

// escrowReservation is the reservation of a request in flight. The incarnation is
// that of the entry, and id is the reservation's id at its holder.
type escrowReservation struct {
	entry       *escrowEntry
	incarnation int
	holder      *escrowEntry
	id          string
	agent       *escrowAgent
}

// NewEscrow returns the escrow policy with the options that the processes use.
func NewEscrow(sim *Simulation) Policy {
	return NewEscrowWith(EscrowOptions{Options: escrow.DefaultOptions()})(sim)
}

// NewEscrowWith returns a function that creates the escrow policy with the given
// options.
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

// EntryRestarted implements Policy. It starts a new incarnation of the entry,
// which holds no grants.
func (p *Escrow) EntryRestarted(index int) {
	e := p.entries[index]
	e.incarnation++
	e.id = fleet.NodeID(fmt.Sprintf("entry-%d-%d", index, e.incarnation))
	e.holder = escrow.NewHolder(e.id, placeName(e.place), p.opts.Options)
	e.waiting = map[string]func(escrow.Result){}
}

// EntryDied implements Policy. After suspectAfter, control settles the entry's
// grants, and the other holders of the place abandon its loans. The agents record
// the use of the entry's requests in flight.
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

// settleDead settles the grants of a dead entry, or bills all their outstanding
// tokens if Forfeit is set.
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

// recordSettlement waits until the unused tokens of a dead entry's grants are
// available again, and records how long that took.
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

// notifyFunded tells holders whose refills were denied that the ledger has more
// free tokens now. The processes learn this from the replies to their heartbeats.
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

// heartbeat fences settling grants at the agents that control can reach, and
// settles the grants with their reports.
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

// UnspentAt implements Policy. It includes the unused tokens of dead entries'
// grants.
func (p *Escrow) UnspentAt(place, c int) escrow.Tokens {
	var sum escrow.Tokens
	for _, g := range p.ledger.Grants {
		if g.Grant.Customer == p.sim.Setup.Customers[c].Name && g.Grant.Place == placeName(place) {
			sum += g.Outstanding - p.used(g.Grant.ID)
		}
	}
	return sum
}

// used returns the tokens of a grant that the agents have metered.
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
