package disk

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"time"

	"dotterelgap/core/codec"
	"dotterelgap/core/raft"
)

// headerSize is the size of a record's length and checksum, in bytes.
const headerSize = 8

// maxRecord limits the size of a record, in bytes.
const maxRecord = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one batch of entries, which is synced as a whole.
type record struct {
	State   *raft.State  `cbor:"1,keyasint,omitempty"`
	Entries []raft.Entry `cbor:"2,keyasint,omitempty"`
	// At is the time of day at which the first entry of the batch reached the host.
	At time.Time `cbor:"3,keyasint"`
	// Written is set in the first record of a compacted log. It contains the write times
	// of the last entries of recent terms, including entries that were compacted.
	Written map[uint64]raft.Written `cbor:"4,keyasint,omitempty"`
}

// frame returns a payload with its length and checksum.
func frame(payload []byte) []byte {
	out := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(out, uint32(len(payload)))
	out = append(out, payload...)
	binary.LittleEndian.PutUint32(out[4:], checksum(out))
	return out
}

// checksum returns the checksum of the length and the payload of a framed record.
func checksum(framed []byte) uint32 {
	sum := crc32.Checksum(framed[:4], castagnoli)
	return crc32.Update(sum, castagnoli, framed[headerSize:])
}

// unframe returns the payload and the size of the record at the start of data. ok is
// false if data does not start with a valid record.
func unframe(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerSize {
		return nil, 0, false
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n == 0 || n > maxRecord || n > len(data)-headerSize {
		return nil, 0, false
	}
	size = headerSize + n
	if checksum(data[:size]) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, false
	}
	return data[headerSize:size], size, true
}

// scan calls fn with each record up to the end or the first invalid one, and returns the
// offset at which it stopped.
func scan(data []byte, fn func(record) error) (int, error) {
	at := 0
	for at < len(data) {
		payload, size, ok := unframe(data[at:])
		if !ok {
			return at, nil
		}
		var r record
		if err := codec.Unmarshal(payload, &r); err != nil {
			return at, err
		}
		if err := fn(r); err != nil {
			return at, err
		}
		at += size
	}
	return at, nil
}

// hasRecordAfter reports whether a valid record starts anywhere after an offset.
func hasRecordAfter(data []byte, at int) bool {
	for i := at + 1; i+headerSize < len(data); i++ {
		if _, _, ok := unframe(data[i:]); ok {
			return true
		}
	}
	return false
}

func writeAll(f File, data []byte) error {
	n, err := f.Write(data)
	if err == nil && n < len(data) {
		return io.ErrShortWrite
	}
	return err
}
