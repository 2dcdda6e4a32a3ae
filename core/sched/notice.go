package sched

import (
	"encoding/binary"
	"time"
)

// Notice tells other nodes that a prompt went to an upstream, or that an upstream
// failed, so that they share one view of the upstreams' work, caches and health. It may
// be lost.
type Notice struct {
	// Upstream is the hash of the upstream's id.
	Upstream uint64
	// Failed is set where a request failed at the upstream; all below is empty then.
	Failed bool
	// Uncached are the tokens that the upstream is believed to have to read.
	Uncached int
	Parts    []PartKey
}

// The kinds of notices in their encoding.
const (
	noticeSent uint8 = iota + 1
	noticeFailed
)

// maxNoticeParts bounds the parts of one notice.
const maxNoticeParts = 64

// Append adds the notice's encoding.
func (n Notice) Append(b []byte) []byte {
	kind := noticeSent
	if n.Failed {
		kind = noticeFailed
	}
	b = append(b, kind)
	b = binary.LittleEndian.AppendUint64(b, n.Upstream)
	if n.Failed {
		return b
	}
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
	if len(b) == 0 || b[0] != noticeSent && b[0] != noticeFailed {
		return Notice{}, false
	}
	r := reader{b: b[1:]}
	n.Upstream = r.fixed()
	if b[0] == noticeFailed {
		n.Failed = true
		return n, !r.bad
	}
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
	t, ok := b.byHash[n.Upstream]
	switch {
	case !ok:
	case n.Failed:
		b.strike(now, t, toldStrike)
	default:
		t.sent(now, n.Parts, n.Uncached)
	}
}
