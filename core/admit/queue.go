package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dotterelgap/core/sched"
)

// Options bound a Queue.
type Options struct {
	// MaxCount and MaxBytes bound the requests that wait and the memory that they hold.
	MaxCount, MaxBytes int
	// MaxWait is the longest time that a request waits.
	MaxWait time.Duration
}

// DefaultOptions returns the options that nodes use.
func DefaultOptions() Options {
	return Options{MaxCount: 256, MaxBytes: 8 << 20, MaxWait: 2 * time.Second}
}

// Parameters of the decisions.
const (
	// waitShare is the part of its objective for which a request waits at most. A longer queue would
	// serve no more requests during an overload, and callers would be told later.
	waitShare = 1.0 / 8
	// safeShare is the part of the objective by which a response is to be expected if a request
	// is to begin to wait.
	safeShare = 0.8
	// maxUrgentShare bounds the part of the places that more urgent requests are expected to take.
	maxUrgentShare = 0.9
	// minRetryAfter is the shortest Retry-After, and retrySpread the least time over which
	// callers that were rejected together return, but for maxReturnShare of the deadline: callers
	// do not wait for longer.
	minRetryAfter  = 100 * time.Millisecond
	retrySpread    = 700 * time.Millisecond
	maxReturnShare = 1.0 / 3
	// minRecheck and maxRecheck bound the time until the queue is to be advanced again.
	minRecheck, maxRecheck = 2 * time.Millisecond, 25 * time.Millisecond
)

// waiter is a request that waits.
type waiter struct {
	ticket Ticket
	req    Request
	since  time.Time
	// tag is that of fair queueing; see shares.
	tag float64
	// due is the time of the objective, end that until which the request waits.
	due, end time.Time
	// starved and beyond are set anew whenever the order is: a class of the request is starved, or
	// its customer is beyond its share.
	starved, beyond bool
}

// Queue holds the requests that wait for a service. The zero value is not ready for use.
type Queue struct {
	opts    Options
	last    Ticket
	waiting []*waiter
	bytes   int
	// evicted are requests that have lost their place to others, until Advance tells so.
	evicted []Told
	// granted are the requests that were told to be sent and are not in flight yet.
	granted int
	counts  counts
	usual   usual
	shares  [ranks]shares
	closed  bool
}

// New returns an empty queue.
func New(opts Options) *Queue { return &Queue{opts: opts} }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Idle reports whether no request waits, or is to be sent and is not in flight yet.
func (q *Queue) Idle() bool { return len(q.waiting) == 0 && len(q.evicted) == 0 && q.granted == 0 }

// Passes reports whether a request that arrives is sent at once.
func (q *Queue) Passes(room sched.Room) bool { return len(q.waiting) == 0 && q.free(room) > 0 }

// Ask decides on a request that arrived. If it is to wait, the ticket identifies it, and Advance
// is to be called at the latest after the decision's time. If it is to be sent, Taken is to be
// called once it is in flight or given up.
func (q *Queue) Ask(now time.Time, r Request, room sched.Room) (sched.Decision, Ticket) {
	q.counts.asked(now, r)
	q.usual.count(now, r.customer())
	q.last++
	w := &waiter{
		ticket: q.last, req: r, since: now, tag: q.shares[r.rank()].tag(r.customer(), q.usual.weight(r.customer())),
		due: now.Add(r.Objective), end: now.Add(min(scale(r.Objective, waitShare), r.Deadline, q.opts.MaxWait)),
	}
	if q.Passes(room) {
		return q.send(now, w), 0
	}
	if q.closed {
		return q.reject(w, room, sched.Overloaded), 0
	}
	q.sort(now, w)
	place, _ := slices.BinarySearchFunc(q.waiting, w, order)
	if reason, ok := q.inTime(now, w, place, room, safeShare); !ok {
		return q.reject(w, room, reason), 0
	}
	if !q.makeRoom(now, w, place, room) {
		return q.reject(w, room, sched.Full), 0
	}
	q.waiting = slices.Insert(q.waiting, place, w)
	q.bytes += r.Bytes
	return sched.Decision{Action: sched.Wait, After: q.recheck(now, room), Reason: sched.Full}, w.ticket
}

// Advance decides on the requests that wait: those that may be sent now, and those that can't be
// served in time any more.
func (q *Queue) Advance(now time.Time, room sched.Room) []Told {
	told := q.evicted
	q.evicted = nil
	q.sort(now, nil)
	free := q.free(room)
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		d := sched.Decision{Action: sched.Wait}
		if room.Places == 0 || free > 0 {
			free--
			d = sched.Decision{Action: sched.Send}
		} else if reason, ok := q.inTime(now, w, len(kept), room, 1); !ok {
			d = q.reject(w, room, reason)
		}
		if d.Action == sched.Wait {
			kept = append(kept, w)
			continue
		}
		q.bytes -= w.req.Bytes
		told = append(told, Told{Ticket: w.ticket, Decision: d, Waited: now.Sub(w.since)})
		if d.Action == sched.Send {
			q.send(now, w)
		}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return told
}

// Recheck returns the time after which the queue is to be advanced at the latest; ok is false if
// nothing waits.
func (q *Queue) Recheck(now time.Time, room sched.Room) (after time.Duration, ok bool) {
	return q.recheck(now, room), len(q.waiting) > 0 || len(q.evicted) > 0
}

// Taken records that a request that was to be sent is in flight, or was given up.
func (q *Queue) Taken() { q.granted = max(q.granted-1, 0) }

