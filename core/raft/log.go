package raft

// log is the part of the log that follows the latest snapshot.
type log struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *log) last() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term at an index, if the index is not compacted or missing.
func (l *log) term(i uint64) (uint64, bool) {
	if i == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if i < l.snapshot.Index || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.snapshot.Index-1].Term, true
}

// from copies up to limit entries from an index on.
func (l *log) from(i uint64, limit int) []Entry {
	if i <= l.snapshot.Index || i > l.last() {
		return nil
	}
	rest := l.entries[i-l.snapshot.Index-1:]
	return append([]Entry(nil), rest[:min(limit, len(rest))]...)
}

func (l *log) truncate(from uint64) {
	if from > l.last() || from <= l.snapshot.Index {
		return
	}
	l.entries = l.entries[:from-l.snapshot.Index-1]
}

// compact drops the entries that a snapshot covers.
func (l *log) compact(s Snapshot) {
	if s.Index <= l.snapshot.Index {
		return
	}
	if t, ok := l.term(s.Index); ok && t == s.Term {
		l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	} else {
		l.entries = nil
	}
	l.snapshot = s
}

// members is the latest membership in the log; it counts once appended.
func (l *log) members() (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Members != nil {
			return *l.entries[i].Members, l.entries[i].Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}

// membersAt is the membership in force at an index.
func (l *log) membersAt(index uint64) Membership {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Index <= index && l.entries[i].Members != nil {
			return *l.entries[i].Members
		}
	}
	return l.snapshot.Members
}
