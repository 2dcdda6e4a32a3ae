package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Times of the protocol.
const (
	// beatInterval is the time between two announcements of the node itself.
	beatInterval = time.Second
	// seedInterval is the time between two exchanges with a seed, which rejoin
	// groups that lost sight of each other.
	seedInterval = 2 * time.Second
	// SuspectAfter is the silence after which a peer is taken for dead.
	SuspectAfter = 4 * time.Second
	// forgetAfter is the silence after which a peer is dropped.
	forgetAfter = 2 * time.Minute
	// forgetUpstream is how long the last word of an upstream is kept.
	forgetUpstream = 2 * time.Minute
)

// Params create a Machine.
type Params struct {
	Self  fleet.Peer
	Seeds []netip.AddrPort
	Rand  *rand.Rand
	Now   time.Time
}

// link is what was exchanged with one life of a partner.
type link struct {
	// acked is the own stamp up to which the partner has everything.
	acked uint64
	// merged is the partner's stamp up to which all of it is merged here.
	merged uint64
}

// Machine is one node's part in spreading soft state.
type Machine struct {
	self      fleet.Peer
	seeds     []netip.AddrPort
	rnd       *rand.Rand
	clock     uint64
	peers     *Store[fleet.NodeID, fleet.Peer]
	upstreams *Store[string, fleet.Upstream]
	links     map[fleet.NodeID]*link
	seen      map[fleet.NodeID]time.Time
	heard     map[string]time.Time
	beatAt    time.Time
	seedAt    time.Time
	// version grows with each change of the upstreams or of the peers.
	version uint64
	// told is the version that the driver was last shown.
	told   uint64
	urgent bool
}

// New returns a machine that knows itself and its seeds.
func New(p Params) *Machine {
	m := &Machine{
		self: p.Self, seeds: slices.Clone(p.Seeds), rnd: p.Rand,
		links: map[fleet.NodeID]*link{}, seen: map[fleet.NodeID]time.Time{}, heard: map[string]time.Time{},
	}
	m.peers = newStore[fleet.NodeID, fleet.Peer](&m.clock)
	m.upstreams = newStore[string, fleet.Upstream](&m.clock)
	m.announce(p.Now)
	return m
}

// SetSeeds replaces the seeds.
func (m *Machine) SetSeeds(seeds []netip.AddrPort) {
	m.seeds = slices.Clone(seeds)
}

// Self returns the node's own record.
func (m *Machine) Self() fleet.Peer { return m.self }

// Update changes the node's own record and announces it.
func (m *Machine) Update(now time.Time, urgent bool, change func(*fleet.Peer)) {
	before := m.self
	change(&m.self)
	if m.self == before {
		return
	}
	m.urgent = m.urgent || urgent
	m.announce(now)
}

func (m *Machine) announce(now time.Time) {
	m.beatAt = now
	m.self.Beat++
	m.peers.Put(m.self.ID, m.self, m.self.ID)
}

// Version grows whenever peers or upstreams change in more than their beats.
func (m *Machine) Version() uint64 {
	m.told = m.version
	return m.version
}

// Pending tells whether the driver has something to do before its next tick.
func (m *Machine) Pending() bool {
	return m.urgent || m.told != m.version
}

// RecordHeartbeat takes in an upstream's own word. News of an end is urgent.
func (m *Machine) RecordHeartbeat(now time.Time, u fleet.Upstream) {
	old, known := m.upstreams.Get(u.ID)
	if !m.putUpstream(now, u, "") {
		return
	}
	if !known || old.State != u.State || !old.Born.Equal(u.Born) || old.Addr != u.Addr {
		m.urgent = true
	}
}

func (m *Machine) putUpstream(now time.Time, u fleet.Upstream, from fleet.NodeID) bool {
	old, known := m.upstreams.Get(u.ID)
	if !m.upstreams.Put(u.ID, u, from) {
		return false
	}
	m.heard[u.ID] = now
	old.Seq, old.Cold = u.Seq, u.Cold
	if !known || old != u {
		m.version++
	}
	return true
}

// Upstream returns what is known of an upstream.
func (m *Machine) Upstream(id string) (fleet.Upstream, bool) {
	return m.upstreams.Get(id)
}

// Seen is an upstream with the time of its last word, as far as it got here.
type Seen struct {
	fleet.Upstream
	Heard time.Time
}

