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
	// closed is set once nothing more is recorded.
	closed bool
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
	if _, ok := w.fenced[r.Holder]; ok || w.closed || r.Witness != w.self {
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
	// Age is how long the process that replied has run, by a clock that may be slow but not
	// fast. If Valid is false, the witness that was named had ended by then.
	Age time.Duration
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

// Assess evaluates the reports of a holder's witnesses, those that the ledger has not
// got. raised holds the highest watermarks that the holder may have used since its latest
// statement.
func (h HolderState) Assess(reports []WitnessReport) (raised map[string]Tokens, a Assessment) {
	return assess(h.withTestimony(reports), h.Heard, len(h.Witnesses))
}

// Raised returns the highest watermarks in the reports that the holder may have used since its
// latest statement, also if reports are missing.
func (h HolderState) Raised(reports []WitnessReport) map[string]Tokens {
	raised := map[string]Tokens{}
	for _, r := range h.withTestimony(reports) {
		if r.Valid && r.Heard >= h.Heard {
			mergeMarks(raised, r.Marks)
		}
	}
	return raised
}

// Fenced reports whether the holder can record no further raise, although its witnesses' reports
// do not show all earlier ones. Witnesses that have restarted refuse its raises, and those that
// report must have been asked to refuse them. since is how long ago, at least, the last raise that
// is missing from the reports was requested, and raised holds the highest watermarks in the
// reports.
func (h HolderState) Fenced(reports []WitnessReport) (since time.Duration, raised map[string]Tokens, fenced bool) {
	n := len(h.Witnesses)
	needed := RaiseQuorum(n)
	silent := n - len(h.withTestimony(reports))
	if n == 0 || silent >= needed {
		return 0, nil, false
	}
	// A raise that no report shows was recorded by witnesses that have ended, or are silent.
	unknown := make([]time.Duration, silent, n)
	for _, r := range reports {
		if !r.Valid {
			unknown = append(unknown, max(r.Age, 0))
		}
	}
	if len(unknown) < needed {
		return 0, nil, false // the reports show all raises, see Assess
	}
	slices.Sort(unknown)
	return unknown[needed-1], h.Raised(reports), true
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
	// Timed is set if it is known for how long the holder can have run without a reply, or can
	// have requested raises. Opening then holds the most that was open to it by then if no
	// record is known, and Kept the watermarks in the records that are known.
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

// ByFence returns the evidence on a holder that was fenced when it had no reply for the elapsed
// time. It may still spend what it had raised by then, so what keepers have recorded is no bound.
func (o Options) ByFence(elapsed time.Duration, raised map[string]Tokens) Evidence {
	return Evidence{Timed: true, Opening: o.Opening(elapsed), Kept: raised}
}

// bill returns the most that a holder can have spent of an allocation.
func (e Evidence) bill(r *Allocation, customer string) Tokens {
	most := r.Granted
	if e.Witnessed {
		most = min(most, max(r.InitialLimit, r.begun(), e.Raised[customer]))
	}
	if e.Timed {
		most = min(most, max(e.Opening.limit(r.InitialLimit, r.CutoffLimit, r.Granted), r.begun(), e.Kept[customer]))
	}
	return most
}
