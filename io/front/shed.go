package front

import (
	"math"
	"sync"
	"time"

	"dotterelgap/core/shed"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	// sampleInterval is the time between two measurements of the process.
	sampleInterval = 50 * time.Millisecond
	// requestMemory is what a request in progress takes besides its body, in bytes: goroutines, buffers
	// and header of two connections.
	requestMemory = 64 << 10
	// requestShare is the share of the memory for requests in progress.
	requestShare = 0.4
)

// shedder refuses requests while the process is saturated. See core/shed.
type shedder struct {
	f *Front
	// memory is the memory that the process may use, in bytes; 0 if there is no limit.
	memory  int64
	stop    chan struct{}
	stopped sync.Once

	mu   sync.Mutex
	gate *shed.Gate
}

func newShedder(f *Front, memory int64) *shedder {
	most := int(requestShare * float64(memory) / requestMemory)
	return &shedder{f: f, memory: memory, stop: make(chan struct{}), gate: shed.New(shed.Options{Most: most})}
}

// begin counts a request as in progress, unless there are too many.
func (s *shedder) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Begin()
}

func (s *shedder) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.End()
}

// run measures the process until close.
func (s *shedder) run() {
	if s.memory == 0 {
		return
	}
	timer := time.NewTimer(sampleInterval)
	defer timer.Stop()
	var p process
	p.wait()
	for {
		due := time.Now().Add(sampleInterval)
		timer.Reset(sampleInterval)
		select {
		case <-s.stop:
			return
		case <-timer.C:
		}
		s.observe(shed.Sample{Wait: max(time.Since(due), p.wait()), Memory: float64(p.reachable()) / float64(s.memory)})
	}
}

func (s *shedder) observe(sample shed.Sample) {
	s.mu.Lock()
	before, _ := s.gate.Limit()
	change := s.gate.Observe(sample)
	limit, _ := s.gate.Limit()
	s.mu.Unlock()
	if limit != before {
		s.f.metrics.recordRequestLimit(limit)
	}
	switch {
	case change.Began:
		s.f.log.Warn("front: this process is saturated and refuses requests beyond a limit", zap.String("reason", string(change.Reason)),
			zap.Int("limit", limit), zap.Duration("wait", sample.Wait), zap.Float64("memory", math.Round(100*sample.Memory)/100))
	case change.Ended:
		s.f.log.Info("front: this process is not saturated any more", zap.String("reason", string(change.Reason)))
	}
}

// close ends run. It may be called again.
func (s *shedder) close() { s.stopped.Do(func() { close(s.stop) }) }

// overloadedError returns the response to a request beyond the limit. Callers that are refused together
// return at different times.
func (c *call) overloadedError() *responseError {
	failure := *errOverloaded
	failure.retryAfter += time.Duration(xxhash.Sum64String(c.id) % uint64(retrySpread))
	return &failure
}
