package quota

import (
	"maps"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Witness remembers how far other holders have raised their marks while control
// did not answer. One that lives in memory ends with its node: a restarted node has
// another id and is nobody's witness yet. A keeper is one that is written to a disk;
// its id belongs to the data folder.
type Witness struct {
	self   fleet.NodeID
	raised map[fleet.NodeID]*record
	fenced map[fleet.NodeID]struct{}
}

// record is the latest word of one holder.
type record struct {
	heard uint64
	marks map[string]Tokens
}

// NewWitness returns a witness that has seen nothing.
func NewWitness(self fleet.NodeID) *Witness {
	return &Witness{self: self, raised: map[fleet.NodeID]*record{}, fenced: map[fleet.NodeID]struct{}{}}
}

// Raise is a holder's announcement of what it may spend without control's word.
type Raise struct {
	Witness fleet.NodeID
	Holder  fleet.NodeID
	// Heard is the Seq of the holder's latest statement that was answered.
	Heard uint64
	// Marks holds, by customer, all that may be spent. Customers that are not
	// named stay within what the ledger confirmed as their start.
	Marks map[string]Tokens
}

// Raise records a holder's marks. It is refused once the holder was fenced.
func (w *Witness) Raise(r Raise) bool {
	if _, ok := w.fenced[r.Holder]; ok || r.Witness != w.self {
		return false
	}
	known, ok := w.raised[r.Holder]
	switch {
	case !ok || known.heard < r.Heard:
		w.raised[r.Holder] = &record{heard: r.Heard, marks: maps.Clone(r.Marks)}
	case known.heard > r.Heard:
		return false
	default:
		mergeMarks(known.marks, r.Marks)
	}
	return true
}

// mergeMarks raises the marks of dst to those of src.
func mergeMarks(dst, src map[string]Tokens) {
	for c, n := range src {
		dst[c] = max(dst[c], n)
	}
}

// Raises lists the latest raise of each holder.
func (w *Witness) Raises() []Raise {
	var out []Raise
	for _, id := range slices.Sorted(maps.Keys(w.raised)) {
		r := w.raised[id]
		out = append(out, Raise{Witness: w.self, Holder: id, Heard: r.heard, Marks: maps.Clone(r.marks)})
	}
	return out
}

// Forget drops what is known of holders that the ledger has ended.
func (w *Witness) Forget(ended func(fleet.NodeID) bool) {
	for id := range w.raised {
		if ended(id) {
			delete(w.raised, id)
		}
	}
}

// WitnessReport is a witness's word on a holder that has ended.
type WitnessReport struct {
	// Valid is false where the witness asked is another life of the node.
	Valid bool
	// Heard and Marks are those of the holder's latest raise; Heard is 0 if there
	// was none.
	Heard uint64
	Marks map[string]Tokens
}

// Fence refuses further raises of a holder, and tells about the earlier ones.
func (w *Witness) Fence(witness, holder fleet.NodeID) WitnessReport {
	if witness == w.self {
		w.fenced[holder] = struct{}{}
	}
	return w.Peek(witness, holder)
}

// Peek tells about the raises of a holder.
func (w *Witness) Peek(witness, holder fleet.NodeID) WitnessReport {
	if witness != w.self {
		return WitnessReport{}
	}
	t := WitnessReport{Valid: true}
	if r, ok := w.raised[holder]; ok {
		t.Heard, t.Marks = r.heard, maps.Clone(r.marks)
	}
	return t
}

// Assessment is what the witnesses' words say of an ended holder.
type Assessment uint8

// The verdicts.
const (
	// Pending: a witness that may know more has not answered.
	Pending Assessment = iota
	// Settled: no raise of the holder is missing from the words.
	Settled
	// Unproven: too many witnesses have lost their memory, or there were none.
	Unproven
)

// RaiseQuorum is the number of witnesses, of n, that must have recorded a raise before it is
// used: half of them, so that one that is slow or dead does not prevent it.
func RaiseQuorum(n int) int { return (n + 1) / 2 }

// settleQuorum is the number of witnesses whose words are enough: any so many have one
// among them that recorded each raise that was used.
func settleQuorum(n int) int { return n - RaiseQuorum(n) + 1 }

// Assess weighs the words of a holder's witnesses. raised holds the highest marks
// that the holder may have used since its latest statement.
func (h HolderState) Assess(words []WitnessReport) (raised map[string]Tokens, v Assessment) {
	return assess(words, h.Heard, len(h.Witnesses))
}

// AssessKeepers weighs the words of a holder's keepers in the same way: some of their disks
// may be lost.
func (h HolderState) AssessKeepers(words []WitnessReport) (kept map[string]Tokens, v Assessment) {
	return assess(words, h.Heard, len(h.Keepers))
}

// assess weighs the words of n witnesses on raises since the statement heard.
func assess(words []WitnessReport, heard uint64, n int) (raised map[string]Tokens, v Assessment) {
	raised = map[string]Tokens{}
	valid, lost := 0, 0
	for _, t := range words {
		if !t.Valid {
			lost++
			continue
		}
		valid++
		if t.Heard >= heard {
			mergeMarks(raised, t.Marks)
		}
	}
	switch {
	case n > 0 && valid >= settleQuorum(n):
		return raised, Settled
	case n == 0 || n-lost < settleQuorum(n):
		return nil, Unproven
	}
	return nil, Pending
}

// Evidence bounds what an ended holder can have spent. Without any it is billed
// all that it was granted.
type Evidence struct {
	// Witnessed is set where the witnesses' words are enough; Raised are then the
	// marks that they recorded.
	Witnessed bool              `cbor:"1,keyasint,omitempty"`
	Raised    map[string]Tokens `cbor:"2,keyasint,omitempty"`
	// Timed is set where it is known how long the holder can have lived without an
	// answer; Opening is then what was open, at most, to one whose raises no keeper
	// has recorded, and Kept the marks that keepers did record.
	Timed   bool              `cbor:"3,keyasint,omitempty"`
	Opening Opening           `cbor:"4,keyasint"`
	Kept    map[string]Tokens `cbor:"5,keyasint,omitempty"`
}

// ByTime is the evidence of a holder that can have lived for a time without an
// answer. kept is what its keepers say, where their words are enough.
func (o Options) ByTime(silent time.Duration, kept map[string]Tokens, v Assessment) Evidence {
	if v != Settled {
		return Evidence{Timed: true, Opening: o.Opening(silent)}
	}
	return Evidence{Timed: true, Opening: o.Opening(silent - o.KeeperLead), Kept: kept}
}

// bill is the most that the holder of a row can have spent.
func (e Evidence) bill(r *Allocation, customer string) Tokens {
	most := r.Granted
	if e.Witnessed {
		most = min(most, max(r.InitialLimit, r.Used, e.Raised[customer]))
	}
	if e.Timed {
		most = min(most, max(e.Opening.limit(r.InitialLimit, r.CutoffLimit, r.Granted), r.Used, e.Kept[customer]))
	}
	return most
}
