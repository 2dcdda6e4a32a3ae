package quota

import (
	"slices"
	"time"
)

// Timestamp is a time on the clock of one leader of the control group. Only timestamps
// of the same leader and term can be compared.
type Timestamp struct {
	At   time.Time `cbor:"1,keyasint"`
	Term uint64    `cbor:"2,keyasint"`
	By   uint64    `cbor:"3,keyasint"`
}

// sameClock reports whether two timestamps can be compared.
func (t Timestamp) sameClock(o Timestamp) bool { return t.Term == o.Term && t.By == o.By }

// maxTerms is the number of terms whose last timestamp is kept.
const maxTerms = 8

// Tick records a time at which the ledger's leader was active.
func (l *Ledger) Tick(t Timestamp) {
	if n := len(l.Clocks); n > 0 && l.Clocks[n-1].sameClock(t) {
		l.Clocks[n-1] = t
		return
	}
	l.Clocks = append(l.Clocks, t)
	l.Clocks = slices.Delete(l.Clocks, 0, max(len(l.Clocks)-maxTerms, 0))
}

// LastOf returns the last timestamp of the leader that made t.
func (l *Ledger) LastOf(t Timestamp) (Timestamp, bool) {
	for _, c := range l.Clocks {
		if c.sameClock(t) {
			return c, true
		}
	}
	return Timestamp{}, false
}
