package intake

import (
	"sync"
	"time"

	"dotterelgap/core/upload"
)

// waitLimit limits how long a body waits for the memory of one that yields.
const waitLimit = time.Second

// Options configure a Gate.
type Options struct {
	// Memory limits the bytes of all heads and bodies in progress; 0 means no limit.
	Memory int64
	// Idle is how long a body may make no progress; 0 means DefaultIdle.
	Idle time.Duration
}

// DefaultIdle is longer than the failures of a link that its connections survive.
const DefaultIdle = 10 * time.Second

// Gate bounds the memory of the heads and bodies of one kind of client.
type Gate struct {
	idle    time.Duration
	metrics metrics

	mu    sync.Mutex
	meter *upload.Meter
	last  upload.ID
	// ends end the uploads that hold memory.
	ends map[upload.ID]func()
	// freed is closed and replaced when memory becomes free while an upload waits for it.
	freed   chan struct{}
	waiting int
}

// NewGate returns a Gate that nothing has passed yet.
func NewGate(opts Options) *Gate {
	if opts.Idle <= 0 {
		opts.Idle = DefaultIdle
	}
	return &Gate{
		idle: opts.Idle, metrics: newMetrics(),
		meter: upload.NewMeter(opts.Memory), ends: map[upload.ID]func(){}, freed: make(chan struct{}),
	}
}

// open registers an upload. end is called, without a lock, if it has to yield.
func (g *Gate) open(end func()) upload.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last++
	g.ends[g.last] = end
	return g.last
}

// reserve sets the bytes that an upload holds. It waits for uploads that yield, until the limit or
// waitLimit, and returns false if there is no memory.
func (g *Gate) reserve(id upload.ID, bytes int64, limit time.Time) bool {
	if end := time.Now().Add(waitLimit); end.Before(limit) {
		limit = end
	}
	for {
		now := time.Now()
		g.mu.Lock()
		before := g.meter.Used()
		answer, victim := g.meter.Reserve(now, id, bytes)
		g.metrics.hold(g.meter.Used() - before)
		freed, end := g.freed, g.ends[victim]
		if answer != upload.Wait {
			g.mu.Unlock()
			return g.granted(answer)
		}
		g.waiting++
		g.mu.Unlock()
		if end != nil {
			g.metrics.end(endedYielded)
			end()
		}
		if !waitFor(freed, limit.Sub(now)) {
			g.metrics.end(endedNoMemory)
			return false
		}
	}
}

// granted reports whether the answer to an upload is Granted, and counts one that is rejected.
func (g *Gate) granted(a upload.Answer) bool {
	if a == upload.Rejected {
		g.metrics.end(endedNoMemory)
	}
	return a == upload.Granted
}

// waitFor waits until the channel is closed and returns false if that takes too long.
func waitFor(freed <-chan struct{}, most time.Duration) bool {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-freed:
		return true
	case <-t.C:
		return false
	}
}

func (g *Gate) progress(id upload.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meter.Progress(time.Now(), id)
}

func (g *Gate) complete(id upload.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.meter.Complete(id)
}

func (g *Gate) release(id upload.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.meter.Used()
	g.meter.Release(id)
	g.metrics.hold(g.meter.Used() - before)
	delete(g.ends, id)
	if g.waiting > 0 {
		g.waiting = 0
		close(g.freed)
		g.freed = make(chan struct{})
	}
}

// endStalled ends the upload that has made no progress for longest and reports whether there was one.
func (g *Gate) endStalled() bool {
	g.mu.Lock()
	victim := g.meter.Stalled(time.Now(), 0)
	g.meter.End(victim)
	end := g.ends[victim]
	g.mu.Unlock()
	if end == nil {
		return false
	}
	g.metrics.end(endedStalled)
	end()
	return true
}
