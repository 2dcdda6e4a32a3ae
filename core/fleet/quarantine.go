package fleet

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxQuarantines limits the quarantines that a node keeps. Those that end first are dropped.
const MaxQuarantines = 256

// Quarantine names prompt parts that crash every engine which begins to respond to a
// prompt with all of them. Such prompts are rejected while it lasts.
type Quarantine struct {
	// Parts are the keys of the parts in ascending order.
	Parts []uint64 `cbor:"parts"`
	// Round increases each time that the quarantine of these parts begins again or is
	// lifted.
	Round uint64 `cbor:"round"`
	// Lifted is set if a prompt with these parts was answered after all.
	Lifted bool `cbor:"lifted"`
	// Left is the time until the quarantine ends, as of when the record was sent or
	// written.
	Left time.Duration `cbor:"left"`
}

// Key identifies the set of parts.
func (q Quarantine) Key() uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	for _, p := range q.Parts {
		binary.LittleEndian.PutUint64(b[:], p)
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// Newer reports whether q replaces r. In the same round, two nodes may have begun and
// lifted the quarantine concurrently; it then holds.
func (q Quarantine) Newer(r Quarantine) bool {
	if q.Round != r.Round {
		return q.Round > r.Round
	}
	return r.Lifted && !q.Lifted
}
