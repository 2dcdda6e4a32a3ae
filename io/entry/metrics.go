package entry

import (
	"context"

	"dotterelgap/core/escrow"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

type metrics struct {
	requests metric.Int64Counter
	tokens   metric.Int64Counter
	control  metric.Int64Counter
}

func newMetrics() *metrics {
	m := otel.Meter("dotterelgap/entry")
	return &metrics{
		requests: counter(m, "entry_requests", "Requests by outcome and code."),
		tokens:   counter(m, "entry_tokens", "Tokens that were charged."),
		control:  counter(m, "entry_control_calls", "Budget and claim calls to the control group."),
	}
}

func counter(m metric.Meter, name, help string) metric.Int64Counter {
	c, err := m.Int64Counter(name, metric.WithDescription(help))
	if err != nil {
		otel.Handle(err)
	}
	return c
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
