package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous orders nodes for a key by rendezvous hashing, highest weight first. All
// processes that know the same nodes compute the same order.
func Rendezvous(key string, ids []NodeID) []NodeID {
	type scored struct {
		id    NodeID
		score uint64
	}
	ranked := make([]scored, 0, len(ids))
	for _, id := range ids {
		ranked = append(ranked, scored{id: id, score: weight(key, id)})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]NodeID, 0, len(ranked))
	for _, s := range ranked {
		out = append(out, s.id)
	}
	return out
}

func weight(key string, id NodeID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
