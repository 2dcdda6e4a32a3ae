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

// toEnter is the number of witnesses, of n, that must know before a reserve is
// used: half of them, so that one that is slow or dead does not keep it shut.
func toEnter(n int) int { return (n + 1) / 2 }

// toClear is the number of witnesses whose word clears a holder: any so many have
// one among them that would know.
func toClear(n int) int { return n - toEnter(n) + 1 }

// Judge weighs the words of a holder's witnesses.
func (h Life) Judge(words []Testimony) Verdict {
	cleared, lost := 0, 0
	for _, t := range words {
		switch {
		case !t.Valid:
			lost++
		case t.Entered > 0 && t.Entered >= h.Heard:
			return Used
		default:
			cleared++
		}
	}
	n := len(h.Witnesses)
	switch {
	case n > 0 && cleared >= toClear(n):
		return Cleared
	case n-lost < toClear(n) || n == 0:
		return Used
	}
	return Open
}
