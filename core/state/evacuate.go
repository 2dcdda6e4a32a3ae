package state

import (
	"slices"

	"dotterelgap/core/fleet"
)

// Evacuate starts or ends the evacuation of a place.
type Evacuate struct {
	Place fleet.Place `cbor:"place"`
	// End withdraws the evacuation.
	End bool `cbor:"end"`
	// Seen is the number of the set that the node knew when the operator's order reached it.
	Seen uint64 `cbor:"seen"`
}

// EvacuationState is the set of evacuated places.
type EvacuationState struct {
	fleet.Evacuations
	// Changes holds the number of the latest change of each place.
	Changes map[fleet.Place]uint64 `cbor:"changes"`
}

// evacuate applies an order and reports whether it is in force. A repeated order changes
// nothing. An order is outdated if another one has changed the same place since it reached the
// node: it may be a late copy, which must not undo an order that came after it.
func (m *Machine) evacuate(e Evacuate) (inForce bool) {
	s := &m.Evacuations
	if s.Contains(e.Place) != e.End {
		return true
	}
	if s.Changes[e.Place] > e.Seen {
		return false
	}
	places := slices.DeleteFunc(slices.Clone(s.Places), func(p fleet.Place) bool { return p == e.Place })
	if !e.End {
		places = append(places, e.Place)
		slices.Sort(places)
	}
	s.Evacuations = fleet.Evacuations{Number: s.Number + 1, Places: places}
	if s.Changes == nil {
		s.Changes = map[fleet.Place]uint64{}
	}
	s.Changes[e.Place] = s.Number
	return true
}
