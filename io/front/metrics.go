package front

import (
	"context"
	"time"

	"dotterelgap/core/sched"
	"dotterelgap/io/telem"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// codeServed is the code of a request that was served.
const codeServed = "served"

type metrics struct {
	requests metric.Int64Counter
	attempts metric.Int64Counter
	tokens   metric.Int64Counter
	first    metric.Float64Histogram
	total    metric.Float64Histogram
}

func newMetrics() *metrics {
	return &metrics{
		requests: telem.Counter("front", "front_requests", "Callers' requests by kind of route and by how they ended."),
		attempts: telem.Counter("front", "front_attempts", "Attempts at upstreams by how they ended."),
		tokens:   telem.Counter("front", "front_tokens", "Tokens that customers were billed."),
		first:    telem.Seconds("front", "front_first_byte_seconds", "Time from a request's head to the first byte of its answer."),
		total:    telem.Seconds("front", "front_request_seconds", "Time from a request's head to the end of its answer."),
	}
}

// ended counts a request.
func (m *metrics) ended(c *call, out *refusal) {
	ctx := context.Background()
	code, kind := codeServed, "none"
	if out != nil {
		code = out.code
	}
	if c.route != nil {
		kind = string(c.route.Kind)
	}
	set := metric.WithAttributes(attribute.String("kind", kind), attribute.String("code", code))
	m.requests.Add(ctx, 1, set)
	m.total.Record(ctx, time.Since(c.start).Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
	if !c.first.IsZero() {
		m.first.Record(ctx, c.first.Sub(c.start).Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
	}
	m.tokens.Add(ctx, int64(c.billed))
}

// attempt counts an attempt.
func (m *metrics) attempt(o sched.Outcome) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", o.String())))
}
