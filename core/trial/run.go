package trial

import (
	"time"

	"dotterelgap/core/escrow"
)

// Policy decides who may spend. All its calls run on the loop.
type Policy interface {
	// Reserve asks for a request's worst case at an entry and calls done once.
	Reserve(r *Request, done func(ok bool))
	// Release ends a reservation that was granted.
	Release(r *Request, used escrow.Tokens)
	// EntryDied says that an entry lost its memory; it serves again from EntryRestarted on.
	EntryDied(entry int)
	EntryRestarted(entry int)
	// TopUp books a payment at control.
	TopUp(customer int, n escrow.Tokens)
	// Locked is what is neither billed nor usable.
	Locked() escrow.Tokens
	// UnspentAt is what lies unspent at a place for a customer, so that a cut
	// leaves it there.
	UnspentAt(place, customer int) escrow.Tokens
}

// Request is one request with its truth.
type Request struct {
	ID       int
	Entry    int
	Customer int
	Worst    escrow.Tokens
	Actual   escrow.Tokens
	at       time.Time
	retries  int
}

// Simulation is what policies see of an experiment.
type Simulation struct {
	*Loop
	Setup Setup
	// Partitioned is set while the last place is cut off.
	Partitioned bool
	Down        []bool
	Result      *Result

	paid, spent, inFlight []escrow.Tokens
	// ideal is what an ideal split leaves for each side of the cut.
	ideal [][2]escrow.Tokens
	// reach is what lies on each side of the cut, by the policy's own placing.
	reach  [][2]escrow.Tokens
	policy Policy
	serial int
	future []demand
}

// demand is one request that will come.
type demand struct {
	at       time.Duration
	entry    int
	customer int
	prompt   escrow.Tokens
	output   escrow.Tokens
}

// NewPolicyFunc makes a policy for a world.
type NewPolicyFunc func(sim *Simulation) Policy

// Place is the place of an entry.
func (sim *Simulation) Place(entry int) int { return entry / sim.Setup.EntriesPerPlace }

// Partition is the side of the cut on which a place is: 1 is without control.
func (sim *Simulation) Partition(place int) int {
	if sim.Partitioned && place == sim.Setup.partitionedPlace() {
		return 1
	}
	return 0
}

// Reachable tells whether two places can talk.
func (sim *Simulation) Reachable(a, b int) bool { return sim.Partition(a) == sim.Partition(b) }

// ControlReachable tells whether a place can talk to control.
func (sim *Simulation) ControlReachable(place int) bool { return sim.Partition(place) == 0 }

// CountCall counts a call to control.
func (sim *Simulation) CountCall() { sim.Result.Calls++ }

// Run runs one policy through an experiment.
func Run(s Setup, name string, make NewPolicyFunc, seed uint64) *Result {
	sim := &Simulation{Loop: NewLoop(seed), Setup: s, Result: newResult(name), Down: []bool{}}
	sim.Down = append(sim.Down, bools(s.Places*s.EntriesPerPlace)...)
	for _, c := range s.Customers {
		sim.paid = append(sim.paid, c.Paid)
	}
	sim.spent = tokens(len(s.Customers))
	sim.inFlight = tokens(len(s.Customers))
	sim.future = sim.draw()
	sim.policy = make(sim)
	start := sim.Now
	sim.schedule()
	sim.RunUntil(start.Add(s.Length))
	sim.RunUntil(start.Add(s.Length + 10*time.Minute))
	sim.Result.Locked = sim.policy.Locked()
	return sim.Result
}

func bools(n int) []bool { return make([]bool, n) }

func tokens(n int) []escrow.Tokens { return make([]escrow.Tokens, n) }

// draw makes the whole demand beforehand, the same for every policy.
func (sim *Simulation) draw() []demand {
	var out []demand
	for c, cu := range sim.Setup.Customers {
		at := time.Duration(0)
		for {
			at += time.Duration(sim.Rand.ExpFloat64() / cu.PerSecond * float64(time.Second))
			if at >= sim.Setup.Length {
				break
			}
			out = append(out, sim.drawOne(at, c, cu))
		}
	}
	return out
}

func (sim *Simulation) drawOne(at time.Duration, c int, cu Customer) demand {
	place := 0
	if sim.Rand.Float64() >= cu.Skew {
		place = 1 + sim.Rand.IntN(sim.Setup.Places-1)
	}
	size := func(mean, limit escrow.Tokens) escrow.Tokens {
		return min(1+escrow.Tokens(sim.Rand.ExpFloat64()*float64(mean)), limit)
	}
	return demand{
		at: at, customer: c, entry: place*sim.Setup.EntriesPerPlace + sim.Rand.IntN(sim.Setup.EntriesPerPlace),
		prompt: size(sim.Setup.MeanPrompt, 8*sim.Setup.MeanPrompt), output: size(sim.Setup.MeanOutput, sim.Setup.Cap),
	}
}

func (sim *Simulation) schedule() {
	for _, d := range sim.future {
		sim.After(d.at, func() { sim.arrive(d) })
	}
	sim.After(sim.Setup.PartitionStart, func() {
		sim.Partitioned = true
		sim.split()
	})
	sim.After(sim.Setup.PartitionEnd, func() { sim.Partitioned = false })
	for _, t := range sim.Setup.TopUps {
		sim.After(t.At, func() { sim.topUp(t) })
	}
	sim.scheduleDeath()
}

