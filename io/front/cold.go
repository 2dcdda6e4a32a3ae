package front

import (
	"context"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"

	"go.uber.org/zap"
)

// SetSharers sets the nodes that share the bounds on requests to cold upstreams.
func (f *Front) SetSharers(s fleet.Sharers) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.SetSharers(s)
}

// updateCold applies how long the upstreams stay cold, and logs the changes. The caller holds
// f.mu.
func (f *Front) updateCold() {
	now := time.Now()
	changes := f.balancer.SetCold(now)
	f.logPaces(f.balancer.SetPaces(now))
	f.metrics.paced.Record(context.Background(), int64(f.balancer.PacedUpstreams()))
	for _, c := range changes {
		if c.Bounded {
			f.warned.malformed(c.Upstream, []string{"cold_left"})
		}
		if c.Left == 0 {
			f.log.Info("front: an upstream is cold no longer", zap.String("upstream", c.Upstream.ID))
			continue
		}
		f.log.Info("front: an upstream is cold and gets a limited rate of requests",
			zap.String("upstream", c.Upstream.ID), zap.Duration("left", c.Left.Round(time.Millisecond)), zap.Int("part_per_second", c.Part))
	}
}

// openingError returns the error of a request for which all upstreams get no requests until an
// opening.
func openingError(o sched.Opening) *responseError {
	switch {
	case o.Paced:
		return errUpstreamPaced
	case o.Paused:
		return errUpstreamPaused
	}
	return errUpstreamLimited
}

// logPaces logs the paces that have begun or ended.
func (f *Front) logPaces(changes []sched.PaceChange) {
	for _, c := range changes {
		id, rate := zap.String("upstream", c.Upstream.ID), zap.Float64("per_second", float64(int(c.Rate*100))/100)
		if c.Why == "" {
			f.log.Info("front: the pace of an upstream ends", id, rate)
			continue
		}
		f.log.Info("front: the pace of an upstream begins", id, rate, zap.String("why", c.Why))
	}
}
