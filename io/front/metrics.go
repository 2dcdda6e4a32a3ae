package front

import (
	"context"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"
	"dotterelgap/io/telem"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// codeServed is the metric code of a request that succeeded.
const codeServed = "served"

type metrics struct {
	requests    metric.Int64Counter
	attempts    metric.Int64Counter
	tokens      metric.Int64Counter
	quarantines metric.Int64Counter
	// pacedRequests counts the requests that found only paced upstreams, paced is the number of those.
	pacedRequests metric.Int64Counter
	paced         metric.Int64Gauge
	evacuated     metric.Int64Gauge
	waiting       metric.Int64UpDownCounter
	rejected      metric.Int64Counter
	waited        metric.Float64Histogram
	requestLimit  metric.Int64Gauge
	firstByte     metric.Float64Histogram
	duration      metric.Float64Histogram
}

func newMetrics() *metrics {
	return &metrics{
		requests: telem.Counter("front", "front_requests", "Callers' requests by kind of route and by how they ended."),
		attempts: telem.Counter("front", "front_attempts", "Attempts at upstreams by how they ended."),
		quarantines: telem.Counter("front", "front_quarantines",
			"Quarantines of prompt parts that this node began or lifted."),
		pacedRequests: telem.Counter("front", "front_paced_requests", "Requests that found only upstreams that are paced."),
		paced:         telem.Amount("front", "front_paced_upstreams", "Upstreams that are paced: cold, started or recovered lately."),
		evacuated:     telem.Amount("front", "front_evacuated_places", "Places that the operators have evacuated."),
		waiting:       telem.UpDown("front", "front_waiting", "Requests that wait for a place at an upstream."),
		rejected:      telem.Counter("front", "front_not_admitted", "Requests that admission rejected, by reason."),
		waited:        telem.Seconds("front", "front_wait_seconds", "Time that requests waited for a place at an upstream."),
		requestLimit:  telem.Amount("front", "front_request_limit", "Requests that may be in progress at once; it shrinks while the process is saturated."),
		tokens:        telem.Counter("front", "front_tokens", "Tokens that customers were billed, by who ended the response."),
		firstByte:     telem.Seconds("front", "front_first_byte_seconds", "Time from a request's head to the first byte of its answer."),
		duration:      telem.Seconds("front", "front_request_seconds", "Time from a request's head to the end of its answer."),
	}
}

func (m *metrics) recordRequestLimit(limit int) {
	m.requestLimit.Record(context.Background(), int64(limit))
}

// countRequest records a request and how it ended; failure is nil if it succeeded.
func (m *metrics) countRequest(c *call, failure *responseError) {
	ctx := context.Background()
	code, kind := codeServed, "none"
	if failure != nil {
		code = failure.code
	}
	if c.route != nil {
		kind = string(c.route.Kind)
	}
	set := metric.WithAttributes(attribute.String("kind", kind), attribute.String("code", code))
	m.requests.Add(ctx, 1, set)
	m.duration.Record(ctx, time.Since(c.start).Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
	if !c.firstByteAt.IsZero() {
		m.firstByte.Record(ctx, c.firstByteAt.Sub(c.start).Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
	}
	ended := metric.WithAttributes(attribute.String("ended_by", string(c.ended)))
	m.tokens.Add(ctx, int64(c.billed), ended)
}

// countAttempt records an attempt by its outcome.
func (m *metrics) countAttempt(o sched.Outcome) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", o.String())))
}

// addWaiting adds to the number of requests that wait for a place.
func (m *metrics) addWaiting(n int64) { m.waiting.Add(context.Background(), n) }

// countAdmission records what admission decided on a request.
func (m *metrics) countAdmission(a admitted) {
	ctx := context.Background()
	m.waited.Record(ctx, a.waited.Seconds())
	if a.decision.Action == sched.Reject {
		m.rejected.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", string(a.decision.Reason))))
	}
}

// countQuarantine records a quarantine that this node began or lifted.
func (m *metrics) countQuarantine(q fleet.Quarantine) {
	change := "began"
	if q.Lifted {
		change = "lifted"
	}
	m.quarantines.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// countPaced counts a request that found only upstreams that are paced.
func (m *metrics) countPaced(failure *responseError) {
	if failure.code == errUpstreamPaced.code {
		m.pacedRequests.Add(context.Background(), 1)
	}
}
