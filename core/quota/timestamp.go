package quota

import (
	"slices"
	"time"
)

// Timestamp is a point on the clock of one leader of the control group. Only
// moments of the same leader and term can be compared.
type Timestamp struct {
	At   time.Time `cbor:"1,keyasint"`
	Term uint64    `cbor:"2,keyasint"`
	By   uint64    `cbor:"3,keyasint"`
}

// sameClock tells whether two moments can be compared.
func (m Timestamp) sameClock(o Timestamp) bool { return m.Term == o.Term && m.By == o.By }

// maxTerms is the number of terms whose last moment is kept.
const maxTerms = 8

// Tick notes a moment at which the ledger's leader was at work.
func (l *Ledger) Tick(m Timestamp) {
	if n := len(l.Clocks); n > 0 && l.Clocks[n-1].sameClock(m) {
		l.Clocks[n-1] = m
		return
	}
	l.Clocks = append(l.Clocks, m)
	l.Clocks = slices.Delete(l.Clocks, 0, max(len(l.Clocks)-maxTerms, 0))
}

// LastOf is the last moment of the leader that made m.
func (l *Ledger) LastOf(m Timestamp) (Timestamp, bool) {
	for _, c := range l.Clocks {
		if c.sameClock(m) {
			return c, true
		}
	}
	return Timestamp{}, false
}
