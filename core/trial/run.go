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
	// Died says that an entry lost its memory; it serves again from Back on.
	Died(entry int)
	Back(entry int)
	// TopUp books a payment at control.
	TopUp(customer int, n escrow.Tokens)
	// Locked is what is neither billed nor usable.
	Locked() escrow.Tokens
	// Placed is what lies unspent at a place for a customer, so that a cut
	// leaves it there.
	Placed(place, customer int) escrow.Tokens
}

// Request is one request with its truth.
type Request struct {
	ID       int
	Entry    int
	Customer int
	Worst    escrow.Tokens
	True     escrow.Tokens
	at       time.Time
	retries  int
}

// World is what policies see of an experiment.
type World struct {
	*Loop
	Setup Setup
	// Cut is set while the last place is cut off.
	Cut    bool
	Down   []bool
	Result *Result

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

// NewPolicy makes a policy for a world.
type NewPolicy func(w *World) Policy

// Place is the place of an entry.
func (w *World) Place(entry int) int { return entry / w.Setup.EntriesPerPlace }

// Side is the side of the cut on which a place is: 1 is without control.
func (w *World) Side(place int) int {
	if w.Cut && place == w.Setup.cutPlace() {
		return 1
	}
	return 0
}

// Reach tells whether two places can talk.
func (w *World) Reach(a, b int) bool { return w.Side(a) == w.Side(b) }

// Control tells whether a place can talk to control.
func (w *World) Control(place int) bool { return w.Side(place) == 0 }

// Call counts a call to control.
func (w *World) Call() { w.Result.Calls++ }

// Run runs one policy through an experiment.
func Run(s Setup, name string, make NewPolicy, seed uint64) *Result {
	w := &World{Loop: NewLoop(seed), Setup: s, Result: newResult(name), Down: []bool{}}
	w.Down = append(w.Down, bools(s.Places*s.EntriesPerPlace)...)
	for _, c := range s.Customers {
		w.paid = append(w.paid, c.Paid)
	}
	w.spent = tokens(len(s.Customers))
	w.inFlight = tokens(len(s.Customers))
	w.future = w.draw()
	w.policy = make(w)
	start := w.Now
	w.schedule()
	w.Until(start.Add(s.Length))
	w.Until(start.Add(s.Length + 10*time.Minute))
	w.Result.Locked = w.policy.Locked()
	return w.Result
}

func bools(n int) []bool { return make([]bool, n) }

func tokens(n int) []escrow.Tokens { return make([]escrow.Tokens, n) }

// draw makes the whole demand beforehand, the same for every policy.
func (w *World) draw() []demand {
	var out []demand
	for c, cu := range w.Setup.Customers {
		at := time.Duration(0)
		for {
			at += time.Duration(w.Rand.ExpFloat64() / cu.PerSecond * float64(time.Second))
			if at >= w.Setup.Length {
				break
			}
			out = append(out, w.drawOne(at, c, cu))
		}
	}
	return out
}

func (w *World) drawOne(at time.Duration, c int, cu Customer) demand {
	place := 0
	if w.Rand.Float64() >= cu.Skew {
		place = 1 + w.Rand.IntN(w.Setup.Places-1)
	}
	size := func(mean, limit escrow.Tokens) escrow.Tokens {
		return min(1+escrow.Tokens(w.Rand.ExpFloat64()*float64(mean)), limit)
	}
	return demand{
		at: at, customer: c, entry: place*w.Setup.EntriesPerPlace + w.Rand.IntN(w.Setup.EntriesPerPlace),
		prompt: size(w.Setup.MeanPrompt, 8*w.Setup.MeanPrompt), output: size(w.Setup.MeanOutput, w.Setup.Cap),
	}
}

func (w *World) schedule() {
	for _, d := range w.future {
		w.After(d.at, func() { w.arrive(d) })
	}
	w.After(w.Setup.PartitionStart, func() {
		w.Cut = true
		w.split()
	})
	w.After(w.Setup.PartitionEnd, func() { w.Cut = false })
	for _, t := range w.Setup.TopUps {
		w.After(t.At, func() { w.topUp(t) })
	}
	w.scheduleDeath()
}

func (w *World) topUp(t TopUp) {
	w.paid[t.Customer] += t.Tokens
	if w.ideal != nil {
		w.ideal[t.Customer][0] += t.Tokens
		w.reach[t.Customer][0] += t.Tokens
	}
	w.policy.TopUp(t.Customer, t.Tokens)
}

func (w *World) scheduleDeath() {
	if w.Setup.DeathEvery == 0 {
		return
	}
	wait := time.Duration(w.Rand.ExpFloat64() * float64(w.Setup.DeathEvery))
	w.After(wait, func() {
		e := w.Rand.IntN(len(w.Down))
		if !w.Down[e] {
			w.Down[e] = true
			w.policy.Died(e)
			w.After(w.Setup.DownFor, func() {
				w.Down[e] = false
				w.policy.Back(e)
			})
		}
		w.scheduleDeath()
	})
}

// split works out, at the start of the cut, how one who knows the coming demand
// would share each balance between the two sides.
func (w *World) split() {
	coming := make([][2]escrow.Tokens, len(w.paid))
	for _, d := range w.future {
		if d.at >= w.Setup.PartitionStart && d.at < w.Setup.PartitionEnd {
			coming[d.customer][w.Side(w.Place(d.entry))] += d.prompt + d.output
		}
	}
	w.ideal = make([][2]escrow.Tokens, len(w.paid))
	w.reach = make([][2]escrow.Tokens, len(w.paid))
	for c := range w.paid {
		free := w.paid[c] - w.spent[c] - w.inFlight[c]
		both := coming[c][0] + coming[c][1]
		far := coming[c][1]
		if both > free && both > 0 {
			far = free * coming[c][1] / both
		}
		w.ideal[c] = [2]escrow.Tokens{free - far, far}
		placed := min(w.policy.Placed(w.Setup.cutPlace(), c), free)
		w.reach[c] = [2]escrow.Tokens{free - placed, placed}
	}
}

// arrive is a request at an entry. The balancer sends callers of a dead entry
// to another one of the place.
func (w *World) arrive(d demand) {
	w.serial++
	w.Result.Requests++
	r := &Request{
		ID: w.serial, Entry: w.alive(d.entry), Customer: d.customer, at: w.Now,
		Worst: d.prompt + w.Setup.Cap, True: d.prompt + d.output,
	}
	w.Result.Tokens += r.True
	if r.Entry < 0 {
		return
	}
	w.policy.Reserve(r, func(ok bool) { w.decided(r, ok) })
}

func (w *World) alive(entry int) int {
	first := w.Place(entry) * w.Setup.EntriesPerPlace
	for i := range w.Setup.EntriesPerPlace {
		e := first + (entry-first+i)%w.Setup.EntriesPerPlace
		if !w.Down[e] {
			return e
		}
	}
	return -1
}

func (w *World) decided(r *Request, ok bool) {
	_ = w.Result.Wait.RecordValue(max(w.Now.Sub(r.at).Microseconds(), 1))
	if !ok {
		w.refused(r)
		return
	}
	side := w.Side(w.Place(r.Entry))
	w.inFlight[r.Customer] += r.True
	if w.ideal != nil && w.Cut {
		w.ideal[r.Customer][side] -= r.True
		w.reach[r.Customer][side] -= r.True
	}
	w.After(time.Duration(r.True)*w.Setup.TokenTime/10, func() {
		w.inFlight[r.Customer] -= r.True
		w.spent[r.Customer] += r.True
		w.Result.Overspend = max(w.Result.Overspend, w.spent[r.Customer]-w.paid[r.Customer])
		w.policy.Release(r, r.True)
	})
}

// refused counts a refusal, and whether it was wrong.
func (w *World) refused(r *Request) {
	w.Result.Refused++
	free := w.paid[r.Customer] - w.spent[r.Customer] - w.inFlight[r.Customer]
	if free >= r.Worst {
		w.Result.FalseFleet++
		w.Result.FalseFleetTokens += r.True
	}
	side := w.Side(w.Place(r.Entry))
	if covered(w, w.reach, r, side, free) {
		w.Result.FalseReachable++
		w.Result.FalseReachableTokens += r.True
	}
	if covered(w, w.ideal, r, side, free) {
		w.Result.FalseIdeal++
	}
}

// covered tells whether the balance on a side would have covered a request.
func covered(w *World, sides [][2]escrow.Tokens, r *Request, side int, free escrow.Tokens) bool {
	if sides != nil && w.Cut {
		free = min(free, sides[r.Customer][side])
	}
	return free >= r.Worst
}