// Upstreams lists the upstreams that may live: those that said they are gone,
// and those whose address another one took over later, are left out.
func (m *Machine) Upstreams() []Seen {
	latest := map[netip.AddrPort]fleet.Upstream{}
	all := m.upstreams.All()
	for _, u := range all {
		if old, ok := latest[u.Addr]; !ok || u.Born.After(old.Born) {
			latest[u.Addr] = u
		}
	}
	var out []Seen
	for _, u := range all {
		if u.State == fleet.UpstreamGone || latest[u.Addr].ID != u.ID {
			continue
		}
		out = append(out, Seen{Upstream: u, Heard: m.heard[u.ID]})
	}
	return out
}

// Alive lists the peers that were heard lately, this node among them.
func (m *Machine) Alive(now time.Time) []fleet.Peer {
	return m.within(now, SuspectAfter)
}

func (m *Machine) within(now time.Time, silence time.Duration) []fleet.Peer {
	var out []fleet.Peer
	for _, p := range m.peers.All() {
		if p.ID == m.self.ID || (!p.Left && now.Sub(m.seen[p.ID]) < silence) {
			out = append(out, p)
		}
	}
	return out
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Time) {
	if now.Sub(m.beatAt) >= beatInterval {
		m.announce(now)
	}
	for id, at := range m.seen {
		if now.Sub(at) >= forgetAfter {
			m.forgetPeer(id)
		}
	}
	for id, at := range m.heard {
		if now.Sub(at) >= forgetUpstream {
			m.upstreams.Delete(id)
			delete(m.heard, id)
			m.version++
		}
	}
}

func (m *Machine) forgetPeer(id fleet.NodeID) {
	m.peers.Delete(id)
	delete(m.seen, id)
	delete(m.links, id)
	m.version++
}

// Partners picks whom to exchange with now: all live peers if there is urgent
// news, else one of them, and a seed from time to time.
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

// idAt finds the life of the peer that was last heard at an address.
func (m *Machine) idAt(addr netip.AddrPort) fleet.NodeID {
	var best fleet.NodeID
	var at time.Time
	for _, p := range m.peers.All() {
		if p.Addr == addr && p.ID != m.self.ID && (best == "" || m.seen[p.ID].After(at)) {
			best, at = p.ID, m.seen[p.ID]
		}
	}
	return best
}

// Request opens an exchange with the node at an address.
func (m *Machine) Request(addr netip.AddrPort) Request {
	id := m.idAt(addr)
	l := m.link(id)
	return Request{From: m.self, Life: id, Have: l.merged, Delta: m.delta(l.acked, id)}
}

func (m *Machine) link(id fleet.NodeID) *link {
	l, ok := m.links[id]
	if !ok {
		l = &link{}
		if id != "" {
			m.links[id] = l
		}
	}
	return l
}

func (m *Machine) delta(since uint64, to fleet.NodeID) Delta {
	return Delta{Upto: m.clock, Peers: m.peers.Since(since, to), Upstreams: m.upstreams.Since(since, to)}
}

// OnRequest merges a request and answers it.
func (m *Machine) OnRequest(now time.Time, r Request) Reply {
	m.merge(now, r.From, r.Delta)
	have := r.Have
	if r.Life != m.self.ID {
		have = 0
	}
	return Reply{From: m.self, Have: r.Delta.Upto, Delta: m.delta(have, r.From.ID)}
}

// OnReply merges a reply.
func (m *Machine) OnReply(now time.Time, r Reply) {
	m.merge(now, r.From, r.Delta)
	l := m.link(r.From.ID)
	l.acked = max(l.acked, r.Have)
	l.merged = max(l.merged, r.Delta.Upto)
}

func (m *Machine) merge(now time.Time, from fleet.Peer, d Delta) {
	m.putPeer(now, from, from.ID)
	m.replaceAt(from)
	for _, p := range d.Peers {
		m.putPeer(now, p, from.ID)
	}
	for _, u := range d.Upstreams {
		m.putUpstream(now, u, from.ID)
	}
}

func (m *Machine) putPeer(now time.Time, p fleet.Peer, from fleet.NodeID) {
	if p.ID == m.self.ID {
		return
	}
	old, known := m.peers.Get(p.ID)
	if !m.peers.Put(p.ID, p, from) {
		return
	}
	m.seen[p.ID] = now
	if !known || old.Left != p.Left || old.Draining != p.Draining || old.Addr != p.Addr || old.Policy != p.Policy {
		m.version++
	}
}

// replaceAt drops other lives at the address of a peer that spoke for itself:
// two processes can't listen there.
func (m *Machine) replaceAt(p fleet.Peer) {
	for _, q := range m.peers.All() {
		if q.Addr == p.Addr && q.ID != p.ID && q.ID != m.self.ID && !q.Left {
			q.Left = true
			q.Beat++
			m.peers.Put(q.ID, q, m.self.ID)
		}
	}
}
