// Package shed decides how many requests an entry has in progress at once, so that one that is offered
// more than its processor and memory can do serves as much as it can and refuses the rest at once.
//
// A Gate knows two measures of saturation: how long what becomes ready waits for the processor, and the
// share of the memory that is reachable. While one of them is high, the limit on the requests in
// progress shrinks; while both are low, it grows back to the largest that the memory bears. Between
// the two it stays. The wait is smoothed, so that a single burst refuses nothing.
//
// # Usage
//
//	g := shed.New(shed.Options{Most: 500})
//	if !g.Begin() { ... refuse ... }
//	defer g.End()
//	change := g.Observe(shed.Sample{Wait: waited, Memory: reachable})
package shed

import "time"

// Bounds of the two measures. Between the lower and the upper one the limit stays as it is.
const (
	// lowWait and highWait bound the wait for the processor. At highWait, a request that takes ten
	// turns of the processor is later than an objective of 0.3 s.
	lowWait, highWait = 10 * time.Millisecond, 30 * time.Millisecond
	// smoothing is the weight of a new sample of the wait.
	smoothing = 0.25
	// lowMemory and highMemory bound the share of the memory that is reachable. The garbage collector
	// takes ever more of the processor as it comes near the limit at which it stops to grow the heap.
	lowMemory, highMemory = 0.5, 0.6
)

// How the limit changes with each sample.
const (
	shrink = 0.8
	// growth is the part of Most by which the limit grows.
	growth = 0.05
	// leastPart is the part of Most that the limit never falls below.
	leastPart = 1.0 / 16
)

// Reason says why the limit is below its largest value.
type Reason string

// The reasons.
const (
	None      Reason = ""
	Processor Reason = "processor"
	Memory    Reason = "memory"
)

// Options configure a Gate.
type Options struct {
	// Most is the largest number of requests in progress; 0 means no limit.
	Most int
}

// Sample is one measurement of the process.
type Sample struct {
	// Wait is how long what became ready waited for the processor.
	Wait time.Duration
	// Memory is the share of the process's memory that is reachable.
	Memory float64
}

// reason returns the measure that is high, if any.
func (s Sample) reason() Reason {
	switch {
	case s.Memory >= highMemory:
		return Memory
	case s.Wait >= highWait:
		return Processor
	}
	return None
}

// calm reports whether both measures are low.
func (s Sample) calm() bool { return s.Memory < lowMemory && s.Wait < lowWait }

// Change says that the limit has begun to shrink, or is back at its largest value.
type Change struct {
	// Began is set if the process has become saturated, Ended if it is not any more.
	Began, Ended bool
	Reason       Reason
}

// Gate counts the requests in progress. It is not safe for concurrent use.
type Gate struct {
	opts       Options
	limit      float64
	inProgress int
	reason     Reason
	// wait is the smoothed wait for the processor.
	wait time.Duration
}

// New returns a Gate without requests in progress.
func New(opts Options) *Gate { return &Gate{opts: opts, limit: float64(opts.Most)} }

// Begin counts a request as in progress, unless there are too many.
func (g *Gate) Begin() bool {
	if g.opts.Most > 0 && g.inProgress >= int(g.limit) {
		return false
	}
	g.inProgress++
	return true
}

// End counts a request that has begun as ended.
func (g *Gate) End() { g.inProgress-- }

// Limit returns the number of requests that may be in progress, and why it is not larger.
func (g *Gate) Limit() (int, Reason) { return int(g.limit), g.reason }

// Observe adapts the limit to a sample.
func (g *Gate) Observe(s Sample) Change {
	most := float64(g.opts.Most)
	if most == 0 {
		return Change{}
	}
	g.wait += time.Duration(smoothing * float64(s.Wait-g.wait))
	s.Wait = g.wait
	if reason := s.reason(); reason != None {
		began := g.reason == None
		g.reason = reason
		// What is in progress is what saturates, not a limit that is far above it.
		g.limit = max(leastPart*most, 1, shrink*min(g.limit, float64(g.inProgress)))
		return Change{Began: began, Reason: reason}
	}
	if g.reason == None || !s.calm() {
		return Change{}
	}
	g.limit = min(most, g.limit+growth*most)
	if g.limit < most {
		return Change{}
	}
	ended := Change{Ended: true, Reason: g.reason}
	g.reason = None
	return ended
}
