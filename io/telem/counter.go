package telem

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
)

// Counter returns a counter for a part of the system. An invalid name is reported to
// OpenTelemetry's error handler; the returned counter can still be used.
func Counter(part, name, help string) metric.Int64Counter {
	c, err := otel.Meter("dotterelgap/"+part).Int64Counter(name, metric.WithDescription(help))
	if err != nil {
		otel.Handle(err)
	}
	return c
}

// UpDown returns a counter that may also decrease.
func UpDown(part, name, help string) metric.Int64UpDownCounter {
	c, err := otel.Meter("dotterelgap/"+part).Int64UpDownCounter(name, metric.WithDescription(help))
	if err != nil {
		otel.Handle(err)
	}
	return c
}

// Seconds returns a histogram of durations. Its buckets suit the time to the first token
// and to the complete response.
func Seconds(part, name, help string) metric.Float64Histogram {
	h, err := otel.Meter("dotterelgap/"+part).Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 16))
	if err != nil {
		otel.Handle(err)
	}
	return h
}

// Gauge registers a gauge that calls read whenever metrics are collected.
func Gauge(part, name, help string, read func() float64) {
	_, err := otel.Meter("dotterelgap/"+part).Float64ObservableGauge(name, metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	if err != nil {
		otel.Handle(err)
	}
}

// Level returns a gauge that its owner sets, in a unit such as "s".
func Level(part, name, unit, help string) metric.Float64Gauge {
	g, err := otel.Meter("dotterelgap/"+part).Float64Gauge(name, metric.WithDescription(help), metric.WithUnit(unit))
	if err != nil {
		otel.Handle(err)
	}
	return g
}

// Amount returns a gauge of a whole number that its owner sets.
func Amount(part, name, help string) metric.Int64Gauge {
	g, err := otel.Meter("dotterelgap/"+part).Int64Gauge(name, metric.WithDescription(help))
	if err != nil {
		otel.Handle(err)
	}
	return g
}
