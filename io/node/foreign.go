package node

import (
	"context"
	"sync"
	"time"

	"dotterelgap/io/telem"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

// foreignLogInterval is the shortest time between two log lines on foreign messages.
const foreignLogInterval = 10 * time.Second

// ForeignMessage is a message to this node that can't be from whom it claims to be from.
type ForeignMessage struct {
	// Call is what the message asked for, ID the upstream that it named.
	Call, ID string
	// Field is the field that was wrong, or empty if the message could not be read.
	Field string
	// Reason is one of a few words.
	Reason string
}

// foreignMessages counts foreign messages, and logs some of them.
type foreignMessages struct {
	log   *zap.Logger
	count metric.Int64Counter

	mu       sync.Mutex
	loggedAt time.Time
	// unlogged is the number of messages since the latest log line.
	unlogged int
}

func newForeignMessages(log *zap.Logger) *foreignMessages {
	return &foreignMessages{
		log:   log,
		count: telem.Counter("node", "node_foreign_messages", "Messages that were ignored since they can't be from whom they claim to be from."),
	}
}

// record counts a message. It logs one every foreignLogInterval, with the number of those between.
func (f *foreignMessages) record(now time.Time, m ForeignMessage) {
	f.count.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", m.Call), attribute.String("reason", m.Reason)))
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loggedAt.IsZero() && now.Sub(f.loggedAt) < foreignLogInterval {
		f.unlogged++
		return
	}
	f.log.Warn("node: a foreign message was ignored", zap.String("call", m.Call), zap.String("id", m.ID),
		zap.String("field", m.Field), zap.String("reason", m.Reason), zap.Int("unlogged", f.unlogged))
	f.loggedAt, f.unlogged = now, 0
}

// IgnoreForeign records that a message was ignored.
func (n *Node) IgnoreForeign(m ForeignMessage) { n.foreign.record(time.Now(), m) }
