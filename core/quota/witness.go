package quota

import "dotterelgap/core/fleet"

// Witness remembers which holders have begun to use their reserve. It lives in
// memory only: a restarted node has another id and is nobody's witness yet.
type Witness struct {
	self    fleet.NodeID
	entered map[fleet.NodeID]uint64
	fenced  map[fleet.NodeID]struct{}
}

// NewWitness returns a witness that has seen nothing.
func NewWitness(self fleet.NodeID) *Witness {
	return &Witness{self: self, entered: map[fleet.NodeID]uint64{}, fenced: map[fleet.NodeID]struct{}{}}
}

// Entry is a holder's announcement that it is about to use its reserve.
type Entry struct {
	Witness fleet.NodeID
	Holder  fleet.NodeID
	// Heard is the Seq of the holder's latest statement that was answered.
	Heard uint64
}

// Enter records an entry. It is refused once the holder was fenced.
func (w *Witness) Enter(e Entry) bool {
	if _, ok := w.fenced[e.Holder]; ok || e.Witness != w.self {
		return false
	}
	w.entered[e.Holder] = max(w.entered[e.Holder], e.Heard)
	return true
}

// Testimony is a witness's word on a holder that has ended.
type Testimony struct {
	// Valid is false where the witness asked is another life of the node.
	Valid bool
	// Entered is the latest entry's Heard; 0 if there was none.
	Entered uint64
}

// Fence refuses further entries of a holder, and tells about earlier ones.
func (w *Witness) Fence(witness, holder fleet.NodeID) Testimony {
	if witness != w.self {
		return Testimony{}
	}
	w.fenced[holder] = struct{}{}
	return Testimony{Valid: true, Entered: w.entered[holder]}
}

// Verdict is what the witnesses' words say of an ended holder.
type Verdict uint8

// The verdicts.
const (
	// Open: a witness that may know more has not answered.
	Open Verdict = iota
	// Cleared: the holder did not use its reserve after its last statement.
	Cleared
	// Used: it may have.
	Used
)

// Judge weighs the words of a holder's witnesses. One that has not seen it is
// enough to clear it, since a holder needs all of them to enter.
func (h Life) Judge(words []Testimony) Verdict {
	cleared, lost := false, len(h.Witnesses) == 0
	for _, t := range words {
		switch {
		case !t.Valid:
			lost = true
		case t.Entered > 0 && t.Entered >= h.Heard:
			return Used
		default:
			cleared = true
		}
	}
	switch {
	case cleared:
		return Cleared
	case lost && len(words) >= len(h.Witnesses):
		return Used
	}
	return Open
}
