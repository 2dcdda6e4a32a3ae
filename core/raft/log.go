package raft

// defaultKeptEntries is the number of entries covered by the snapshot that stay in memory.
const defaultKeptEntries = 1024

// log is the latest snapshot, the entries after it, and some of the entries it covers.
type log struct {
	snapshot Snapshot
	// base and baseTerm are the index and term of the entry before the first in entries.
	base, baseTerm uint64
	entries        []Entry
	// keptEntries is the number of entries that stay in memory though the snapshot covers
	// them.
	keptEntries uint64
}

func newLog(s Snapshot, entries []Entry) log {
	return log{snapshot: s, base: s.Index, baseTerm: s.Term, entries: entries}
}

func (l *log) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index i, and false if the log does not hold it.
func (l *log) term(i uint64) (uint64, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// from returns a copy of at most limit entries, beginning at index i.
func (l *log) from(i uint64, limit int) []Entry {
	if i <= l.base || i > l.last() {
		return nil
	}
	rest := l.entries[i-l.base-1:]
	return append([]Entry(nil), rest[:min(limit, len(rest))]...)
}

func (l *log) truncate(from uint64) {
	if from > l.last() || from <= l.snapshot.Index {
		return
	}
	l.entries = l.entries[:from-l.base-1]
}

// compact sets the snapshot and drops the entries it covers, except for the last ones. If
// the log does not match the snapshot, all entries are dropped.
func (l *log) compact(s Snapshot) {
	if s.Index <= l.snapshot.Index {
		return
	}
	if t, ok := l.term(s.Index); !ok || t != s.Term {
		kept := l.keptEntries
		*l = newLog(s, nil)
		l.keptEntries = kept
		return
	}
	l.snapshot = s
	if s.Index < l.base+l.keptEntries {
		return
	}
	base := s.Index - l.keptEntries
	term, _ := l.term(base)
	l.entries = append([]Entry(nil), l.entries[base-l.base:]...)
	l.base, l.baseTerm = base, term
}

// members returns the latest membership in the log and its index. A membership is in
// force as soon as it is appended.
func (l *log) members() (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Members != nil {
			return *l.entries[i].Members, l.entries[i].Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}

// membersAt returns the membership in force at an index.
func (l *log) membersAt(index uint64) Membership {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Index <= index && l.entries[i].Members != nil {
			return *l.entries[i].Members
		}
	}
	return l.snapshot.Members
}
