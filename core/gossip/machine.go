package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// The intervals and timeouts of the protocol.
const (
	// heartbeatInterval is the time between two heartbeats of a node.
	heartbeatInterval = time.Second
	// seedInterval is the time between two exchanges with a seed. They reunite groups of
	// nodes that consider each other dead.
	seedInterval = 2 * time.Second
	// SuspectAfter is the time without a heartbeat after which a peer is considered dead.
	SuspectAfter = 4 * time.Second
	// forgetPeerAfter is the time without a heartbeat after which a peer's record is deleted.
	forgetPeerAfter = 2 * time.Minute
	// forgetUpstreamAfter is the time without a heartbeat after which an upstream's record
	// is deleted.
	forgetUpstreamAfter = 2 * time.Minute
	// forgetDepartureAfter is the time after which the departure of an upstream is deleted: longer
	// than one of its heartbeats can be on its way.
	forgetDepartureAfter = 10 * time.Minute
	// replicateUpstreamAfter is the time after which a heartbeat of an upstream is replicated
	// though nothing but its counter has changed, so that the other nodes don't forget the
	// upstream.
	replicateUpstreamAfter = forgetUpstreamAfter / 4
	// staleUpstreamAfter is the time without a heartbeat after which a node asks others for
	// all of their records: it may be unable to reach the node that gets the heartbeats.
	staleUpstreamAfter = forgetUpstreamAfter * 3 / 4
	// resyncInterval is the time between two such requests.
	resyncInterval = forgetUpstreamAfter / 16
)

// Params contains the parameters of New.
type Params struct {
	Self  fleet.Peer
	Seeds []netip.AddrPort
	Rand  *rand.Rand
	Now   time.Time
	// Bootstrap is set for the very first start of the whole system.
	Bootstrap bool
}

// partner is the state of the exchanges with one incarnation of another node.
type partner struct {
	// acked is the stamp of this node up to which the partner has merged all changes.
	acked uint64
	// merged is the stamp of the partner up to which this node has merged all changes.
	merged uint64
}

// Machine is the gossip state machine of one node.
type Machine struct {
	self                fleet.Peer
	seeds               []netip.AddrPort
	rnd                 *rand.Rand
	clock               uint64
	peers               *Store[fleet.NodeID, fleet.Peer]
	upstreams           *Store[fleet.UpstreamKey, fleet.Upstream]
	quarantines         quarantines
	sharers             sharers
	evacuations         fleet.Evacuations
	partners            map[fleet.NodeID]*partner
	peerHeartbeatAt     map[fleet.NodeID]time.Time
	upstreamHeartbeatAt map[fleet.UpstreamKey]time.Time
	// coldUntil is when the upstreams that are cold cease to be.
	coldUntil map[fleet.UpstreamKey]time.Time
	// upstreamReplicatedAt is when this or another node last replicated an upstream's record.
	upstreamReplicatedAt map[fleet.UpstreamKey]time.Time
	heartbeatAt          time.Time
	seedAt               time.Time
	// resyncAt is when the node last asked for all records. resync is set until the request
	// for them.
	resyncAt time.Time
	resync   bool
	// version increases with each change of the upstreams, peers, quarantines, evacuations or
	// sharers.
	version uint64
	// reportedVersion is the version that the driver last read.
	reportedVersion uint64
	urgent          bool
}

// New returns a machine that knows only its own node and the seeds.
func New(p Params) *Machine {
	m := &Machine{
		self: p.Self, seeds: slices.Clone(p.Seeds), rnd: p.Rand,
		partners: map[fleet.NodeID]*partner{}, peerHeartbeatAt: map[fleet.NodeID]time.Time{}, upstreamHeartbeatAt: map[fleet.UpstreamKey]time.Time{},
		upstreamReplicatedAt: map[fleet.UpstreamKey]time.Time{}, coldUntil: map[fleet.UpstreamKey]time.Time{},
		sharers: newSharers(p),
	}
	m.peers = newStore[fleet.NodeID, fleet.Peer](&m.clock)
	m.upstreams = newStore[fleet.UpstreamKey, fleet.Upstream](&m.clock)
	m.quarantines = newQuarantines(&m.clock)
	m.heartbeat(p.Now)
	return m
}

// SetSeeds replaces the seeds.
func (m *Machine) SetSeeds(seeds []netip.AddrPort) {
	m.seeds = slices.Clone(seeds)
}

