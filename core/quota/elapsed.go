package quota

import "time"

// Elapsed is a member's report on how long ago it wrote its last entry of a term, the
// one at Index.
type Elapsed struct {
	// Known is false if the member has not replied or has no record of the term.
	Known bool
	Since time.Duration
	Index uint64
	// Leader is set if the member was the leader in that term.
	Leader bool
}

// SinceEntry bounds the time since the entry at an index of a term was proposed, from
// the reports of a group's members. It uses the longest time reported by members that
// have the entry: the wall clock of one may have been set back, and a partitioned leader
// may have written more entries since. Members that lag don't know about the entry, but
// if too few have it, their reports are better than none. Without the term's leader, a
// majority must report, and slack is added: a leader that loses contact with the
// majority steps down within that time.
func SinceEntry(reports []Elapsed, index uint64, members int, slack time.Duration) (time.Duration, bool) {
	var all, have summary
	for _, r := range reports {
		if !r.Known {
			continue
		}
		all.add(r)
		if r.Index >= index {
			have.add(r)
		}
	}
	used := all
	if have.leader || have.n > members/2 {
		used = have
	}
	if !used.leader {
		used.longest += slack
	}
	return used.longest, all.leader || all.n > members/2
}

// summary aggregates reports.
type summary struct {
	n       int
	longest time.Duration
	leader  bool
}

func (s *summary) add(r Elapsed) {
	s.n++
	s.longest = max(s.longest, r.Since)
	s.leader = s.leader || r.Leader
}
