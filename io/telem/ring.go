package telem

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

// Bounds of a Ring.
const (
	// ringBytes bounds what waits to be written.
	ringBytes = 256 << 10
	// spareShare is the part of the ring and of the budget that is kept for
	// warnings and errors.
	spareShare = 0.5
	// writePause is the time between two writes.
	writePause = 50 * time.Millisecond
	// budgetWindow is the time that a budget counts for.
	budgetWindow = time.Second
)

// Budget bounds how much is logged in a second.
type Budget struct {
	Lines, Bytes int
}

// DefaultBudget returns what a node may log: several lines for each request that
// it serves at twice its share of the load.
func DefaultBudget() Budget { return Budget{Lines: 400, Bytes: 200 << 10} }

// Ring takes in log lines without ever blocking, and writes them from a goroutine
// of its own. What is over its budget is dropped and counted, lines below a
// warning before others.
type Ring struct {
	w      io.Writer
	budget Budget
	kick   chan struct{}
	stop   chan struct{}
	done   chan struct{}

	// sayLost encodes a line on how many were dropped.
	sayLost func(n uint64) []byte

	mu      sync.Mutex
	buf     []byte
	since   time.Time
	lines   int
	bytes   int
	said    uint64
	dropped atomic.Uint64
}

// NewRing returns a ring that writes to w until Close.
func NewRing(w io.Writer, b Budget) *Ring {
	r := &Ring{w: w, budget: b, kick: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}), since: time.Now()}
	go func() {
		defer close(r.done)
		r.run()
	}()
	return r
}

// Put takes in a line, or drops it.
func (r *Ring) Put(level zapcore.Level, line []byte) {
	share := 1.0
	if level < zapcore.WarnLevel {
		share = spareShare
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.since) >= budgetWindow {
		r.since, r.lines, r.bytes = now, 0, 0
		r.tellLost()
	}
	over := float64(r.lines) >= share*float64(r.budget.Lines) ||
		float64(r.bytes+len(line)) > share*float64(r.budget.Bytes) ||
		float64(len(r.buf)+len(line)) > share*ringBytes
	if over {
		r.dropped.Add(1)
		return
	}
	r.lines++
	r.bytes += len(line)
	r.buf = append(r.buf, line...)
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// tellLost adds a line on what was dropped since the last such line.
func (r *Ring) tellLost() {
	lost := r.dropped.Load() - r.said
	if lost == 0 || r.sayLost == nil {
		return
	}
	r.said += lost
	r.buf = append(r.buf, r.sayLost(lost)...)
}

// Dropped counts the lines that were dropped.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

func (r *Ring) run() {
	for {
		select {
		case <-r.stop:
			r.flush()
			return
		case <-r.kick:
		}
		r.flush()
		select {
		case <-r.stop:
		case <-time.After(writePause):
		}
	}
}

func (r *Ring) flush() {
	r.mu.Lock()
	buf := r.buf
	r.buf = nil
	r.mu.Unlock()
	if len(buf) > 0 {
		// There is nobody to tell where the log itself fails.
		_, _ = r.w.Write(buf)
	}
}

// Close writes what waits, and waits for it.
func (r *Ring) Close() error {
	close(r.stop)
	<-r.done
	return nil
}
