package front

import (
	"context"
	"net/http"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"

	"go.uber.org/zap"
)

// The error responses of requests that the operators' orders keep from all upstreams. An
// evacuation may end at any time, whereas regions change with a policy only.
var (
	errEvacuated      = &responseError{status: http.StatusServiceUnavailable, code: "evacuated", retryAfter: maxRetryAfter}
	errOutsideRegions = &responseError{status: http.StatusServiceUnavailable, code: "outside_regions", retryAfter: time.Minute}
)

// barredError returns the error response of a request that the operators' orders keep from
// all upstreams, or nil.
func (c *call) barredError() *responseError {
	reason, barred := c.f.barred(c.query())
	switch {
	case !barred:
		return nil
	case reason == sched.Evacuated:
		return errEvacuated
	}
	return errOutsideRegions
}

func (f *Front) barred(q sched.Query) (sched.Reason, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.Barred(q)
}

// SetEvacuations sets the evacuated places, unless newer ones are set already.
func (f *Front) SetEvacuations(e fleet.Evacuations) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.balancer.SetEvacuated(time.Now(), e) {
		f.metrics.evacuated.Record(context.Background(), int64(len(e.Places)))
		f.log.Info("front: the evacuated places changed", zap.Uint64("number", e.Number), zap.Any("places", e.Places))
	}
}
