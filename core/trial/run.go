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
	idealShares [][2]escrow.Tokens
	// reach is what lies on each side of the cut, by the policy's own placing.
	reachableShares [][2]escrow.Tokens
	policy          Policy
	lastID          int
	arrivals        []arrival
}

// demand is one request that will come.
type arrival struct {
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
	sim.arrivals = sim.generateArrivals()
	sim.policy = make(sim)
	start := sim.Now
	sim.scheduleEvents()
	sim.RunUntil(start.Add(s.Length))
	sim.RunUntil(start.Add(s.Length + 10*time.Minute))
	sim.Result.Locked = sim.policy.Locked()
	return sim.Result
}

func bools(n int) []bool { return make([]bool, n) }

func tokens(n int) []escrow.Tokens { return make([]escrow.Tokens, n) }

// generateArrivals makes the whole demand beforehand, the same for every policy.
func (sim *Simulation) generateArrivals() []arrival {
	var out []arrival
	for c, cu := range sim.Setup.Customers {
		at := time.Duration(0)
		for {
			at += time.Duration(sim.Rand.ExpFloat64() / cu.PerSecond * float64(time.Second))
			if at >= sim.Setup.Length {
				break
			}
			out = append(out, sim.generateArrival(at, c, cu))
		}
	}
	return out
}

func (sim *Simulation) generateArrival(at time.Duration, c int, cu Customer) arrival {
	place := 0
	if sim.Rand.Float64() >= cu.Skew {
		place = 1 + sim.Rand.IntN(sim.Setup.Places-1)
	}
	size := func(mean, limit escrow.Tokens) escrow.Tokens {
		return min(1+escrow.Tokens(sim.Rand.ExpFloat64()*float64(mean)), limit)
	}
	return arrival{
		at: at, customer: c, entry: place*sim.Setup.EntriesPerPlace + sim.Rand.IntN(sim.Setup.EntriesPerPlace),
		prompt: size(sim.Setup.MeanPrompt, 8*sim.Setup.MeanPrompt), output: size(sim.Setup.MeanOutput, sim.Setup.Cap),
	}
}

func (sim *Simulation) scheduleEvents() {
	for _, d := range sim.arrivals {
		sim.After(d.at, func() { sim.arrive(d) })
	}
	sim.After(sim.Setup.PartitionStart, func() {
		sim.Partitioned = true
		sim.computeShares()
	})
	sim.After(sim.Setup.PartitionEnd, func() { sim.Partitioned = false })
	for _, t := range sim.Setup.TopUps {
		sim.After(t.At, func() { sim.topUp(t) })
	}
	sim.scheduleDeaths()
}

func (sim *Simulation) topUp(t TopUp) {
	sim.paid[t.Customer] += t.Tokens
	if sim.idealShares != nil {
		sim.idealShares[t.Customer][0] += t.Tokens
		sim.reachableShares[t.Customer][0] += t.Tokens
	}
	sim.policy.TopUp(t.Customer, t.Tokens)
}

func (sim *Simulation) scheduleDeaths() {
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
		sim.scheduleDeaths()
	})
}

// split works out, at the start of the cut, how one who knows the coming demand
// would share each balance between the two sides.
func (sim *Simulation) computeShares() {
	need := make([][2]escrow.Tokens, len(sim.paid))
	for _, d := range sim.arrivals {
		if d.at >= sim.Setup.PartitionStart && d.at < sim.Setup.PartitionEnd {
			need[d.customer][sim.Partition(sim.Place(d.entry))] += d.prompt + d.output
		}
	}
	sim.idealShares = make([][2]escrow.Tokens, len(sim.paid))
	sim.reachableShares = make([][2]escrow.Tokens, len(sim.paid))
	for c := range sim.paid {
		free := sim.paid[c] - sim.spent[c] - sim.inFlight[c]
		total := need[c][0] + need[c][1]
		remoteShare := need[c][1]
		if total > free && total > 0 {
			remoteShare = free * need[c][1] / total
		}
		sim.idealShares[c] = [2]escrow.Tokens{free - remoteShare, remoteShare}
		unspent := min(sim.policy.UnspentAt(sim.Setup.partitionedPlace(), c), free)
		sim.reachableShares[c] = [2]escrow.Tokens{free - unspent, unspent}
	}
}

// arrive is a request at an entry. The balancer sends callers of a dead entry
// to another one of the place.
func (sim *Simulation) arrive(d arrival) {
	sim.lastID++
	sim.Result.Requests++
	r := &Request{
		ID: sim.lastID, Entry: sim.liveEntry(d.entry), Customer: d.customer, at: sim.Now,
		Worst: d.prompt + sim.Setup.Cap, Actual: d.prompt + d.output,
	}
	sim.Result.Tokens += r.Actual
	if r.Entry < 0 {
		return
	}
	sim.policy.Reserve(r, func(ok bool) { sim.reserved(r, ok) })
}

func (sim *Simulation) liveEntry(entry int) int {
	first := sim.Place(entry) * sim.Setup.EntriesPerPlace
	for i := range sim.Setup.EntriesPerPlace {
		e := first + (entry-first+i)%sim.Setup.EntriesPerPlace
		if !sim.Down[e] {
			return e
		}
	}
	return -1
}

func (sim *Simulation) reserved(r *Request, ok bool) {
	_ = sim.Result.Wait.RecordValue(max(sim.Now.Sub(r.at).Microseconds(), 1))
	if !ok {
		sim.recordRefusal(r)
		return
	}
	partition := sim.Partition(sim.Place(r.Entry))
	sim.inFlight[r.Customer] += r.Actual
	if sim.idealShares != nil && sim.Partitioned {
		sim.idealShares[r.Customer][partition] -= r.Actual
		sim.reachableShares[r.Customer][partition] -= r.Actual
	}
	sim.After(time.Duration(r.Actual)*sim.Setup.TokenTime/10, func() {
		sim.inFlight[r.Customer] -= r.Actual
		sim.spent[r.Customer] += r.Actual
		sim.Result.Overspend = max(sim.Result.Overspend, sim.spent[r.Customer]-sim.paid[r.Customer])
		sim.policy.Release(r, r.Actual)
	})
}

// refused counts a refusal, and whether it was wrong.
func (sim *Simulation) recordRefusal(r *Request) {
	sim.Result.Refused++
	free := sim.paid[r.Customer] - sim.spent[r.Customer] - sim.inFlight[r.Customer]
	if free >= r.Worst {
		sim.Result.FalseFleet++
		sim.Result.FalseFleetTokens += r.Actual
	}
	partition := sim.Partition(sim.Place(r.Entry))
	if covered(sim, sim.reachableShares, r, partition, free) {
		sim.Result.FalseReachable++
		sim.Result.FalseReachableTokens += r.Actual
	}
	if covered(sim, sim.idealShares, r, partition, free) {
		sim.Result.FalseIdeal++
	}
}

// covered tells whether the balance on a side would have covered a request.
func covered(sim *Simulation, shares [][2]escrow.Tokens, r *Request, partition int, free escrow.Tokens) bool {
	if shares != nil && sim.Partitioned {
		free = min(free, shares[r.Customer][partition])
	}
	return free >= r.Worst
}
