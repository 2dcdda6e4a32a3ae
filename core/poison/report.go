package poison

import (
	"encoding/binary"

	"dotterelgap/core/codec"
)

// Kind is what a node has seen of a request.
type Kind uint8

// The kinds of reports. Their values are part of the encoding and differ from the kinds of
// sched.Update.
const (
	// Answered means that a whole event or response of an engine arrived.
	Answered Kind = iota + 0x10
	// Unanswered means that the upstream closed the connection before its response began.
	Unanswered
	// Broken means that the upstream closed the connection after its response had begun
	// and before its first event was complete.
	Broken
)

// maxParts is the maximum number of parts in a report. Further parts are not considered.
const maxParts = 32

// Report is what a node tells the others about a request. It is sent as a datagram and may
// be lost.
type Report struct {
	Kind Kind
	// Upstream identifies the incarnation of the upstream; 0 if Kind is Answered.
	Upstream uint64
	// Parts are the keys of the prompt's parts, without the last one, which belongs to the
	// request itself.
	Parts []uint64
}

// Append appends the encoding of the report to b.
func (r Report) Append(b []byte) []byte {
	b = append(b, byte(r.Kind))
	b = binary.LittleEndian.AppendUint64(b, r.Upstream)
	parts := r.Parts[:min(len(r.Parts), maxParts)]
	b = binary.AppendUvarint(b, uint64(len(parts)))
	for _, p := range parts {
		b = binary.LittleEndian.AppendUint64(b, p)
	}
	return b
}

// ParseReport decodes a report; ok is false if b is not a report or malformed.
func ParseReport(b []byte) (r Report, ok bool) {
	if len(b) == 0 || Kind(b[0]) < Answered || Kind(b[0]) > Broken {
		return Report{}, false
	}
	rd := codec.NewReader(b[1:])
	r = Report{Kind: Kind(b[0]), Upstream: rd.Fixed()}
	n := rd.Count()
	if !rd.OK() || n > maxParts {
		return Report{}, false
	}
	for range n {
		r.Parts = append(r.Parts, rd.Fixed())
	}
	return r, rd.OK()
}
