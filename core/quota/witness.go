package quota

import (
	"maps"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Witness records how far other holders have raised their watermarks while the control
// group did not reply. A witness in memory loses its records when its process ends: the
// restarted node has a new id, and no statement names it as a witness yet. A keeper is a
// witness whose records are on disk; its id belongs to the data folder.
type Witness struct {
	self   fleet.NodeID
	raised map[fleet.NodeID]*record
	fenced map[fleet.NodeID]struct{}
}

// record is the latest raise of one holder.
type record struct {
	heard uint64
	marks map[string]Tokens
}

// NewWitness returns a witness without records.
func NewWitness(self fleet.NodeID) *Witness {
	return &Witness{self: self, raised: map[fleet.NodeID]*record{}, fenced: map[fleet.NodeID]struct{}{}}
}

// Raise is a holder's request to record what it may spend without a reply of the control
// group.
type Raise struct {
	Witness fleet.NodeID
	Holder  fleet.NodeID
	// Heard is the Seq of the holder's latest statement that got a reply.
	Heard uint64
	// Marks holds the watermarks: the total that may be spent, by customer. The spending
	// of other customers stays within the initial limit that the ledger confirmed.
	Marks map[string]Tokens
}

// Raise records a holder's watermarks. It returns false if it refuses to, for example
// because the holder is fenced.
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

// mergeMarks raises the watermarks of dst to those of src.
func mergeMarks(dst, src map[string]Tokens) {
	for c, n := range src {
		dst[c] = max(dst[c], n)
	}
}

// Raises returns the latest raise of each holder.
func (w *Witness) Raises() []Raise {
	var out []Raise
	for _, id := range slices.Sorted(maps.Keys(w.raised)) {
		r := w.raised[id]
		out = append(out, Raise{Witness: w.self, Holder: id, Heard: r.heard, Marks: maps.Clone(r.marks)})
	}
	return out
}

// Forget deletes the raises of holders that the ledger has ended.
func (w *Witness) Forget(ended func(fleet.NodeID) bool) {
	for id := range w.raised {
		if ended(id) {
			delete(w.raised, id)
		}
	}
}

// WitnessReport is a witness's reply on a holder that may have ended.
type WitnessReport struct {
	// Valid is false if the node or disk asked is not the witness that was named, for
	// example because the node has restarted: its records are lost.
	Valid bool
	// Heard and Marks come from the holder's latest raise. Heard is 0 if there was none.
	Heard uint64
	Marks map[string]Tokens
}

// Fence refuses further raises of a holder and reports the earlier ones.
func (w *Witness) Fence(witness, holder fleet.NodeID) WitnessReport {
	if witness == w.self {
		w.fenced[holder] = struct{}{}
	}
	return w.Peek(witness, holder)
}

// Peek reports the raises of a holder.
func (w *Witness) Peek(witness, holder fleet.NodeID) WitnessReport {
	if witness != w.self {
		return WitnessReport{}
	}
	report := WitnessReport{Valid: true}
	if r, ok := w.raised[holder]; ok {
		report.Heard, report.Marks = r.heard, maps.Clone(r.marks)
	}
	return report
}

// Assessment says whether the reports of its witnesses bound what a holder has spent.
type Assessment uint8

// The assessments.
const (
	// Pending means that a witness that may know of more raises has not reported.
	Pending Assessment = iota
	// Settled means that no raise of the holder is missing from the reports.
	Settled
	// Unproven means that too many witnesses have lost their records, or there were none.
	Unproven
)

// RaiseQuorum returns the number of witnesses, of n, that must have recorded a raise
// before it is used: half of them, so that one slow or dead witness does not prevent it.
func RaiseQuorum(n int) int { return (n + 1) / 2 }

// settleQuorum returns the number of witnesses, of n, whose reports are enough: any set of
// that size includes, for each raise that was used, a witness that recorded it.
func settleQuorum(n int) int { return n - RaiseQuorum(n) + 1 }

// Assess evaluates the reports of a holder's witnesses. raised holds the highest
// watermarks that the holder may have used since its latest statement.
func (h HolderState) Assess(reports []WitnessReport) (raised map[string]Tokens, a Assessment) {
	return assess(reports, h.Heard, len(h.Witnesses))
}

// AssessKeepers evaluates the reports of a holder's keepers in the same way. Some of their
// disks may be lost.
func (h HolderState) AssessKeepers(reports []WitnessReport) (kept map[string]Tokens, a Assessment) {
	return assess(reports, h.Heard, len(h.Keepers))
}

// assess evaluates the reports of n witnesses on raises since the statement heard.
func assess(reports []WitnessReport, heard uint64, n int) (raised map[string]Tokens, a Assessment) {
	raised = map[string]Tokens{}
	valid, lost := 0, 0
	for _, r := range reports {
		if !r.Valid {
			lost++
			continue
		}
		valid++
		if r.Heard >= heard {
			mergeMarks(raised, r.Marks)
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

// Evidence bounds what an ended holder can have spent. Without evidence, the holder is
// billed all that it was granted.
type Evidence struct {
	// Witnessed is set if the reports of the witnesses are enough. Raised then holds the
	// watermarks that they recorded.
	Witnessed bool              `cbor:"1,keyasint,omitempty"`
	Raised    map[string]Tokens `cbor:"2,keyasint,omitempty"`
	// Timed is set if it is known how long the holder can have run without a reply.
	// Opening then holds the most that was open to a holder whose raises no keeper has
	// recorded, and Kept the watermarks that keepers did record.
	Timed   bool              `cbor:"3,keyasint,omitempty"`
	Opening Opening           `cbor:"4,keyasint"`
	Kept    map[string]Tokens `cbor:"5,keyasint,omitempty"`
}

// ByTime returns the evidence on a holder that can have run for the elapsed time without
// a reply. kept holds what its keepers have recorded, if their reports are enough.
func (o Options) ByTime(elapsed time.Duration, kept map[string]Tokens, a Assessment) Evidence {
	if a != Settled {
		return Evidence{Timed: true, Opening: o.Opening(elapsed)}
	}
	return Evidence{Timed: true, Opening: o.Opening(elapsed - o.KeeperLead), Kept: kept}
}

// bill returns the most that a holder can have spent of an allocation.
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
