package poison

import (
	"maps"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Limits of a Detector.
const (
	// quarantineTime is how long a quarantine lasts. After it, one more crash begins it
	// again.
	quarantineTime = 10 * time.Minute
	// liftedTime is how long a lifted quarantine is remembered.
	liftedTime = time.Minute
	// maxSuspects limits the suspects. The one that was counted longest ago is dropped.
	maxSuspects = 1024
)

// Detector is one node's view of the parts that crash engines.
type Detector struct {
	suspects    map[uint64]*suspect
	quarantines map[uint64]*quarantine
}

// quarantine is a record with the time at which it ends.
type quarantine struct {
	fleet.Quarantine
	until time.Time
	// ended is set once its parts are suspects again.
	ended bool
}

// NewDetector returns a detector without reports.
func NewDetector() *Detector {
	return &Detector{suspects: map[uint64]*suspect{}, quarantines: map[uint64]*quarantine{}}
}

// Quarantined reports whether a prompt with these parts is to be rejected, and for how
// long.
func (d *Detector) Quarantined(now time.Time, parts []uint64) (left time.Duration, ok bool) {
	for _, q := range d.quarantines {
		if q.holds(now) && containsAll(parts, q.Parts) {
			left, ok = max(left, q.until.Sub(now)), true
		}
	}
	return left, ok
}

func (q *quarantine) holds(now time.Time) bool { return !q.Lifted && now.Before(q.until) }

// containsAll reports whether parts contains every part of set.
func containsAll(parts, set []uint64) bool {
	for _, p := range set {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return len(set) > 0
}

// Tracks reports whether an answer to a prompt with these parts changes anything here or
// at other nodes, so that it is to be reported.
func (d *Detector) Tracks(now time.Time, parts []uint64) bool {
	for _, p := range parts {
		if _, ok := d.suspects[p]; ok {
			return true
		}
	}
	for _, q := range d.quarantines {
		if q.holds(now) && containsAll(parts, q.Parts) {
			return true
		}
	}
	return false
}

// Report applies a report of this or another node. It returns the quarantines that begin
// or are lifted because of it, which are to be replicated.
func (d *Detector) Report(now time.Time, r Report) []fleet.Quarantine {
	d.expire(now)
	r.Parts = r.Parts[:min(len(r.Parts), maxParts)]
	if r.Kind == Answered {
		return d.answered(now, r.Parts)
	}
	return d.crashed(now, r)
}

func (d *Detector) crashed(now time.Time, r Report) []fleet.Quarantine {
	for _, p := range r.Parts {
		s, ok := d.suspects[p]
		if !ok {
			d.makeRoom()
			s = &suspect{}
			d.suspects[p] = s
		}
		s.count(now, r, p)
	}
	var out []fleet.Quarantine
	for _, p := range r.Parts {
		s := d.suspects[p]
		if s == nil || s.score < threshold {
			continue
		}
		set := s.set(p)
		if _, ok := d.Quarantined(now, set); ok {
			continue
		}
		out = append(out, d.begin(now, set))
	}
	return out
}

// makeRoom drops the suspect that was counted longest ago if there are too many.
func (d *Detector) makeRoom() {
	if len(d.suspects) < maxSuspects {
		return
	}
	var oldest uint64
	var at time.Time
	for p, s := range d.suspects {
		if at.IsZero() || s.countedAt.Before(at) {
			oldest, at = p, s.countedAt
		}
	}
	delete(d.suspects, oldest)
}

// begin quarantines a set of parts.
func (d *Detector) begin(now time.Time, parts []uint64) fleet.Quarantine {
	q := fleet.Quarantine{Parts: parts, Left: quarantineTime}
	q.Round = d.nextRound(q.Key())
	d.put(now, q)
	return q
}

func (d *Detector) nextRound(key uint64) uint64 {
	if old, ok := d.quarantines[key]; ok {
		return old.Round + 1
	}
	return 1
}

func (d *Detector) answered(now time.Time, parts []uint64) []fleet.Quarantine {
	for _, p := range parts {
		s, ok := d.suspects[p]
		if !ok {
			continue
		}
		d.acquit(p)
		s.score -= answeredWeight
		if s.score <= 0 {
			delete(d.suspects, p)
		}
	}
	var out []fleet.Quarantine
	for _, q := range d.quarantines {
		if q.holds(now) && containsAll(parts, q.Parts) {
			lifted := fleet.Quarantine{Parts: q.Parts, Round: q.Round + 1, Lifted: true, Left: liftedTime}
			d.put(now, lifted)
			out = append(out, lifted)
		}
	}
	return out
}

// acquit removes a part that was answered from the possible causes of other suspects'
// crashes.
func (d *Detector) acquit(part uint64) {
	for _, s := range d.suspects {
		s.others.remove(part)
	}
}

// Merge applies a quarantine that another node began or lifted. It reports whether it
// changed anything.
func (d *Detector) Merge(now time.Time, q fleet.Quarantine) bool {
	if len(q.Parts) == 0 || q.Left <= 0 {
		return false
	}
	old, ok := d.quarantines[q.Key()]
	if ok && now.Before(old.until) && !q.Newer(old.Quarantine) {
		return false
	}
	d.put(now, q)
	return true
}

// put stores a quarantine, in place of the one that ends first if there are too many.
func (d *Detector) put(now time.Time, q fleet.Quarantine) {
	key := q.Key()
	if _, ok := d.quarantines[key]; !ok && len(d.quarantines) >= fleet.MaxQuarantines {
		first := slices.MinFunc(slices.Collect(maps.Keys(d.quarantines)), func(a, b uint64) int {
			return d.quarantines[a].until.Compare(d.quarantines[b].until)
		})
		delete(d.quarantines, first)
	}
	d.quarantines[key] = &quarantine{Quarantine: q, until: now.Add(q.Left)}
}

// expire forgets old suspects and quarantines. The parts of a quarantine that has ended
// stay under suspicion: one more crash begins it again.
func (d *Detector) expire(now time.Time) {
	for p, s := range d.suspects {
		if now.Sub(s.countedAt) >= suspectTTL {
			delete(d.suspects, p)
		}
	}
	for key, q := range d.quarantines {
		switch {
		case now.Before(q.until):
		case q.Lifted || now.Sub(q.until) >= suspectTTL:
			delete(d.quarantines, key)
		case !q.ended:
			q.ended = true
			d.suspectAgain(now, q.Parts)
		}
	}
}

// suspectAgain makes the parts of a quarantine that has ended suspects that lack one crash
// to the threshold.
func (d *Detector) suspectAgain(now time.Time, parts []uint64) {
	for _, p := range parts {
		d.makeRoom()
		s := &suspect{score: threshold - brokenWeight, broken: true, countedAt: now}
		s.others = others{parts: without(parts, p), crashes: 1}
		d.suspects[p] = s
	}
}
