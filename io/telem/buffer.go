package telem

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

// Limits of a LogBuffer.
const (
	// bufferBytes limits the size of the lines that wait to be written.
	bufferBytes = 256 << 10
	// infoShare is the share of the buffer and of the budget for lines below the warning
	// level. The rest is reserved for warnings and errors.
	infoShare = 0.5
	// writeInterval is the shortest time between two writes.
	writeInterval = 50 * time.Millisecond
	// budgetWindow is the period that a budget is for.
	budgetWindow = time.Second
)

// Budget limits what is logged per second.
type Budget struct {
	Lines, Bytes int
}

// DefaultBudget returns the budget of a node. It allows several lines per request at twice
// the node's share of the load.
func DefaultBudget() Budget { return Budget{Lines: 400, Bytes: 200 << 10} }

// LogBuffer buffers log lines and writes them from its own goroutine, so that Put never
// waits for a write. It drops and counts lines over its budget, those below the warning
// level first.
type LogBuffer struct {
	w      io.Writer
	budget Budget
	wake   chan struct{}
	stop   chan struct{}
	done   chan struct{}

	// encodeDropped encodes a log line that reports n dropped lines.
	encodeDropped func(n uint64) []byte

	mu  sync.Mutex
	buf []byte
	// windowStart is the start of the current budget window. lines and bytes count what
	// was accepted in it.
	windowStart time.Time
	lines       int
	bytes       int
	// reported is the number of dropped lines that were reported.
	reported uint64
	dropped  atomic.Uint64
}

// NewLogBuffer returns a buffer that writes to w until Close.
func NewLogBuffer(w io.Writer, budget Budget) *LogBuffer {
	b := &LogBuffer{w: w, budget: budget, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}), windowStart: time.Now()}
	go func() {
		defer close(b.done)
		b.run()
	}()
	return b
}

// Put buffers a line, or drops it if it is over the budget.
func (b *LogBuffer) Put(level zapcore.Level, line []byte) {
	share := 1.0
	if level < zapcore.WarnLevel {
		share = infoShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.Sub(b.windowStart) >= budgetWindow {
		b.windowStart, b.lines, b.bytes = now, 0, 0
		b.reportDropped()
	}
	over := float64(b.lines) >= share*float64(b.budget.Lines) ||
		float64(b.bytes+len(line)) > share*float64(b.budget.Bytes) ||
		float64(len(b.buf)+len(line)) > share*bufferBytes
	if over {
		b.dropped.Add(1)
		return
	}
	b.lines++
	b.bytes += len(line)
	b.buf = append(b.buf, line...)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// reportDropped adds a line with the number of lines dropped since the last report.
func (b *LogBuffer) reportDropped() {
	dropped := b.dropped.Load() - b.reported
	if dropped == 0 || b.encodeDropped == nil {
		return
	}
	b.reported += dropped
	b.buf = append(b.buf, b.encodeDropped(dropped)...)
}

// Dropped returns the number of dropped lines.
func (b *LogBuffer) Dropped() uint64 { return b.dropped.Load() }

func (b *LogBuffer) run() {
	for {
		select {
		case <-b.stop:
			b.flush()
			return
		case <-b.wake:
		}
		b.flush()
		select {
		case <-b.stop:
		case <-time.After(writeInterval):
		}
	}
}

func (b *LogBuffer) flush() {
	b.mu.Lock()
	buf := b.buf
	b.buf = nil
	b.mu.Unlock()
	if len(buf) > 0 {
		// A failure of the log itself cannot be reported.
		_, _ = b.w.Write(buf)
	}
}

// Close writes the buffered lines and stops the buffer.
func (b *LogBuffer) Close() error {
	close(b.stop)
	<-b.done
	return nil
}
