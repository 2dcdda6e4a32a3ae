package entry

import (
	"context"

	"dotterelgap/core/escrow"
	"dotterelgap/io/telem"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

type metrics struct {
	requests metric.Int64Counter
	tokens   metric.Int64Counter
	control  metric.Int64Counter
}

func newMetrics() *metrics {
	return &metrics{
		requests: telem.Counter("entry", "entry_requests", "Requests by outcome and code."),
		tokens:   telem.Counter("entry", "entry_tokens", "Tokens that were charged."),
		control:  telem.Counter("entry", "entry_control_calls", "Budget and claim calls to the control group."),
	}
}

func (m *metrics) request(p *Problem) {
	outcome, code := OutcomeDone, "ok"
	if p != nil {
		outcome, code = p.Outcome, p.Code
	}
	m.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("outcome", string(outcome)), attribute.String("code", code)))
}

func (m *metrics) used(n escrow.Tokens) {
	m.tokens.Add(context.Background(), int64(n))
}

func (m *metrics) controlCall() {
	m.control.Add(context.Background(), 1)
}
