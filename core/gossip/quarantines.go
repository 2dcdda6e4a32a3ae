package gossip

import (
	"time"

	"dotterelgap/core/fleet"
)

// quarantines replicates the quarantines of prompt parts. Each node counts the time that
// is left by its own clock, so the nodes' clocks need not agree.
type quarantines struct {
	store *Store[uint64, fleet.Quarantine]
	until map[uint64]time.Time
}

func newQuarantines(clock *uint64) quarantines {
	return quarantines{store: newStore[uint64, fleet.Quarantine](clock), until: map[uint64]time.Time{}}
}

// put stores a quarantine if it is newer than the known one, and reports whether it did.
func (s quarantines) put(now time.Time, q fleet.Quarantine, source fleet.NodeID) bool {
	if len(q.Parts) == 0 || q.Left <= 0 {
		return false
	}
	key := q.Key()
	if !s.store.Put(key, q, source) {
		return false
	}
	s.until[key] = now.Add(q.Left)
	if len(s.until) > fleet.MaxQuarantines {
		s.deleteFirst()
	}
	return true
}

// deleteFirst deletes the quarantine that ends first.
func (s quarantines) deleteFirst() {
	var first uint64
	var at time.Time
	for key, until := range s.until {
		if at.IsZero() || until.Before(at) {
			first, at = key, until
		}
	}
	s.delete(first)
}

func (s quarantines) delete(key uint64) {
	s.store.Delete(key)
	delete(s.until, key)
}

// expire deletes the quarantines that have ended.
func (s quarantines) expire(now time.Time) {
	for key, until := range s.until {
		if !now.Before(until) {
			s.delete(key)
		}
	}
}

// since returns the quarantines that changed after a stamp, with the time that is left.
func (s quarantines) since(now time.Time, stamp uint64, to fleet.NodeID) []fleet.Quarantine {
	out := s.store.Since(stamp, to)
	for i := range out {
		out[i].Left = s.until[out[i].Key()].Sub(now)
	}
	return out
}

// Quarantine records a quarantine that this node began or lifted. It is urgent.
func (m *Machine) Quarantine(now time.Time, q fleet.Quarantine) {
	if m.quarantines.put(now, q, "") {
		m.urgent = true
		m.version++
	}
}

// Quarantines returns the quarantines in force and those lifted lately.
func (m *Machine) Quarantines(now time.Time) []fleet.Quarantine {
	return m.quarantines.since(now, 0, "")
}