// Self returns the node's own record.
func (m *Machine) Self() fleet.Peer { return m.self }

// Update changes the node's own record and increases its heartbeat counter, so that the
// change is replicated. An urgent change goes to all live peers in the next exchange.
func (m *Machine) Update(now time.Time, urgent bool, change func(*fleet.Peer)) {
	before := m.self
	change(&m.self)
	if m.self == before {
		return
	}
	m.urgent = m.urgent || urgent
	m.heartbeat(now)
}

// heartbeat increases the node's heartbeat counter.
func (m *Machine) heartbeat(now time.Time) {
	m.heartbeatAt = now
	m.self.Beat++
	m.self.Sharers = m.sharers.hash()
	m.storePeer(m.self, m.self.ID)
}

// storePeer stores a peer's record if it is newer than the known one, and reports whether it
// did.
func (m *Machine) storePeer(p fleet.Peer, source fleet.NodeID) bool {
	old, known := m.peers.Get(p.ID)
	old.Beat = p.Beat
	if known && old == p {
		return m.peers.Touch(p.ID, p, source)
	}
	return m.peers.Put(p.ID, p, source)
}

// Version returns a number that increases whenever quarantines, evacuations or sharers change, or
// peers or upstreams in more than their heartbeat counters.
func (m *Machine) Version() uint64 {
	m.reportedVersion = m.version
	return m.version
}

// Pending reports whether the driver has something to do before its next tick.
func (m *Machine) Pending() bool {
	return m.urgent || m.reportedVersion != m.version
}

// Alive returns the peers with a recent heartbeat, including this node.
func (m *Machine) Alive(now time.Time) []fleet.Peer {
	return m.peersWithin(now, SuspectAfter)
}

// Known returns the number of peers that have not left, including this node and those that
// may be on the other side of a partition.
func (m *Machine) Known(now time.Time) int {
	return len(m.peersWithin(now, forgetPeerAfter))
}

func (m *Machine) peersWithin(now time.Time, maxAge time.Duration) []fleet.Peer {
	var out []fleet.Peer
	for _, p := range m.peers.All() {
		if p.ID == m.self.ID || (!p.Left && now.Sub(m.peerHeartbeatAt[p.ID]) < maxAge) {
			out = append(out, p)
		}
	}
	return out
}

// Tick increases the node's heartbeat counter when it is due and deletes expired records.
func (m *Machine) Tick(now time.Time) {
	if now.Sub(m.heartbeatAt) >= heartbeatInterval {
		m.heartbeat(now)
	}
	for id, at := range m.peerHeartbeatAt {
		if now.Sub(at) >= forgetPeerAfter {
			m.forgetPeer(id)
		}
	}
	for key, at := range m.upstreamHeartbeatAt {
		forgetAfter := forgetUpstreamAfter
		if u, _ := m.upstreams.Get(key); u.Departure {
			forgetAfter = forgetDepartureAfter
		} else if now.Sub(at) >= staleUpstreamAfter && now.Sub(m.resyncAt) >= resyncInterval {
			m.resync, m.resyncAt = true, now
		}
		if now.Sub(at) >= forgetAfter {
			m.upstreams.Delete(key)
			delete(m.upstreamHeartbeatAt, key)
			delete(m.upstreamReplicatedAt, key)
			delete(m.coldUntil, key)
			m.version++
		}
	}
	m.quarantines.expire(now)
	m.updateSharers(now)
}

func (m *Machine) forgetPeer(id fleet.NodeID) {
	m.peers.Delete(id)
	delete(m.peerHeartbeatAt, id)
	delete(m.partners, id)
	m.version++
}

