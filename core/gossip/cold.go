package gossip

import (
	"time"

	"dotterelgap/core/fleet"
)

// coldTolerance is the time by which a heartbeat may say that an upstream stays cold for longer
// than earlier ones did, because it took longer on its way.
const coldTolerance = 300 * time.Millisecond

// setCold records how long an upstream says that it stays cold. The time is counted down by
// this node's clock.
func (m *Machine) setCold(now time.Time, u fleet.Upstream) {
	if u.Cold <= 0 {
		delete(m.coldUntil, u.Key())
		return
	}
	m.coldUntil[u.Key()] = now.Add(u.Cold)
}

// colder reports whether an upstream says that it stays cold for longer than is known.
func (m *Machine) colder(now time.Time, u fleet.Upstream) bool {
	return u.Cold > m.coldLeft(now, u.Key())+coldTolerance
}

// coldLeft returns how long an upstream stays cold.
func (m *Machine) coldLeft(now time.Time, key fleet.UpstreamKey) time.Duration {
	return max(m.coldUntil[key].Sub(now), 0)
}

// withColdLeft sets how long the upstreams in a list stay cold, since their heartbeats are older.
func (m *Machine) withColdLeft(now time.Time, list []fleet.Upstream) []fleet.Upstream {
	for i := range list {
		list[i].Cold = m.coldLeft(now, list[i].Key())
	}
	return list
}
