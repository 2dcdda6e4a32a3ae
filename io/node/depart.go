package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/telem"
	"dotterelgap/io/wire"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

const (
	// departTimeout is how long a node tries to record a departure: an upstream waits for a second
	// and then asks another node.
	departTimeout = 800 * time.Millisecond
	// maxConfirmed bounds the departures that a node knows to be recorded.
	maxConfirmed = 4096
)

// departures holds the departures that this node knows to be in the log, so that the heartbeats of an
// upstream that drains are not recorded again and again. It only saves work: it may be emptied.
type departures struct {
	count metric.Int64Counter

	mu        sync.Mutex
	confirmed map[fleet.UpstreamKey]fleet.Departure
}

func newDepartures() *departures {
	return &departures{
		count:     telem.Counter("node", "node_departures", "Departures of upstreams that reached this node, by whether they were acknowledged."),
		confirmed: map[fleet.UpstreamKey]fleet.Departure{},
	}
}

func (s *departures) confirm(list ...fleet.Departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.confirmed)+len(list) > maxConfirmed {
		s.confirmed = map[fleet.UpstreamKey]fleet.Departure{}
	}
	for _, d := range list {
		if key := d.Key(); !s.confirmed[key].Covers(d) {
			s.confirmed[key] = d
		}
	}
}

func (s *departures) isConfirmed(d fleet.Departure) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed[d.Key()].Covers(d)
}

func (s *departures) record(acknowledged bool) {
	s.count.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("acknowledged", acknowledged)))
}

// RecordHeartbeat records a heartbeat of an upstream. One that says that the upstream drains is a
// departure: after an error this node sends it nothing more, but others may after a fault.
func (n *Node) RecordHeartbeat(ctx context.Context, u fleet.Upstream) error {
	n.mesh.RecordHeartbeat(u)
	if u.State == fleet.UpstreamReady {
		return nil
	}
	return n.depart(ctx, fleet.Departure{ID: u.ID, Service: u.Service, Born: u.Born, State: u.State})
}

// Leave records that an upstream has shut down. born is the start of the incarnation that has, or zero
// for the one that this node knows; if it knows none, the error is a *UnknownUpstreamError.
func (n *Node) Leave(ctx context.Context, id string, born time.Time) error {
	if born.IsZero() {
		var ok bool
		if born, ok = n.mesh.Incarnation(id, n.inUse); !ok {
			n.departures.record(false)
			return &UnknownUpstreamError{ID: id}
		}
	}
	return n.depart(ctx, fleet.Departure{ID: id, Born: born, State: fleet.UpstreamGone})
}

// depart puts a departure in force on all nodes that can be reached, and returns once it is in the
// log of the control group, from which it outlives the end of any node.
func (n *Node) depart(ctx context.Context, d fleet.Departure) error {
	n.mesh.Depart(d)
	if n.departures.isConfirmed(d) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	_, err := ctrl.Call[wire.DepartReply](ctx, n.client, "Control.Depart", &d)
	n.departures.record(err == nil)
	if err != nil {
		n.log.Warn("node: a departure is in force here but not acknowledged: the control group has not recorded it",
			zap.String("upstream", d.ID), zap.Error(err))
		return err
	}
	n.departures.confirm(d)
	return nil
}

// applyDepartures puts departures of the log in force.
func (n *Node) applyDepartures(list []fleet.Departure) {
	n.departures.confirm(list...)
	n.mesh.Depart(list...)
}

// UnknownUpstreamError means that a leave message names no start, and that this node does not know
// the upstream.
type UnknownUpstreamError struct {
	ID string
}

// Error implements error.
func (e *UnknownUpstreamError) Error() string {
	return fmt.Sprintf("upstream %q is not known here, and the message does not say when it started", e.ID)
}
