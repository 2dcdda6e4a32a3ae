package trial

import (
	"time"

	"dotterelgap/core/escrow"
)

// Policy decides which requests may spend tokens. The simulation calls all its
// methods from the event loop.
type Policy interface {
	// Reserve asks for the worst-case tokens of a request at its entry. It calls
	// done at most once. It may omit the call if the entry dies meanwhile.
	Reserve(r *Request, done func(ok bool))
	// Release ends a granted reservation. Tokens that were not used are free
	// again.
	Release(r *Request, used escrow.Tokens)
	// EntryDied is called when an entry loses its memory. The entry serves no
	// requests until EntryRestarted is called.
	EntryDied(entry int)
	EntryRestarted(entry int)
	// TopUp records a payment at control.
	TopUp(customer int, n escrow.Tokens)
	// Locked returns the number of tokens that are neither billed nor usable.
	Locked() escrow.Tokens
	// UnspentAt returns the customer's unspent tokens at a place. They stay
	// usable there during a partition.
	UnspentAt(place, customer int) escrow.Tokens
}

// Request is one request, with the tokens that it will actually use.
type Request struct {
	ID int
	// Entry is the index of the entry that serves the request. It is negative if
	// no entry of the place is alive.
	Entry int
	// Customer is an index into Setup.Customers.
	Customer int
	// Worst is the largest number of tokens that the request can use. Policies
	// reserve this amount, as they do not know Actual beforehand.
	Worst   escrow.Tokens
	Actual  escrow.Tokens
	at      time.Time
	retries int
}

// Simulation is one run of an experiment. Policies use it for the time, the
// network and the counters.
type Simulation struct {
	*Loop
	Setup Setup
	// Partitioned is set while the last place is partitioned from the others.
	Partitioned bool
	// Down is set for each entry that is dead.
	Down   []bool
	Result *Result

	// paid, spent and inFlight are the tokens of each customer. inFlight counts
	// the actual use of the running requests.
	paid, spent, inFlight []escrow.Tokens
	// idealShares are the tokens that each customer can still use in each network
	// partition if the balance is split ideally. It is nil before the partition
	// starts.
	idealShares [][2]escrow.Tokens
	// reachableShares are the same tokens if the balance is split as the policy
	// had placed it when the partition started.
	reachableShares [][2]escrow.Tokens
	policy          Policy
	lastID          int
	arrivals        []arrival
}

// arrival is a request that will arrive at an entry.
type arrival struct {
	at       time.Duration
	entry    int
	customer int
	prompt   escrow.Tokens
	output   escrow.Tokens
}

// NewPolicyFunc returns a new policy for a simulation.
type NewPolicyFunc func(sim *Simulation) Policy

// Place returns the place of an entry.
func (sim *Simulation) Place(entry int) int { return entry / sim.Setup.EntriesPerPlace }

// Partition returns the network partition of a place. Control is in partition 0.
// The last place is in partition 1 while it is partitioned from the others.
func (sim *Simulation) Partition(place int) int {
	if sim.Partitioned && place == sim.Setup.partitionedPlace() {
		return 1
	}
	return 0
}

// Reachable reports whether two places can communicate.
func (sim *Simulation) Reachable(a, b int) bool { return sim.Partition(a) == sim.Partition(b) }

// ControlReachable reports whether a place can communicate with control.
func (sim *Simulation) ControlReachable(place int) bool { return sim.Partition(place) == 0 }

// CountCall counts a call to control.
func (sim *Simulation) CountCall() { sim.Result.Calls++ }

// Run simulates one policy and returns its results. Runs with the same setup and
// seed have the same requests. They have the same deaths of entries only if no
// policy draws random numbers.
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

// generateArrivals returns all requests of the run. They are drawn before the
// policy runs, so that every policy gets the same requests.
func (sim *Simulation) generateArrivals() []arrival {
	var out []arrival
	for c, customer := range sim.Setup.Customers {
		at := time.Duration(0)
		for {
			at += time.Duration(sim.Rand.ExpFloat64() / customer.PerSecond * float64(time.Second))
			if at >= sim.Setup.Length {
				break
			}
			out = append(out, sim.generateArrival(at, c, customer))
		}
	}
	return out
}

func (sim *Simulation) generateArrival(at time.Duration, c int, customer Customer) arrival {
	place := 0
	if sim.Rand.Float64() >= customer.Skew {
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

// computeShares splits each customer's balance between the two network partitions
// when the partition starts. idealShares follows from the requests that will
// arrive during the partition, reachableShares from the tokens that the policy has
// placed.
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

// arrive sends a request to its entry. If that entry is dead, the load balancer
// sends the request to another entry of the place.
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

// liveEntry returns the given entry, or the next live one of its place. It
// returns -1 if there is none.
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

// reserved is called when the policy has decided on a request. A granted request
// runs and then releases its reservation.
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

// recordRefusal counts a refused request, and whether the balance covered it.
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

// covered reports whether the balance covers a request. During a partition, only
// the share of the caller's partition counts.
func covered(sim *Simulation, shares [][2]escrow.Tokens, r *Request, partition int, free escrow.Tokens) bool {
	if shares != nil && sim.Partitioned {
		free = min(free, shares[r.Customer][partition])
	}
	return free >= r.Worst
}
