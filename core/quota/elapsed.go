package quota

import "time"

// Elapsed is a member's word on how long ago it wrote its last entry of a term, the one
// at Index.
type Elapsed struct {
	Known bool
	Since time.Duration
	Index uint64
	// Leader is set where the member led in that term.
	Leader bool
}

// SinceEntry bounds the time since the entry at an index of a term was proposed, by the
// words of a group's members. Of those that have it the longest counts: the time of day
// of one may have been set back, and one that led alone may have written more since.
// Members that lag say nothing of the entry, but where too few have it their word is
// better than none. Without the term's leader a majority must answer, and slack is
// added: a leader that they hear from later than that steps down.
func SinceEntry(words []Elapsed, index uint64, members int, slack time.Duration) (time.Duration, bool) {
	var all, have summary
	for _, w := range words {
		if !w.Known {
			continue
		}
		all.add(w)
		if w.Index >= index {
			have.add(w)
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

// summary is what some words come to.
type summary struct {
	n       int
	longest time.Duration
	leader  bool
}

func (s *summary) add(w Elapsed) {
	s.n++
	s.longest = max(s.longest, w.Since)
	s.leader = s.leader || w.Leader
}
