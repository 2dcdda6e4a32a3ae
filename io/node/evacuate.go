package node

import (
	"context"

	"dotterelgap/core/fleet"
	"dotterelgap/core/policy"
	"dotterelgap/core/state"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// applyEvacuations puts evacuated places in force on this node and passes them on to the
// others, unless newer ones are known.
func (n *Node) applyEvacuations(e fleet.Evacuations) {
	n.mesh.SetEvacuations(e)
	n.front.SetEvacuations(n.mesh.Evacuations())
}

// Evacuate starts the evacuation of a place, or ends it. After an error other than
// *fleet.UnknownPlaceError, the order may or may not be in force.
func (n *Node) Evacuate(ctx context.Context, p fleet.Place, end bool) error {
	known := n.mesh.Evacuations()
	if !n.isPlace(p) && !known.Contains(p) {
		if len(n.deps.Regions) == 0 && !n.confirmed.Load() {
			return trace.Wrap(&NotConfirmedError{})
		}
		return &fleet.UnknownPlaceError{Place: p}
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	args := state.Evacuate{Place: p, End: end, Seen: known.Number}
	reply, err := ctrl.Call[wire.EvacuateReply](ctx, n.client, "Control.Evacuate", &args)
	if err != nil {
		return err
	}
	n.applyEvacuations(reply.Evacuations)
	if !reply.InForce {
		return trace.Wrap(&OutdatedOrderError{Place: p})
	}
	return nil
}

// isPlace reports whether the settings name a place. If they name none, it reports whether a
// node or an upstream does.
func (n *Node) isPlace(p fleet.Place) bool {
	if len(n.deps.Regions) > 0 {
		_, ok := n.deps.Regions[p]
		return ok
	}
	for _, peer := range n.mesh.Alive() {
		if peer.Place == p {
			return true
		}
	}
	for _, u := range n.mesh.Upstreams(n.inUse) {
		if n.inUse(u.Service) && u.Place == p {
			return true
		}
	}
	return false
}

// warnUnknownRegions logs the regions in a policy in which no place lies.
func (n *Node) warnUnknownRegions(p *policy.Policy) {
	named := map[fleet.Region]bool{}
	for _, r := range n.deps.Regions {
		named[r] = true
	}
	var unknown []fleet.Region
	for _, r := range p.Regions() {
		if !named[r] {
			unknown = append(unknown, r)
		}
	}
	if len(unknown) > 0 {
		n.log.Warn("node: the settings name no place in some regions of the policy; these allow no upstream", zap.Any("regions", unknown))
	}
}

// OutdatedOrderError means that another order has changed the evacuation of the place since
// this one was received.
type OutdatedOrderError struct {
	Place fleet.Place
}

// Error implements error.
func (e *OutdatedOrderError) Error() string {
	return "another order has changed the evacuation of " + string(e.Place) + "; send this one again if it still holds"
}

// NotConfirmedError means that the node has just started and does not know the fleet yet.
type NotConfirmedError struct{}

// Error implements error.
func (*NotConfirmedError) Error() string { return "this node does not know all places yet" }
