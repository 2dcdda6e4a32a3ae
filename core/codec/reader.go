package codec

import "encoding/binary"

// MaxCount is the largest number that Reader.Count accepts.
const MaxCount = 1 << 30

// Reader decodes numbers from the front of a datagram. After the first malformed number it
// returns zeros.
type Reader struct {
	b         []byte
	malformed bool
}

// NewReader returns a reader of b.
func NewReader(b []byte) *Reader { return &Reader{b: b} }

// OK reports whether all numbers so far were well formed.
func (r *Reader) OK() bool { return !r.malformed }

// Fixed decodes a little-endian number of 8 bytes.
func (r *Reader) Fixed() uint64 {
	if len(r.b) < 8 {
		r.malformed = true
		return 0
	}
	v := binary.LittleEndian.Uint64(r.b)
	r.b = r.b[8:]
	return v
}

// Count decodes an unsigned varint of at most MaxCount.
func (r *Reader) Count() int {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > MaxCount {
		r.malformed = true
		return 0
	}
	r.b = r.b[n:]
	return int(v)
}
