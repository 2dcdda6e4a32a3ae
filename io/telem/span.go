package telem

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const traceParent = "traceparent"

// Span starts a span. The caller must end it.
func Span(ctx context.Context, name string) (context.Context, trace.Span) {
	return otel.Tracer("dotterelgap").Start(ctx, name)
}

// Inject returns the W3C traceparent of ctx for a message, or "" if ctx has no span.
func Inject(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c[traceParent]
}

// Extract returns a context that continues the trace of a message's traceparent.
func Extract(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParent: parent})
}
