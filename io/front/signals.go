package front

import (
	"sync"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"

	"go.uber.org/zap"
)

// recordSignals applies what an upstream said of itself in a response. rejected is set if the
// response states that the request did not run.
func (f *Front) recordSignals(c sched.Choice, s sched.Signals, rejected bool) {
	f.warned.malformed(c.Upstream, s.Malformed)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if s.Limit.Named || !rejected {
		// A response that rejects the request may come from another upstream at that address.
		if u, send := f.balancer.Limit(now, c, s.Limit); send {
			f.deps.Broadcast(u)
		}
	}
	if u, send := f.balancer.Pause(now, c, s.Pause); send {
		f.deps.Broadcast(u)
	}
	if s.Leaving && f.balancer.Leaving(c) {
		f.log.Info("front: an upstream said that it is leaving", zap.String("upstream", c.Upstream.ID))
		f.deps.Leaving(c.Upstream)
	}
}

// maxWarned limits the headers that are remembered as logged.
const maxWarned = 1024

// warnings logs each malformed header of an upstream once.
type warnings struct {
	log  *zap.Logger
	mu   sync.Mutex
	seen map[warning]struct{}
}

type warning struct {
	upstream string
	header   string
}

func newWarnings(log *zap.Logger) *warnings {
	return &warnings{log: log, seen: map[warning]struct{}{}}
}

// malformed logs the headers whose values were not understood.
func (w *warnings) malformed(u fleet.Upstream, headers []string) {
	for _, h := range headers {
		if w.first(warning{upstream: u.ID, header: h}) {
			w.log.Warn("front: a header of an upstream is ignored or bounded", zap.String("upstream", u.ID), zap.String("header", h))
		}
	}
}

// first reports whether a warning was not logged before.
func (w *warnings) first(k warning) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.seen[k]; ok {
		return false
	}
	if len(w.seen) >= maxWarned {
		clear(w.seen)
	}
	w.seen[k] = struct{}{}
	return true
}
