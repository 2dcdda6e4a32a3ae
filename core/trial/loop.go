package trial

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Loop is a discrete-event loop. It runs events in the order of their times, and
// events with equal times in the order in which they were scheduled.
type Loop struct {
	Now    time.Time
	Rand   *rand.Rand
	events eventHeap
	seq    uint64
}

// NewLoop returns a loop with a fixed start time and a random source with the
// given seed.
func NewLoop(seed uint64) *Loop {
	return &Loop{Now: time.Unix(1_000_000, 0), Rand: rand.New(rand.NewPCG(seed, 1))}
}

// After schedules f to run once after d. A negative d counts as zero.
func (l *Loop) After(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.Now.Add(max(d, 0)), seq: l.seq, run: f})
}

// Every schedules f to run every d until the loop ends.
func (l *Loop) Every(d time.Duration, f func()) {
	l.After(d, func() {
		f()
		l.Every(d, f)
	})
}

// RunUntil runs all events before end and then sets the time to end.
func (l *Loop) RunUntil(end time.Time) {
	for len(l.events) > 0 && l.events[0].at.Before(end) {
		e := heap.Pop(&l.events).(event)
		l.Now = e.at
		e.run()
	}
	l.Now = end
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
