package ctrl

import (
	"time"

	"dotterelgap/core/state"
	"dotterelgap/io/wire"
)

// Publish puts a routing policy in force, if its number is the highest. It
// waits until the group could lose as many hosts as its size allows.
func (s *Service) Publish(args *state.Publish, reply *wire.PublishReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	if !h.hasEnoughVoters() {
		reply.NotLeader = true
		return nil
	}
	res, hint := h.commit(state.Command{Publish: args})
	reply.Hint, reply.Number, reply.Accepted = hint, res.Published, res.Accepted
	return nil
}

// complete tells whether the group has once had as many voters as it should, so
// that what it accepts outlives the loss of a host.
func (h *Host) hasEnoughVoters() bool {
	enough := false
	h.onLoop(func(time.Time) { enough = h.machine.Status().Members.Voters() > h.deps.Size/2 })
	return enough
}

// Policy returns the routing policy in force, confirmed by a quorum.
func (s *Service) Policy(args *wire.PolicyArgs, reply *wire.PolicyReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	if reply.Hint = h.confirmLeadership(); reply.NotLeader {
		return nil
	}
	if !h.onLoop(func(time.Time) { reply.Policy = h.state.Policy }) {
		reply.NotLeader = true
		return nil
	}
	if reply.Policy.Number == args.Have {
		reply.Policy.Data = nil
	}
	return nil
}
