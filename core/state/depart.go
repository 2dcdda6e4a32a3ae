package state

import (
	"time"

	"dotterelgap/core/codec"
	"dotterelgap/core/fleet"
)

// Bounds on the departures that are kept.
const (
	// keepDeparture is how long a departure is kept: longer than a heartbeat of the incarnation
	// can be on its way, a partition included.
	keepDeparture = 10 * time.Minute
	// maxDepartures is twice what 10,000 departures an hour leave, rounded up. Beyond it the
	// oldest is forgotten first.
	maxDepartures = 4096
)

// Departed is a departure with the time of the log at which it was recorded.
type Departed struct {
	fleet.Departure
	At time.Time `cbor:"at"`
}

// depart records a departure, unless one that covers it is known, and forgets old ones.
func (m *Machine) depart(now time.Time, d fleet.Departure) {
	for key, old := range m.Departures {
		if now.Sub(old.At) >= keepDeparture {
			delete(m.Departures, key)
		}
	}
	if m.Departures == nil {
		m.Departures = map[fleet.UpstreamKey]Departed{}
	}
	key := d.Key()
	if old, ok := m.Departures[key]; ok && old.Covers(d) {
		d = old.Departure
	}
	m.Departures[key] = Departed{Departure: d, At: now}
	if len(m.Departures) > maxDepartures {
		m.forgetOldestDeparture()
	}
}

// DepartureOf returns the departure that an entry of the log records, or nil. It decodes nothing else
// of the entry.
func DepartureOf(data []byte) (*fleet.Departure, error) {
	var c struct {
		Depart *fleet.Departure `cbor:"depart"`
	}
	err := codec.Unmarshal(data, &c)
	return c.Depart, err
}

func (m *Machine) forgetOldestDeparture() {
	var oldest fleet.UpstreamKey
	for key, d := range m.Departures {
		at := m.Departures[oldest].At
		if oldest == "" || d.At.Before(at) || d.At.Equal(at) && key < oldest {
			oldest = key
		}
	}
	delete(m.Departures, oldest)
}
