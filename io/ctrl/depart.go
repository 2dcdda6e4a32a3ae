package ctrl

import (
	"dotterelgap/core/fleet"
	"dotterelgap/core/raft"
	"dotterelgap/core/state"
	"dotterelgap/io/wire"
)

// Depart records the departure of an upstream in the log. While the group has too few voters it replies
// NotLeader, so that the caller retries.
func (s *Service) Depart(args *fleet.Departure, reply *wire.DepartReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	if !h.hasEnoughVoters() {
		reply.NotLeader = true
		return nil
	}
	_, reply.Hint = h.commit(state.Command{Depart: args})
	return nil
}

// announceSaved calls OnSavedDepartures with the departures of entries that were read from the log and
// whose commit this host does not know of yet. The upstreams have left in any case.
func (h *Host) announceSaved(entries []raft.Entry) {
	var list []fleet.Departure
	for _, e := range entries {
		if e.Kind != raft.EntryCommand {
			continue
		}
		// An entry that can't be decoded is logged when it is applied.
		if d, err := state.DepartureOf(e.Data); err == nil && d != nil {
			list = append(list, *d)
		}
	}
	if len(list) > 0 {
		h.deps.OnSavedDepartures(list)
	}
}

// departures returns all departures of the state.
func (h *Host) departures() []fleet.Departure {
	var out []fleet.Departure
	for _, d := range h.state.Departures {
		out = append(out, d.Departure)
	}
	return out
}
