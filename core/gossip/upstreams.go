package gossip

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// RecordHeartbeat records a heartbeat or leave message that an upstream sent to this node. A
// new upstream, a changed state, incarnation or address, and one that has become cold are urgent.
func (m *Machine) RecordHeartbeat(now time.Time, u fleet.Upstream) {
	old, known := m.upstreams.Get(u.Key())
	colder := m.colder(now, u)
	if !m.putUpstream(now, u, "") {
		return
	}
	if !known || old.State != u.State || !old.Born.Equal(u.Born) || old.Addr != u.Addr || colder {
		m.urgent = true
	}
}

// Drain records that an incarnation of an upstream said to this node that it is about to shut
// down, unless another incarnation has replaced it. It is urgent.
func (m *Machine) Drain(now time.Time, u fleet.Upstream) {
	known, ok := m.upstreams.Get(u.Key())
	if !ok || !known.Born.Equal(u.Born) || known.State != fleet.UpstreamReady {
		return
	}
	known.State = fleet.UpstreamDraining
	m.RecordHeartbeat(now, known)
}

func (m *Machine) putUpstream(now time.Time, u fleet.Upstream, source fleet.NodeID) bool {
	key := u.Key()
	old, known := m.upstreams.Get(key)
	old.Seq, old.Cold = u.Seq, u.Cold
	changed := !known || old != u || m.colder(now, u)
	if !changed && !m.replicationDue(now, key, source) {
		if !m.upstreams.Refresh(key, u) {
			return false
		}
		m.setCold(now, u)
		m.upstreamHeartbeatAt[key] = now
		if source != "" {
			m.upstreamReplicatedAt[key] = now
		}
		return true
	}
	put := m.upstreams.Put
	if !changed {
		put = m.upstreams.Touch
	}
	if !put(key, u, source) {
		return false
	}
	m.setCold(now, u)
	m.upstreamHeartbeatAt[key] = now
	m.upstreamReplicatedAt[key] = now
	if changed {
		m.version++
	}
	return true
}

// replicationDue reports whether a heartbeat that changes nothing but a counter is
// replicated. Only the node that the upstream sent it to replicates it, to every other node.
func (m *Machine) replicationDue(now time.Time, key fleet.UpstreamKey, source fleet.NodeID) bool {
	return source == "" && now.Sub(m.upstreamReplicatedAt[key]) >= replicateUpstreamAfter
}

// Depart records the departure of an upstream.
func (m *Machine) Depart(now time.Time, d fleet.Departure) { m.RecordHeartbeat(now, d.Record()) }

// departed returns the record of an upstream with the state that its departures allow.
func (m *Machine) departed(u fleet.Upstream) fleet.Upstream {
	for _, service := range []string{"", u.Service} {
		d, ok := m.upstreams.Get(fleet.Departure{ID: u.ID, Service: service}.Key())
		if ok && !d.Born.Before(u.Born) {
			u.State = max(u.State, d.State)
		}
	}
	return u
}

// heartbeats returns the records of upstreams without those of departures.
func (m *Machine) heartbeats() []fleet.Upstream {
	return slices.DeleteFunc(m.upstreams.All(), func(u fleet.Upstream) bool { return u.Departure })
}

// Incarnation returns the start of the incarnation of an upstream that this node uses, or would use
// if it had not departed. ok is false if it knows none.
func (m *Machine) Incarnation(id string, inUse func(service string) bool) (born time.Time, ok bool) {
	var latest fleet.Upstream
	for _, u := range m.heartbeats() {
		if u.ID == id && (!ok || preferred(u, latest, inUse)) {
			latest, ok = u, true
		}
	}
	return latest.Born, ok
}

// preferred reports whether u is used in place of another record with its ID or its address: a service
// in use goes first, then the later incarnation, then the later state, the higher counter and the
// name of the service.
func preferred(u, other fleet.Upstream, inUse func(service string) bool) bool {
	if used := inUse(u.Service); used != inUse(other.Service) {
		return used
	}
	if !u.Born.Equal(other.Born) {
		return u.Born.After(other.Born)
	}
	return cmp.Or(cmp.Compare(u.State, other.State), cmp.Compare(u.Seq, other.Seq), cmp.Compare(u.Service, other.Service)) > 0
}

// latestBy returns the preferred upstream of each group.
func latestBy[K comparable](list []fleet.Upstream, inUse func(service string) bool, group func(fleet.Upstream) K) map[K]fleet.Upstream {
	out := map[K]fleet.Upstream{}
	for _, u := range list {
		if old, ok := out[group(u)]; !ok || preferred(u, old, inUse) {
			out[group(u)] = u
		}
	}
	return out
}

// KnownUpstream is an upstream with the time at which its latest heartbeat reached this node,
// directly or through a peer.
type KnownUpstream struct {
	fleet.Upstream
	HeartbeatAt time.Time
	// ColdUntil is when the upstream ceases to be cold; zero if it is not.
	ColdUntil time.Time
}

// Upstreams returns the known upstreams, without those that are gone, those whose address is in use
// by an upstream that started later, and those of which another record is preferred. A record with a
// service that is not in use hides none with one that is, since it may come from another writer.
func (m *Machine) Upstreams(inUse func(service string) bool) []KnownUpstream {
	byID := latestBy(m.heartbeats(), inUse, func(u fleet.Upstream) string { return u.ID })
	var list []fleet.Upstream
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		list = append(list, m.departed(byID[id]))
	}
	byAddr := latestBy(list, inUse, func(u fleet.Upstream) netip.AddrPort { return u.Addr })
	var out []KnownUpstream
	for _, u := range list {
		if u.State == fleet.UpstreamGone || byAddr[u.Addr].ID != u.ID {
			continue
		}
		out = append(out, KnownUpstream{Upstream: u, HeartbeatAt: m.upstreamHeartbeatAt[u.Key()], ColdUntil: m.coldUntil[u.Key()]})
	}
	return out
}
