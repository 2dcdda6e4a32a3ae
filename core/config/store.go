package config

import (
	"cmp"
	"maps"
	"slices"
)

// tombstoneVersions is the number of versions for which deleted items are kept. A follower
// that is further behind receives the full configuration.
const tombstoneVersions = 10_000

// Store is the configuration in force, with the newest version of every item. Each control
// host and each follower keeps one.
type Store struct {
	Version uint64 `cbor:"1,keyasint"`
	// Fingerprint is the digest of all items.
	Fingerprint uint64          `cbor:"2,keyasint"`
	Items       map[string]Item `cbor:"3,keyasint"`
	Deleted     map[string]Item `cbor:"4,keyasint"`
}

// NewStore returns an empty store at version 0.
func NewStore() *Store {
	return &Store{Items: map[string]Item{}, Deleted: map[string]Item{}}
}

// Values returns the items without their versions.
func (s *Store) Values() map[string][]byte {
	out := make(map[string][]byte, len(s.Items))
	for k, it := range s.Items {
		out[k] = it.Value
	}
	return out
}

// Apply applies a change as the next version.
func (s *Store) Apply(c Change) {
	s.Version++
	for _, k := range slices.Sorted(maps.Keys(c.Put)) {
		s.set(Item{Key: k, Value: c.Put[k], Version: s.Version})
	}
	for _, k := range c.Delete {
		s.set(Item{Key: k, Version: s.Version})
	}
	s.forgetDeleted()
}

func (s *Store) set(it Item) {
	if old, ok := s.Items[it.Key]; ok {
		s.Fingerprint -= fingerprintItem(it.Key, old.Value)
	}
	if it.Value == nil {
		delete(s.Items, it.Key)
		s.Deleted[it.Key] = it
		return
	}
	s.Fingerprint += fingerprintItem(it.Key, it.Value)
	s.Items[it.Key] = it
	delete(s.Deleted, it.Key)
}

func (s *Store) forgetDeleted() {
	if s.Version <= tombstoneVersions {
		return
	}
	oldest := s.Version - tombstoneVersions
	maps.DeleteFunc(s.Deleted, func(_ string, it Item) bool { return it.Version < oldest })
}

// Delta contains the changes between the versions From and Version.
type Delta struct {
	From    uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Full is set if Items contains the full configuration, which replaces the follower's.
	Full        bool   `cbor:"3,keyasint"`
	Items       []Item `cbor:"4,keyasint"`
	Fingerprint uint64 `cbor:"5,keyasint"`
}

// Since returns the changes after a version, or the full configuration if the version is 0 or
// too old.
func (s *Store) Since(version uint64) Delta {
	d := Delta{From: version, Version: s.Version, Fingerprint: s.Fingerprint}
	d.Full = version == 0 || version+tombstoneVersions < s.Version
	if d.Full {
		version = 0
	}
	for _, it := range s.Items {
		if it.Version > version {
			d.Items = append(d.Items, it)
		}
	}
	for _, it := range s.Deleted {
		if it.Version > version && !d.Full {
			d.Items = append(d.Items, it)
		}
	}
	slices.SortFunc(d.Items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return d
}

// Follow applies a delta and reports whether the store changed. It ignores a delta to a
// version that is not higher, and a delta from another version unless it is full.
func (s *Store) Follow(d Delta) (bool, error) {
	if d.Version <= s.Version || (!d.Full && d.From != s.Version) {
		return false, nil
	}
	next := s.clone()
	if d.Full {
		next = NewStore()
	}
	for _, it := range d.Items {
		next.set(it)
	}
	if next.Fingerprint != d.Fingerprint {
		return false, &FingerprintError{Version: d.Version}
	}
	next.Version = d.Version
	*s = *next
	return true, nil
}

func (s *Store) clone() *Store {
	c := *s
	c.Items = maps.Clone(s.Items)
	c.Deleted = maps.Clone(s.Deleted)
	return &c
}
