package quota

import (
	"maps"
	"slices"

	"dotterelgap/core/fleet"
)

// Testimony is all that a witness has recorded, once it records nothing more. A holder that it
// does not name has recorded no raise there.
type Testimony struct {
	Witness fleet.NodeID `cbor:"1,keyasint,omitempty"`
	Raises  []Raise      `cbor:"2,keyasint,omitempty"`
}

// Close refuses all further raises and returns what was recorded.
func (w *Witness) Close() Testimony {
	w.closed = true
	return Testimony{Witness: w.self, Raises: w.Raises()}
}

// report returns the testimony on one holder.
func (t Testimony) report(holder fleet.NodeID) WitnessReport {
	for _, r := range t.Raises {
		if r.Holder == holder {
			return WitnessReport{Valid: true, Heard: r.Heard, Marks: maps.Clone(r.Marks)}
		}
	}
	return WitnessReport{Valid: true}
}

// Unheard returns the witnesses whose reports the ledger does not have.
func (h HolderState) Unheard() []fleet.NodeID {
	return slices.DeleteFunc(slices.Clone(h.Witnesses), func(id fleet.NodeID) bool {
		_, ok := h.Testified[id]
		return ok
	})
}

// withTestimony adds the reports that the ledger has to those of the other witnesses.
func (h HolderState) withTestimony(reports []WitnessReport) []WitnessReport {
	out := slices.Clone(reports)
	for _, id := range h.Witnesses {
		if r, ok := h.Testified[id]; ok {
			out = append(out, r)
		}
	}
	return out
}
