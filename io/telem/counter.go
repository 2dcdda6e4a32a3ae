package telem

import (
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
)

// Counter makes a counter of a part of the system. Only a bad name is an error;
// a counter that counts nothing comes with it.
func Counter(part, name, help string) metric.Int64Counter {
	c, err := otel.Meter("dotterelgap/"+part).Int64Counter(name, metric.WithDescription(help))
	if err != nil {
		otel.Handle(err)
	}
	return c
}
