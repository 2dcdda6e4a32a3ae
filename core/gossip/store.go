package gossip

import (
	"cmp"
	"slices"

	"dotterelgap/core/fleet"
)

// Record is a piece of soft state. The newer one of two replaces the other.
type Record[V any] interface {
	Newer(than V) bool
}

// entry is a record with what is needed to pass it on.
type entry[V any] struct {
	value V
	stamp uint64
	// from is the node that it was learned from; it is not sent back there.
	from fleet.NodeID
}

// Store keeps the newest record of each key. Each change gets a stamp, so that
// a partner can be sent what changed since its last stamp.
type Store[K cmp.Ordered, V Record[V]] struct {
	clock   *uint64
	entries map[K]entry[V]
}

func newStore[K cmp.Ordered, V Record[V]](clock *uint64) *Store[K, V] {
	return &Store[K, V]{clock: clock, entries: map[K]entry[V]{}}
}

// Put takes in a record and tells whether it was newer than the one held.
func (s *Store[K, V]) Put(k K, v V, from fleet.NodeID) bool {
	old, ok := s.entries[k]
	if ok && !v.Newer(old.value) {
		return false
	}
	*s.clock++
	s.entries[k] = entry[V]{value: v, stamp: *s.clock, from: from}
	return true
}

// Get returns the record of a key.
func (s *Store[K, V]) Get(k K) (V, bool) {
	e, ok := s.entries[k]
	return e.value, ok
}

// Delete drops a key. Nothing is told to others.
func (s *Store[K, V]) Delete(k K) {
	delete(s.entries, k)
}

// Since lists the records that changed after a stamp and were not learned from
// the node that they are meant for, in the order of their keys.
func (s *Store[K, V]) Since(stamp uint64, to fleet.NodeID) []V {
	var keys []K
	for k, e := range s.entries {
		if e.stamp > stamp && (e.from != to || to == "") {
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

// All lists all records in the order of their keys.
func (s *Store[K, V]) All() []V {
	return s.Since(0, "")
}
