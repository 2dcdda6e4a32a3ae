package intake

import (
	"context"

	"dotterelgap/io/telem"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// ended is why a head or a body was ended before it had arrived.
type ended string

// The reasons, as they appear in metrics.
const (
	endedYielded  ended = "yielded"
	endedStalled  ended = "stalled"
	endedTooLong  ended = "head_too_long"
	endedNoMemory ended = "no_memory"
)

// metrics are those of all gates of a process together.
type metrics struct {
	held  metric.Int64UpDownCounter
	ended metric.Int64Counter
}

func newMetrics() metrics {
	return metrics{
		held:  telem.UpDown("intake", "intake_bytes", "Memory that heads and bodies of requests hold, in bytes."),
		ended: telem.Counter("intake", "intake_ended", "Heads and bodies that were ended before they had arrived, by reason."),
	}
}

// hold records a change of the memory that is held.
func (m metrics) hold(bytes int64) {
	if bytes != 0 {
		m.held.Add(context.Background(), bytes)
	}
}

func (m metrics) end(why ended) {
	m.ended.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(why))))
}
