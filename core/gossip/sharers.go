package gossip

import (
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/fleet"

	"github.com/cespare/xxhash/v2"
)

// The timeouts of the set of sharers.
const (
	// forgetSharerAfter is the time without a heartbeat after which a sharer is deleted.
	forgetSharerAfter = time.Hour
	// leaveSharersAfter is the time without a majority of the sharers after which a node uses its
	// part no more, so that it has stopped before the others forget it.
	leaveSharersAfter = forgetSharerAfter / 2
	// formSharersAfter is the time after which nodes that all restarted may agree on a first set.
	formSharersAfter = forgetPeerAfter
	// joinPause is the time between joining and the use of the part. The requests of an earlier
	// incarnation are then more than a second old, and the other nodes divide by the new number.
	joinPause = 3 * time.Second
	// maxSharers limits the sharers that are kept. A node that hears of more uses no part.
	maxSharers = 4096
)

// sharer is what a node knows of a sharer.
type sharer struct {
	settled bool
	heardAt time.Time
}

// sharers is a set of addresses that only grows, but for those that were silent for
// forgetSharerAfter. A node joins it, which means that it uses its part of shared bounds, once
// all nodes that may be running know the node: either all sharers report the same set, or those
// that respond do, and this node and the silent ones were in a set that all reported before.
type sharers struct {
	byAddr map[netip.AddrPort]sharer
	// bootstrap allows a first set, of which no sharer is settled.
	bootstrap bool
	startedAt time.Time
	joinedAt  time.Time
	joined    bool
	// full is set once more than maxSharers were heard of.
	full bool
}

func newSharers(p Params) sharers {
	s := sharers{byAddr: map[netip.AddrPort]sharer{}, bootstrap: p.Bootstrap, startedAt: p.Now}
	s.hear(p.Self.Addr, p.Now)
	if p.Bootstrap {
		// All nodes have the same seeds at the first start. Sets that contain them can't form
		// beside each other.
		for _, addr := range p.Seeds {
			s.hear(addr, p.Now)
		}
	}
	return s
}

// hear records a heartbeat from an address and reports whether it is a new one.
func (s *sharers) hear(addr netip.AddrPort, now time.Time) bool {
	k, known := s.byAddr[addr]
	if !known && len(s.byAddr) >= maxSharers {
		s.full = true
		return false
	}
	k.heardAt = now
	s.byAddr[addr] = k
	return !known
}

// merge applies the sharers that another node knows and reports whether one of them is new.
func (s *sharers) merge(now time.Time, list []fleet.Sharer) (changed bool) {
	for _, o := range list {
		if o.Silent < 0 || o.Silent >= forgetSharerAfter || !o.Addr.IsValid() {
			continue
		}
		k, known := s.byAddr[o.Addr]
		if !known && !s.hear(o.Addr, now.Add(-o.Silent)) {
			continue
		}
		if heardAt := now.Add(-o.Silent); !known || heardAt.After(k.heardAt) {
			k.heardAt = heardAt
		}
		k.settled = k.settled || o.Settled
		s.byAddr[o.Addr] = k
		changed = changed || !known
	}
	return changed
}

// list returns the sharers in the form in which they are sent, sorted by address.
func (s *sharers) list(now time.Time) []fleet.Sharer {
	out := make([]fleet.Sharer, 0, len(s.byAddr))
	for addr, k := range s.byAddr {
		out = append(out, fleet.Sharer{Addr: addr, Settled: k.settled, Silent: max(now.Sub(k.heardAt), 0)})
	}
	slices.SortFunc(out, func(a, b fleet.Sharer) int { return a.Addr.Compare(b.Addr) })
	return out
}

// hash returns a hash of the set, which does not depend on an order.
func (s *sharers) hash() uint64 {
	var sum uint64
	for addr, k := range s.byAddr {
		text := addr.String()
		if k.settled {
			text += " settled"
		}
		sum ^= xxhash.Sum64String(text)
	}
	return sum
}

