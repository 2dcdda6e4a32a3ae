package sched

import (
	"encoding/binary"
	"time"
)

// Notice tells other nodes that a prompt went to an upstream, so that they share
// one view of the engines' work and caches. It may be lost.
type Notice struct {
	// Upstream is the hash of the upstream's id.
	Upstream uint64
	// Uncached are the tokens that the upstream is believed to have to read.
	Uncached int
	Parts    []PartKey
}

// maxNoticeParts bounds the parts of one notice.
const maxNoticeParts = 64

// Append adds the notice's encoding.
func (n Notice) Append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(b, n.Upstream)
	b = binary.AppendUvarint(b, uint64(n.Uncached))
	b = binary.AppendUvarint(b, uint64(len(n.Parts)))
	for _, p := range n.Parts {
		b = binary.LittleEndian.AppendUint64(b, p.Key)
		b = binary.AppendUvarint(b, uint64(p.Tokens))
	}
	return b
}

// ParseNotice reads a notice; ok is false if it is damaged.
func ParseNotice(b []byte) (n Notice, ok bool) {
	r := reader{b: b}
	n.Upstream = r.fixed()
	n.Uncached = r.count()
	parts := r.count()
	if r.bad || parts > maxNoticeParts {
		return Notice{}, false
	}
	for range parts {
		n.Parts = append(n.Parts, PartKey{Key: r.fixed(), Tokens: r.count()})
	}
	return n, !r.bad
}

// reader takes numbers off the front of a message.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) fixed() uint64 {
	if len(r.b) < 8 {
		r.bad = true
		return 0
	}
	v := binary.LittleEndian.Uint64(r.b)
	r.b = r.b[8:]
	return v
}

// maxCount bounds numbers of tokens.
const maxCount = 1 << 30

func (r *reader) count() int {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > maxCount {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return int(v)
}

// OnNotice takes in another node's notice.
func (b *Balancer) OnNotice(now time.Time, n Notice) {
	if t, ok := b.byHash[n.Upstream]; ok {
		t.sent(now, n.Parts, n.Uncached)
	}
}