func (sim *Simulation) topUp(t TopUp) {
	sim.paid[t.Customer] += t.Tokens
	if sim.ideal != nil {
		sim.ideal[t.Customer][0] += t.Tokens
		sim.reach[t.Customer][0] += t.Tokens
	}
	sim.policy.TopUp(t.Customer, t.Tokens)
}

func (sim *Simulation) scheduleDeath() {
	if sim.Setup.DeathEvery == 0 {
		return
	}
	wait := time.Duration(sim.Rand.ExpFloat64() * float64(sim.Setup.DeathEvery))
	sim.After(wait, func() {
		e := sim.Rand.IntN(len(sim.Down))
		if !sim.Down[e] {
			sim.Down[e] = true
			sim.policy.EntryDied(e)
			sim.After(sim.Setup.DownFor, func() {
				sim.Down[e] = false
				sim.policy.EntryRestarted(e)
			})
		}
		sim.scheduleDeath()
	})
}

// split works out, at the start of the cut, how one who knows the coming demand
// would share each balance between the two sides.
func (sim *Simulation) split() {
	coming := make([][2]escrow.Tokens, len(sim.paid))
	for _, d := range sim.future {
		if d.at >= sim.Setup.PartitionStart && d.at < sim.Setup.PartitionEnd {
			coming[d.customer][sim.Partition(sim.Place(d.entry))] += d.prompt + d.output
		}
	}
	sim.ideal = make([][2]escrow.Tokens, len(sim.paid))
	sim.reach = make([][2]escrow.Tokens, len(sim.paid))
	for c := range sim.paid {
		free := sim.paid[c] - sim.spent[c] - sim.inFlight[c]
		both := coming[c][0] + coming[c][1]
		far := coming[c][1]
		if both > free && both > 0 {
			far = free * coming[c][1] / both
		}
		sim.ideal[c] = [2]escrow.Tokens{free - far, far}
		placed := min(sim.policy.UnspentAt(sim.Setup.partitionedPlace(), c), free)
		sim.reach[c] = [2]escrow.Tokens{free - placed, placed}
	}
}

// arrive is a request at an entry. The balancer sends callers of a dead entry
// to another one of the place.
func (sim *Simulation) arrive(d demand) {
	sim.serial++
	sim.Result.Requests++
	r := &Request{
		ID: sim.serial, Entry: sim.alive(d.entry), Customer: d.customer, at: sim.Now,
		Worst: d.prompt + sim.Setup.Cap, Actual: d.prompt + d.output,
	}
	sim.Result.Tokens += r.Actual
	if r.Entry < 0 {
		return
	}
	sim.policy.Reserve(r, func(ok bool) { sim.decided(r, ok) })
}

func (sim *Simulation) alive(entry int) int {
	first := sim.Place(entry) * sim.Setup.EntriesPerPlace
	for i := range sim.Setup.EntriesPerPlace {
		e := first + (entry-first+i)%sim.Setup.EntriesPerPlace
		if !sim.Down[e] {
			return e
		}
	}
	return -1
}

func (sim *Simulation) decided(r *Request, ok bool) {
	_ = sim.Result.Wait.RecordValue(max(sim.Now.Sub(r.at).Microseconds(), 1))
	if !ok {
		sim.refused(r)
		return
	}
	side := sim.Partition(sim.Place(r.Entry))
	sim.inFlight[r.Customer] += r.Actual
	if sim.ideal != nil && sim.Partitioned {
		sim.ideal[r.Customer][side] -= r.Actual
		sim.reach[r.Customer][side] -= r.Actual
	}
	sim.After(time.Duration(r.Actual)*sim.Setup.TokenTime/10, func() {
		sim.inFlight[r.Customer] -= r.Actual
		sim.spent[r.Customer] += r.Actual
		sim.Result.Overspend = max(sim.Result.Overspend, sim.spent[r.Customer]-sim.paid[r.Customer])
		sim.policy.Release(r, r.Actual)
	})
}

// refused counts a refusal, and whether it was wrong.
func (sim *Simulation) refused(r *Request) {
	sim.Result.Refused++
	free := sim.paid[r.Customer] - sim.spent[r.Customer] - sim.inFlight[r.Customer]
	if free >= r.Worst {
		sim.Result.FalseFleet++
		sim.Result.FalseFleetTokens += r.Actual
	}
	side := sim.Partition(sim.Place(r.Entry))
	if covered(sim, sim.reach, r, side, free) {
		sim.Result.FalseReachable++
		sim.Result.FalseReachableTokens += r.Actual
	}
	if covered(sim, sim.ideal, r, side, free) {
		sim.Result.FalseIdeal++
	}
}

// covered tells whether the balance on a side would have covered a request.
func covered(sim *Simulation, sides [][2]escrow.Tokens, r *Request, side int, free escrow.Tokens) bool {
	if sides != nil && sim.Partitioned {
		free = min(free, sides[r.Customer][side])
	}
	return free >= r.Worst
}
