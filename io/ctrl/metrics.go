package ctrl

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
)

type metrics struct {
	syncs   metric.Int64Counter
	entries metric.Int64Counter
	beats   metric.Int64Counter
}

func newMetrics() *metrics {
	m := otel.Meter("dotterelgap/control")
	return &metrics{
		syncs:   counter(m, "control_log_syncs", "Syncs of the log file."),
		entries: counter(m, "control_log_entries", "Entries written to the log file."),
		beats:   counter(m, "control_beats", "Announcements that were answered."),
	}
}

// counter makes a counter. Only a bad name is an error, and a fallback that
// counts nothing comes with it.
func counter(m metric.Meter, name, help string) metric.Int64Counter {
	c, err := m.Int64Counter(name, metric.WithDescription(help))
	if err != nil {
		otel.Handle(err)
	}
	return c
}

func (m *metrics) synced(entries int) {
	m.syncs.Add(context.Background(), 1)
	m.entries.Add(context.Background(), int64(entries))
}
