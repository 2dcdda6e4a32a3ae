package gossip

import (
	"net/netip"
	"time"

	"dotterelgap/core/fleet"
)

// RecordHeartbeat records a heartbeat or leave message that an upstream sent to this node. A
// new upstream, a changed state, incarnation or address, and one that has become cold are urgent.
func (m *Machine) RecordHeartbeat(now time.Time, u fleet.Upstream) {
	old, known := m.upstreams.Get(u.ID)
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
	known, ok := m.upstreams.Get(u.ID)
	if !ok || !known.Born.Equal(u.Born) || known.State != fleet.UpstreamReady {
		return
	}
	known.State = fleet.UpstreamDraining
	m.RecordHeartbeat(now, known)
}

func (m *Machine) putUpstream(now time.Time, u fleet.Upstream, source fleet.NodeID) bool {
	old, known := m.upstreams.Get(u.ID)
	old.Seq, old.Cold = u.Seq, u.Cold
	changed := !known || old != u || m.colder(now, u)
	if !changed && !m.replicationDue(now, u.ID, source) {
		if !m.upstreams.Refresh(u.ID, u) {
			return false
		}
		m.setCold(now, u)
		m.upstreamHeartbeatAt[u.ID] = now
		if source != "" {
			m.upstreamReplicatedAt[u.ID] = now
		}
		return true
	}
	put := m.upstreams.Put
	if !changed {
		put = m.upstreams.Touch
	}
	if !put(u.ID, u, source) {
		return false
	}
	m.setCold(now, u)
	m.upstreamHeartbeatAt[u.ID] = now
	m.upstreamReplicatedAt[u.ID] = now
	if changed {
		m.version++
	}
	return true
}

// replicationDue reports whether a heartbeat that changes nothing but a counter is
// replicated. Only the node that the upstream sent it to replicates it, to every other node.
func (m *Machine) replicationDue(now time.Time, id string, source fleet.NodeID) bool {
	return source == "" && now.Sub(m.upstreamReplicatedAt[id]) >= replicateUpstreamAfter
}

// Upstream returns the record of an upstream.
func (m *Machine) Upstream(id string) (fleet.Upstream, bool) {
	return m.upstreams.Get(id)
}

// hides reports whether u is used in place of another upstream with its address.
func hides(u, other fleet.Upstream, inUse func(service string) bool) bool {
	if used := inUse(u.Service); used != inUse(other.Service) {
		return used
	}
	return u.Born.After(other.Born)
}

// KnownUpstream is an upstream with the time at which its latest heartbeat reached this node,
// directly or through a peer.
type KnownUpstream struct {
	fleet.Upstream
	HeartbeatAt time.Time
	// ColdUntil is when the upstream ceases to be cold; zero if it is not.
	ColdUntil time.Time
}

// Upstreams returns the known upstreams, without those that are gone and those whose
// address is in use by an upstream that started later. A record with a service that is not in use
// hides none with one that is, since it may come from another writer.
func (m *Machine) Upstreams(inUse func(service string) bool) []KnownUpstream {
	latest := map[netip.AddrPort]fleet.Upstream{}
	all := m.upstreams.All()
	for _, u := range all {
		if old, ok := latest[u.Addr]; !ok || hides(u, old, inUse) {
			latest[u.Addr] = u
		}
	}
	var out []KnownUpstream
	for _, u := range all {
		if u.State == fleet.UpstreamGone || latest[u.Addr].ID != u.ID {
			continue
		}
		out = append(out, KnownUpstream{Upstream: u, HeartbeatAt: m.upstreamHeartbeatAt[u.ID], ColdUntil: m.coldUntil[u.ID]})
	}
	return out
}