// Partners returns the addresses of the nodes to exchange with now: all live peers if there
// is an urgent change, otherwise one random live peer. A seed is added every seedInterval,
// or each time while no peer is alive.
func (m *Machine) Partners(now time.Time) []netip.AddrPort {
	var live []netip.AddrPort
	for _, p := range m.Alive(now) {
		if p.ID != m.self.ID {
			live = append(live, p.Addr)
		}
	}
	urgent := m.urgent
	m.urgent = false
	var out []netip.AddrPort
	switch {
	case urgent:
		out = live
	case len(live) > 0:
		out = append(out, live[m.rnd.IntN(len(live))])
	}
	if len(m.seeds) > 0 && (len(live) == 0 || now.Sub(m.seedAt) >= seedInterval) {
		m.seedAt = now
		seed := m.seeds[m.rnd.IntN(len(m.seeds))]
		if seed != m.self.Addr && !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	return out
}

// incarnationAt returns the id of the incarnation with the latest heartbeat from an address.
func (m *Machine) incarnationAt(addr netip.AddrPort) fleet.NodeID {
	var latest fleet.NodeID
	var latestAt time.Time
	for _, p := range m.peers.All() {
		if p.Addr == addr && p.ID != m.self.ID && (latest == "" || m.peerHeartbeatAt[p.ID].After(latestAt)) {
			latest, latestAt = p.ID, m.peerHeartbeatAt[p.ID]
		}
	}
	return latest
}

// Request returns the request that starts an exchange with the node at an address.
func (m *Machine) Request(now time.Time, addr netip.AddrPort) Request {
	id := m.incarnationAt(addr)
	p := m.partner(id)
	have := p.merged
	if m.resync {
		m.resync, have = false, 0
	}
	return Request{From: m.self, Life: id, Have: have, Delta: m.delta(now, p.acked, id)}
}

func (m *Machine) partner(id fleet.NodeID) *partner {
	p, ok := m.partners[id]
	if !ok {
		p = &partner{}
		if id != "" {
			m.partners[id] = p
		}
	}
	return p
}

func (m *Machine) delta(now time.Time, since uint64, to fleet.NodeID) Delta {
	return Delta{
		Upto: m.clock, Peers: m.peers.Since(since, to), Beats: m.beatsSince(since, to),
		Upstreams: m.withColdLeft(now, m.upstreams.Since(since, to)), UpstreamBeats: m.upstreamBeatsSince(since, to),
		Quarantines: m.quarantines.since(now, since, to), Evacuations: m.evacuations, Sharers: m.sharersFor(now, to),
	}
}

// OnRequest merges a request and returns the reply.
func (m *Machine) OnRequest(now time.Time, r Request) Reply {
	m.merge(now, r.From, r.Delta)
	have := r.Have
	if r.Life != m.self.ID {
		have = 0
	}
	d := m.delta(now, have, r.From.ID)
	d.Beats = d.Beats.without(r.Delta.Beats)
	return Reply{From: m.self, Have: r.Delta.Upto, Delta: d}
}

// OnReply merges a reply.
func (m *Machine) OnReply(now time.Time, r Reply) {
	m.merge(now, r.From, r.Delta)
	p := m.partner(r.From.ID)
	p.acked = max(p.acked, r.Have)
	p.merged = max(p.merged, r.Delta.Upto)
}

func (m *Machine) merge(now time.Time, from fleet.Peer, d Delta) {
	m.putPeer(now, from, from.ID)
	m.markReplaced(from)
	for _, p := range d.Peers {
		m.putPeer(now, p, from.ID)
	}
	m.mergeBeats(now, from.ID, d.Beats)
	for _, u := range d.Upstreams {
		m.putUpstream(now, u, from.ID)
	}
	m.mergeUpstreamBeats(now, from.ID, d.UpstreamBeats)
	if m.sharers.merge(now, d.Sharers) {
		m.version++
	}
	m.putEvacuations(d.Evacuations)
	for _, q := range d.Quarantines {
		if m.quarantines.put(now, q, from.ID) {
			m.version++
		}
	}
}

func (m *Machine) putPeer(now time.Time, p fleet.Peer, source fleet.NodeID) {
	if p.ID == m.self.ID {
		return
	}
	old, known := m.peers.Get(p.ID)
	if !m.storePeer(p, source) {
		return
	}
	m.peerHeartbeatAt[p.ID] = now
	if !p.Left && m.sharers.hear(p.Addr, now) {
		m.version++
	}
	if !known || old.Left != p.Left || old.Draining != p.Draining || old.Addr != p.Addr || old.Policy != p.Policy {
		m.version++
	}
}

// markReplaced marks other incarnations at the address of a peer as having left. It is
// called for the sender of a message only: two processes can't listen on one address.
func (m *Machine) markReplaced(p fleet.Peer) {
	for _, q := range m.peers.All() {
		if q.Addr == p.Addr && q.ID != p.ID && q.ID != m.self.ID && !q.Left {
			q.Left = true
			q.Beat++
			m.peers.Put(q.ID, q, m.self.ID)
		}
	}
}
