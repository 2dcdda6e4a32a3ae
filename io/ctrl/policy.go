package ctrl

import (
	"time"

	"dotterelgap/core/state"
	"dotterelgap/io/wire"
)

// Publish puts a routing policy in force if its number is the highest. While the group
// has too few voters it replies NotLeader, so that the caller retries.
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

// hasEnoughVoters reports whether the group has more than half of its intended number
// of voters, so that what it accepts survives the loss of a host.
func (h *Host) hasEnoughVoters() bool {
	enough := false
	h.onLoop(func(time.Time) { enough = h.machine.Status().Members.Voters() > h.deps.Size/2 })
	return enough
}

// Policy returns the routing policy in force and the evacuated places, confirmed by a quorum.
func (s *Service) Policy(args *wire.PolicyArgs, reply *wire.PolicyReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	if reply.Hint = h.confirmLeadership(); reply.NotLeader {
		return nil
	}
	ok := h.onLoop(func(time.Time) { reply.Policy, reply.Evacuations = h.state.Policy, h.state.Evacuations.Evacuations })
	if !ok {
		reply.NotLeader = true
		return nil
	}
	if reply.Policy.Number == args.Have {
		reply.Policy.Data = nil
	}
	return nil
}
