package admit_test

import (
	"container/heap"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"time"

	"dotterelgap/core/admit"
	"dotterelgap/core/sched"
)

var begin = time.Unix(1_700_000_000, 0)

// flow is the load of one kind of request from one customer.
type flow struct {
	kind, customer      string
	rank, size          int
	perSecond           float64
	objective, deadline time.Duration
	// times multiplies the rate from burstAt to burstEnd.
	times             float64
	burstAt, burstEnd time.Duration
	// returns is the share of callers that return after a rejection, at once and up to tries times.
	returns float64
	tries   int
}

// result counts what became of the requests of a kind or of a customer.
type result struct {
	asked, inTime, late, rejected int
	// slowest is the longest time until a rejection, as a part of the objective.
	slowest float64
}

// event is an arrival (the end of a request if end is set).
type event struct {
	at    time.Duration
	f     *flow
	tries int
	end   bool
	tick  bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// call is a request that waits.
type call struct {
	event
	id uint64
}

// load plays flows against one service with this many places.
type load struct {
	places  int
	service time.Duration
	rand    *rand.Rand
	q       *admit.Queue
	events  events
	busy    int
	waiting map[admit.Ticket]call
	results map[string]*result
	most    int
}

// play plays the flows for a time and returns the results by kind, and by customer.
func play(places int, service, length time.Duration, flows []flow) *load {
	l := &load{
		places: places, service: service, rand: rand.New(rand.NewPCG(1, 2)), q: admit.New(admit.DefaultOptions()),
		waiting: map[admit.Ticket]call{}, results: map[string]*result{},
	}
	for i := range flows {
		l.arrivals(&flows[i], length)
	}
	heap.Init(&l.events)
	for len(l.events) > 0 {
		l.step(heap.Pop(&l.events).(event))
	}
	return l
}

func (l *load) arrivals(f *flow, length time.Duration) {
	for at := time.Duration(0); ; {
		rate := f.perSecond
		if f.times > 0 && at >= f.burstAt && at < f.burstEnd {
			rate *= f.times
		}
		at += time.Duration(l.rand.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return
		}
		l.events = append(l.events, event{at: at, f: f})
	}
}

func (l *load) room() sched.Room {
	r := sched.Room{Places: l.places, Free: l.places - l.busy, Service: l.service, Interval: l.service / time.Duration(l.places)}
	if r.Free == 0 {
		r.Next = r.Interval
	}
	return r
}

func (l *load) step(e event) {
	now := begin.Add(e.at)
	switch {
	case e.end:
		l.busy--
	case !e.tick:
		l.arrive(now, e)
	}
	for _, t := range l.q.Advance(now, l.room()) {
		c := l.waiting[t.Ticket]
		delete(l.waiting, t.Ticket)
		l.decided(e.at, c, t.Decision)
	}
	l.most = max(l.most, l.q.Waiting())
	if after, ok := l.q.Recheck(now, l.room()); ok && !e.tick {
		heap.Push(&l.events, event{at: e.at + after, tick: true})
	}
}

func (l *load) arrive(now time.Time, e event) {
	c := call{event: e, id: l.rand.Uint64()}
	for _, name := range []string{e.f.kind, e.f.customer} {
		l.result(name).asked++
	}
	d, ticket := l.q.Ask(now, admit.Request{
		ID: c.id, Rank: e.f.rank, Customer: hash(e.f.customer), Size: e.f.size, Bytes: e.f.size,
		Objective: e.f.objective, Deadline: e.f.deadline,
	}, l.room())
	if d.Action == sched.Wait {
		l.waiting[ticket] = c
		return
	}
	l.decided(e.at, c, d)
}

func (l *load) decided(at time.Duration, c call, d sched.Decision) {
	f := c.f
	for _, name := range []string{f.kind, f.customer} {
		r := l.result(name)
		waited := at - c.at
		switch {
		case d.Action == sched.Reject:
			r.rejected++
			r.slowest = max(r.slowest, float64(waited)/float64(f.objective))
		case waited+l.service > f.objective:
			r.late++
		default:
			r.inTime++
		}
	}
	if d.Action == sched.Reject {
		if c.tries < f.tries && l.rand.Float64() < f.returns {
			heap.Push(&l.events, event{at: at + time.Millisecond, f: f, tries: c.tries + 1})
		}
		return
	}
	l.q.Taken()
	l.busy++
	took := time.Duration((0.5 + l.rand.Float64()) * float64(l.service))
	heap.Push(&l.events, event{at: at + took, end: true})
}

func (l *load) result(name string) *result {
	if l.results[name] == nil {
		l.results[name] = &result{}
	}
	return l.results[name]
}

func (r *result) share() float64 { return float64(r.inTime) / float64(r.asked) }

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// spread returns a flow for each of n customers, which share its rate evenly.
func spread(f flow, n int) []flow {
	var out []flow
	for i := range n {
		one := f
		one.customer = "customer-" + strconv.Itoa(i)
		one.perSecond /= float64(n)
		out = append(out, one)
	}
	return out
}
