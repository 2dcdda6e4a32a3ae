package gossip

import (
	"cmp"
	"slices"

	"dotterelgap/core/fleet"
)

// Record is a piece of soft state. Of two records with the same key, the newer one is kept.
type Record[V any] interface {
	Newer(than V) bool
}

// entry is a record with the data needed to replicate it.
type entry[V any] struct {
	value V
	// stamp is that of the latest change, changed that of the latest change which is
	// replicated as a whole record.
	stamp, changed uint64
	// source is the node that sent the record. The record is not sent back to it.
	source fleet.NodeID
}

// Store keeps the newest record of each key. Each change gets a stamp, so that a partner
// receives only the changes after the last stamp that it acknowledged.
type Store[K cmp.Ordered, V Record[V]] struct {
	clock   *uint64
	entries map[K]entry[V]
}

func newStore[K cmp.Ordered, V Record[V]](clock *uint64) *Store[K, V] {
	return &Store[K, V]{clock: clock, entries: map[K]entry[V]{}}
}

// Put stores a record if it is newer than the current one, and reports whether it did.
func (s *Store[K, V]) Put(k K, v V, source fleet.NodeID) bool {
	old, ok := s.entries[k]
	if ok && !v.Newer(old.value) {
		return false
	}
	*s.clock++
	s.entries[k] = entry[V]{value: v, stamp: *s.clock, changed: *s.clock, source: source}
	return true
}

// Touch replaces a known record by a newer one of which only a counter has changed, and
// reports whether it did. Partners that have the earlier record receive the counter only.
func (s *Store[K, V]) Touch(k K, v V, source fleet.NodeID) bool {
	e, ok := s.entries[k]
	if !ok || !v.Newer(e.value) {
		return false
	}
	*s.clock++
	e.value, e.stamp, e.source = v, *s.clock, source
	s.entries[k] = e
	return true
}

// Refresh replaces a known record by a newer one without replicating it, and reports whether
// it did.
func (s *Store[K, V]) Refresh(k K, v V) bool {
	e, ok := s.entries[k]
	if !ok || !v.Newer(e.value) {
		return false
	}
	e.value = v
	s.entries[k] = e
	return true
}

// Get returns the record of a key.
func (s *Store[K, V]) Get(k K) (V, bool) {
	e, ok := s.entries[k]
	return e.value, ok
}

// Delete removes a key. The deletion is not replicated.
func (s *Store[K, V]) Delete(k K) {
	delete(s.entries, k)
}

// Since returns the records that changed after a stamp, sorted by key, without those that
// were received from the node to, if it is set.
func (s *Store[K, V]) Since(stamp uint64, to fleet.NodeID) []V {
	return s.selected(func(e entry[V]) bool { return e.changed > stamp && !e.from(to) })
}

// TouchedSince returns the records of which only a counter changed after a stamp, sorted by
// key, without those that were received from the node to, if it is set.
func (s *Store[K, V]) TouchedSince(stamp uint64, to fleet.NodeID) []V {
	return s.selected(func(e entry[V]) bool { return e.stamp > stamp && e.changed <= stamp && !e.from(to) })
}

// All returns all records, sorted by key.
func (s *Store[K, V]) All() []V {
	return s.selected(func(entry[V]) bool { return true })
}

func (s *Store[K, V]) selected(is func(entry[V]) bool) []V {
	var keys []K
	for k, e := range s.entries {
		if is(e) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	out := make([]V, 0, len(keys))
	for _, k := range keys {
		out = append(out, s.entries[k].value)
	}
	return out
}

// from reports whether the record was received from a node.
func (e entry[V]) from(id fleet.NodeID) bool { return id != "" && e.source == id }
