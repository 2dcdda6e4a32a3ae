package sched

import (
	"encoding/binary"
	"time"

	"dotterelgap/core/codec"
)

// Update tells other nodes that a prompt was placed on an upstream, or that an upstream
// failed, so that all nodes have a similar view of the upstreams' load, caches and
// health. It is sent as a datagram and may be lost.
type Update struct {
	// Upstream is the hash of the upstream's id.
	Upstream uint64
	// Failed is set if a request failed at the upstream; the fields below are then empty.
	Failed bool
	// Uncached is the estimated number of tokens that the upstream has to prefill.
	Uncached int
	Parts    []PartKey
}

// The kinds of updates in their encoding.
const (
	kindPlacement uint8 = iota + 1
	kindFailure
)

// maxUpdateParts is the maximum number of parts in one update.
const maxUpdateParts = 64

// Append appends the encoding of the update to b.
func (u Update) Append(b []byte) []byte {
	kind := kindPlacement
	if u.Failed {
		kind = kindFailure
	}
	b = append(b, kind)
	b = binary.LittleEndian.AppendUint64(b, u.Upstream)
	if u.Failed {
		return b
	}
	b = binary.AppendUvarint(b, uint64(u.Uncached))
	b = binary.AppendUvarint(b, uint64(len(u.Parts)))
	for _, p := range u.Parts {
		b = binary.LittleEndian.AppendUint64(b, p.Key)
		b = binary.AppendUvarint(b, uint64(p.Tokens))
	}
	return b
}

// ParseUpdate decodes an update; ok is false if b is malformed.
func ParseUpdate(b []byte) (u Update, ok bool) {
	if len(b) == 0 || b[0] != kindPlacement && b[0] != kindFailure {
		return Update{}, false
	}
	r := codec.NewReader(b[1:])
	u.Upstream = r.Fixed()
	if b[0] == kindFailure {
		u.Failed = true
		return u, r.OK()
	}
	u.Uncached = r.Count()
	parts := r.Count()
	if !r.OK() || parts > maxUpdateParts {
		return Update{}, false
	}
	for range parts {
		u.Parts = append(u.Parts, PartKey{Key: r.Fixed(), Tokens: r.Count()})
	}
	return u, r.OK()
}

// OnUpdate applies an update from another node.
func (b *Balancer) OnUpdate(now time.Time, u Update) {
	t, ok := b.byHash[u.Upstream]
	switch {
	case !ok:
	case u.Failed:
		b.recordFailure(now, t, reportedFailure)
	default:
		t.recordPlacement(now, u.Parts, u.Uncached)
	}
}
