package ctrl

import (
	"dotterelgap/core/state"
	"dotterelgap/io/wire"
)

// Evacuate starts or ends the evacuation of a place. While the group has too few voters it
// replies NotLeader, so that the caller retries.
func (s *Service) Evacuate(args *state.Evacuate, reply *wire.EvacuateReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	if !h.hasEnoughVoters() {
		reply.NotLeader = true
		return nil
	}
	res, hint := h.commit(state.Command{Evacuate: args})
	reply.Hint, reply.Evacuations, reply.InForce = hint, res.Evacuations, res.InForce
	return nil
}