// Leave removes a request whose caller has left.
func (q *Queue) Leave(t Ticket) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool {
		if w.ticket == t {
			q.bytes -= w.req.Bytes
		}
		return w.ticket == t
	})
}

// Close rejects what waits. From then on nothing waits.
func (q *Queue) Close(now time.Time) []Told {
	q.closed = true
	told := q.evicted
	q.evicted = nil
	for _, w := range q.waiting {
		told = append(told, Told{Ticket: w.ticket, Decision: q.reject(w, sched.Room{}, sched.Overloaded), Waited: now.Sub(w.since)})
	}
	q.waiting, q.bytes = nil, 0
	return told
}

// free returns the number of requests that may be sent now. Upstreams whose places are unknown
// bound nothing.
func (q *Queue) free(room sched.Room) int {
	if room.Places == 0 {
		return math.MaxInt
	}
	return room.Free - q.granted
}

// send records that a request is to be sent.
func (q *Queue) send(now time.Time, w *waiter) sched.Decision {
	q.granted++
	q.counts.served(now, w.req)
	least := math.Inf(1)
	for _, o := range q.waiting {
		if o != w && o.req.rank() == w.req.rank() {
			least = min(least, o.tag)
		}
	}
	q.shares[w.req.rank()].reached(w.tag, least)
	return sched.Decision{Action: sched.Send}
}

// reject returns the decision to reject a request. Callers return when what waits is expected to
// have been served, spread by their ids over as long again while they still wait for it.
func (q *Queue) reject(w *waiter, room sched.Room, reason sched.Reason) sched.Decision {
	drained := room.Next + time.Duration(len(q.waiting))*room.Interval
	after := max(drained, minRetryAfter)
	spread := max(min(max(drained, retrySpread), scale(w.req.Deadline, maxReturnShare)-after), 1)
	after += time.Duration(w.req.ID % uint64(spread))
	return sched.Decision{Action: sched.Reject, After: after, Reason: reason}
}

// makeRoom reports whether a request fits into the queue at a place in the order. The last ones
// are evicted if they come after it.
func (q *Queue) makeRoom(now time.Time, w *waiter, place int, room sched.Room) bool {
	keep, bytes := len(q.waiting), q.bytes
	for keep >= q.opts.MaxCount || bytes+w.req.Bytes > q.opts.MaxBytes {
		if keep <= place {
			return false
		}
		keep--
		bytes -= q.waiting[keep].req.Bytes
	}
	for _, out := range q.waiting[keep:] {
		q.evicted = append(q.evicted, Told{Ticket: out.ticket, Decision: q.reject(out, room, sched.Full), Waited: now.Sub(out.since)})
	}
	clear(q.waiting[keep:])
	q.waiting, q.bytes = q.waiting[:keep], bytes
	return true
}

// inTime reports whether a request with this many before it can be served in time. share is the
// part of the objective by which that is to be expected.
func (q *Queue) inTime(now time.Time, w *waiter, before int, room sched.Room, share float64) (sched.Reason, bool) {
	begins := now.Add(q.begins(now, w, before, room))
	ends := begins.Add(room.Service)
	if !begins.Before(w.end) || ends.After(w.since.Add(w.req.Deadline)) {
		return sched.Late, false
	}
	objective := scale(w.req.Objective, share)
	if w.req.Objective > 0 && ends.After(w.since.Add(objective)) && q.othersInTime(w) {
		return sched.Late, false
	}
	return "", true
}

// othersInTime reports whether other requests wait, which this one would make late.
func (q *Queue) othersInTime(w *waiter) bool {
	return len(q.waiting) > 1 || len(q.waiting) == 1 && q.waiting[0] != w
}

// begins returns the time until a request with this many before it is expected to be sent. More
// urgent requests that are still to come take a part of the places.
func (q *Queue) begins(now time.Time, w *waiter, before int, room sched.Room) time.Duration {
	d := room.Next + time.Duration(before)*room.Interval
	if w.starved {
		return d
	}
	urgent := min(q.counts.moreUrgent(now, w.req.rank())*room.Interval.Seconds(), maxUrgentShare)
	return scale(d, 1/(1-urgent))
}

// sort sets the order of what waits, and the state of another request by which it is compared.
func (q *Queue) sort(now time.Time, other *waiter) {
	for _, w := range q.waiting {
		q.classify(now, w)
	}
	if other != nil {
		q.classify(now, other)
	}
	slices.SortStableFunc(q.waiting, order)
}

func (q *Queue) classify(now time.Time, w *waiter) {
	w.starved = q.counts.starved(now, w.req)
	w.beyond = w.tag > q.shares[w.req.rank()].now+shareSlack
}

// order compares two requests by who is served first.
func order(a, b *waiter) int {
	return cmp.Or(
		compareBool(b.starved, a.starved),
		cmp.Compare(a.req.rank(), b.req.rank()),
		compareBool(a.beyond, b.beyond),
		compareBeyond(a, b),
		a.due.Compare(b.due),
		cmp.Compare(a.ticket, b.ticket),
	)
}

// compareBeyond compares requests of customers beyond their shares by how far they are.
func compareBeyond(a, b *waiter) int {
	if !a.beyond || !b.beyond {
		return 0
	}
	return cmp.Compare(a.tag, b.tag)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// recheck returns the time after which the room is to be looked at again.
func (q *Queue) recheck(now time.Time, room sched.Room) time.Duration {
	after := min(room.Next, maxRecheck)
	for _, w := range q.waiting {
		after = min(after, w.end.Sub(now))
	}
	return max(after, minRecheck)
}

// scale multiplies a duration.
func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
