package ctrl

import (
	"context"
	"time"

	"dotterelgap/io/telem"

	"go.opentelemetry.io/otel/metric"
)

type metrics struct {
	syncs      metric.Int64Counter
	slowSyncs  metric.Int64Counter
	syncTime   metric.Float64Histogram
	entries    metric.Int64Counter
	heartbeats metric.Int64Counter
	locked     metric.Int64Gauge
}

func newMetrics() *metrics {
	return &metrics{
		syncs:      telem.Counter("control", "control_log_syncs", "Syncs of the log file."),
		slowSyncs:  telem.Counter("control", "control_log_slow_syncs", "Writes to the data folder that took 250 ms or more."),
		syncTime:   telem.Seconds("control", "control_log_sync_seconds", "Time of a write to the data folder, with its sync."),
		entries:    telem.Counter("control", "control_log_entries", "Entries written to the log file."),
		heartbeats: telem.Counter("control", "control_beats", "Announcements that were answered."),
		locked:     telem.Amount("control", "control_locked_tokens", "Tokens at holders that are not heard, at the leader."),
	}
}

func (m *metrics) recordSync(entries int, took time.Duration) {
	m.syncs.Add(context.Background(), 1)
	m.syncTime.Record(context.Background(), took.Seconds())
	m.entries.Add(context.Background(), int64(entries))
}

func (m *metrics) recordSlowSync() { m.slowSyncs.Add(context.Background(), 1) }