// expire deletes the sharers that were silent for long and reports whether there were any.
func (s *sharers) expire(now time.Time, self netip.AddrPort) (changed bool) {
	for addr, k := range s.byAddr {
		if addr != self && now.Sub(k.heardAt) >= forgetSharerAfter {
			delete(s.byAddr, addr)
			changed = true
		}
	}
	return changed
}

// majority reports whether most of the sharers were heard lately.
func (s *sharers) majority(now time.Time) bool {
	heard := 0
	for _, k := range s.byAddr {
		if now.Sub(k.heardAt) < leaveSharersAfter {
			heard++
		}
	}
	return 2*heard > len(s.byAddr)
}

// join joins if the sharers that respond report the same set as this node. reported are the
// hashes that they report, by address.
func (s *sharers) join(now time.Time, self netip.AddrPort, reported map[netip.AddrPort]uint64) {
	own := s.hash()
	silent, anySettled, silentSettled := false, false, true
	for addr, k := range s.byAddr {
		anySettled = anySettled || k.settled
		if addr == self {
			continue
		}
		hash, responds := reported[addr]
		if responds && hash != own {
			return
		}
		if !responds {
			silent = true
			silentSettled = silentSettled && k.settled
		}
	}
	switch {
	case s.full:
		return
	case silent && !(silentSettled && s.byAddr[self].settled):
		return
	case !anySettled && !s.bootstrap && now.Sub(s.startedAt) < formSharersAfter:
		return
	}
	s.joined, s.joinedAt = true, now
	if !silent {
		s.settle()
	}
}

// settle marks all sharers as settled.
func (s *sharers) settle() {
	for addr, k := range s.byAddr {
		k.settled = true
		s.byAddr[addr] = k
	}
}

// updateSharers expires, joins and leaves the set of sharers as time passes.
func (m *Machine) updateSharers(now time.Time) {
	s := &m.sharers
	s.hear(m.self.Addr, now)
	if s.expire(now, m.self.Addr) {
		m.version++
	}
	if s.joined && !s.majority(now) {
		s.joined = false
		m.version++
	}
	if s.joined && len(s.byAddr) > 0 && s.allSettled() {
		return
	}
	if m.self.Sharers == s.hash() {
		before := s.joined
		joinedAt := s.joinedAt
		s.join(now, m.self.Addr, m.reportedSharers(now))
		if before {
			s.joinedAt = joinedAt
		}
	}
}

// allSettled reports whether all sharers are settled.
func (s *sharers) allSettled() bool {
	for _, k := range s.byAddr {
		if !k.settled {
			return false
		}
	}
	return true
}

// reportedSharers returns the hashes that the live nodes report, by address.
func (m *Machine) reportedSharers(now time.Time) map[netip.AddrPort]uint64 {
	out := map[netip.AddrPort]uint64{}
	latest := map[netip.AddrPort]time.Time{}
	for _, p := range m.Alive(now) {
		at := m.peerHeartbeatAt[p.ID]
		if p.ID == m.self.ID || at.Before(latest[p.Addr]) {
			continue
		}
		out[p.Addr], latest[p.Addr] = p.Sharers, at
	}
	return out
}

// sharersFor returns the sharers to send to a node, or nothing if it has reported the same set.
func (m *Machine) sharersFor(now time.Time, to fleet.NodeID) []fleet.Sharer {
	if p, ok := m.peers.Get(to); ok && p.Sharers == m.sharers.hash() {
		return nil
	}
	return m.sharers.list(now)
}

// Sharers returns this node's view of the sharers.
func (m *Machine) Sharers(now time.Time) fleet.Sharers {
	out := fleet.Sharers{Self: m.self.Addr, All: make([]netip.AddrPort, 0, len(m.sharers.byAddr))}
	for addr := range m.sharers.byAddr {
		out.All = append(out.All, addr)
	}
	slices.SortFunc(out.All, netip.AddrPort.Compare)
	s := &m.sharers
	out.Joined = s.joined && now.Sub(s.joinedAt) >= joinPause && s.majority(now)
	return out
}
