package raft_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dotterelgap/core/raft"
)

const tick = 50 * time.Millisecond

// host is a simulated member. Only the persisted part of its state survives a crash.
type host struct {
	id      raft.MemberID
	machine *raft.Machine
	saved   raft.Saved
	applied [][]byte
	base    uint64 // applied[0] is the entry at index base+1
	up      bool
	frozen  bool
	lost    bool
	// starts is part of the random seed, so that each incarnation has other election timeouts.
	starts uint64
	disk   slowDisk
}

// group is a group of hosts over a simulated network that loses, repeats and reorders
// messages, and can be partitioned.
type group struct {
	now         time.Time
	hosts       []*host
	net         []raft.Message
	partitioned map[[2]raft.MemberID]bool
	history     map[uint64][]byte        // the entry applied at each index, the same on all hosts
	leaders     map[uint64]raft.MemberID // leader of each term
	reads       map[uint64]uint64        // read id -> least index at which it may be served
	acked       uint64                   // highest index applied by any host
	serial      uint64
	// leaving holds the members whose votes are to be handed over.
	leaving map[raft.MemberID]bool
	size    int // the intended number of voters
	fail    func(format string, args ...any)
}

func newGroup(n int, fail func(string, ...any)) *group {
	g := &group{
		now: time.Unix(1_000_000, 0), partitioned: map[[2]raft.MemberID]bool{}, history: map[uint64][]byte{},
		leaders: map[uint64]raft.MemberID{}, reads: map[uint64]uint64{}, leaving: map[raft.MemberID]bool{}, size: max(n, 3), fail: fail,
	}
	var ms raft.Membership
	for i := range n {
		ms = ms.With(raft.Member{ID: raft.MemberID(i + 1), Voter: true})
	}
	for _, m := range ms.Members {
		h := &host{id: m.ID, saved: raft.Saved{Snapshot: raft.Snapshot{Index: 1, Term: 1, Members: ms}}, base: 1}
		g.hosts = append(g.hosts, h)
		g.start(h)
	}
	g.serial = uint64(n)
	g.acked = 1
	return g
}

func (g *group) start(h *host) {
	h.starts++
	h.up, h.frozen = true, false
	h.applied = nil
	h.base = h.saved.Snapshot.Index
	saved := h.saved
	saved.Entries = slices.Clone(saved.Entries)
	h.disk.begin()
	h.machine = raft.New(raft.Params{
		Self: h.id, Saved: saved, Now: g.now, ElectionTimeout: 300 * time.Millisecond, TakeLimit: 2, KeptEntries: 3,
		Rand: rand.New(rand.NewPCG(uint64(h.id), h.starts)),
	})
}

// crash stops a host, which loses what it has not synced but for the first writes.
func (g *group) crash(h *host, writes int) {
	for _, w := range h.disk.writes[:min(writes, len(h.disk.writes))] {
		w.persist(&h.saved)
	}
	h.disk.writes = nil
	h.up = false
}

// loseDisk removes a host's data folder for good and starts a host with an empty one,
// which is a new member.
func (g *group) loseDisk(h *host) {
	h.up, h.lost = false, true
	h.disk.writes = nil
	g.serial++
	fresh := &host{id: raft.MemberID(g.serial)}
	g.hosts = append(g.hosts, fresh)
	g.start(fresh)
}

// step passes an input to a host and processes its output in the driver's order.
func (g *group) step(h *host, input func(m *raft.Machine)) {
	if !h.up || h.frozen {
		return
	}
	input(h.machine)
	for {
		out := h.machine.Take()
		if out.Empty() {
			break
		}
		h.disk.write(out, h.machine)
		g.apply(h, out)
		g.send(h, out.Messages)
		if h.disk.quick() {
			g.sync(h, len(h.disk.writes))
		}
		if h.machine.Behind() {
			break // the driver reads the clock and messages first
		}
	}
	if s := h.machine.Status(); s.Role == raft.Leader {
		if other, ok := g.leaders[s.Term]; ok && other != h.id {
			g.fail("term %d has two leaders: hosts %d and %d", s.Term, other, h.id)
		}
		g.leaders[s.Term] = h.id
	}
}

// checkSnapshot compares a snapshot's data, the digest of its last entry, with the
// history.
func (g *group) checkSnapshot(s raft.Snapshot) {
	if s.Index > 1 && string(s.Data) != g.digest(s.Index) {
		g.fail("the snapshot at index %d differs from the history", s.Index)
	}
}

func (g *group) digest(index uint64) string {
	return fmt.Sprintf("%d:%s", index, g.history[index])
}

func (g *group) apply(h *host, out raft.Output) {
	if out.Installed != nil {
		h.applied, h.base = nil, out.Installed.Index
		g.checkSnapshot(*out.Installed)
	}
	for _, e := range out.Committed {
		data := append([]byte{byte(e.Kind)}, e.Data...)
		if known, ok := g.history[e.Index]; ok && !bytes.Equal(known, data) {
			g.fail("index %d was applied as %q and as %q", e.Index, known, data)
		}
		if want := h.base + uint64(len(h.applied)) + 1; e.Index != want {
			g.fail("host %d applied index %d after index %d", h.id, e.Index, want-1)
		}
		g.history[e.Index] = data
		h.applied = append(h.applied, data)
		g.acked = max(g.acked, e.Index)
	}
	for _, r := range out.Reads {
		if r.OK && r.Index < g.reads[r.ID] {
			g.fail("read %d was served at index %d, but index %d was applied before it", r.ID, r.Index, g.reads[r.ID])
		}
		if at := h.base + uint64(len(h.applied)); r.OK && at < r.Index {
			g.fail("read %d was served at index %d, but the host had applied only index %d", r.ID, r.Index, at)
		}
	}
}

func (g *group) deliver(i int, keep bool) {
	msg := g.net[i]
	if !keep {
		g.net = slices.Delete(g.net, i, i+1)
	}
	if g.partitioned[[2]raft.MemberID{msg.From, msg.To}] {
		return
	}
	for _, h := range g.hosts {
		if h.id == msg.To {
			g.step(h, func(m *raft.Machine) { m.Step(g.now, msg) })
		}
	}
}

func (g *group) tick(d time.Duration) {
	g.now = g.now.Add(d)
	for _, h := range g.hosts {
		g.sync(h, h.disk.finished(g.now))
		g.step(h, func(m *raft.Machine) { m.Tick(g.now) })
	}
}

// settle advances the time by a number of ticks and delivers all messages in order.
func (g *group) settle(rounds int) {
	for range rounds {
		g.tick(tick)
		for n := len(g.net); n > 0; n-- {
			g.deliver(0, false)
		}
	}
}

// leader returns the running leader of the highest term, or nil.
func (g *group) leader() *host {
	var best *host
	for _, h := range g.hosts {
		if !h.up || h.frozen || h.machine.Status().Role != raft.Leader {
			continue
		}
		if best == nil || h.machine.Status().Term > best.machine.Status().Term {
			best = h
		}
	}
	return best
}

// canLoseDisk reports whether a quorum of disks is left when the victim loses its own. It
// uses the leader's membership, on which the voters must agree.
func (g *group) canLoseDisk(victim *host) bool {
	l := g.leader()
	if l == nil || l == victim {
		return false
	}
	s := l.machine.Status()
	if !s.Members.IsVoter(victim.id) {
		return true
	}
	left := 0
	for _, h := range g.hosts {
		if !h.lost && h != victim && s.Members.IsVoter(h.id) {
			left++
		}
	}
	return left >= s.Members.Quorum() && g.membersAgree(s)
}

// membersAgree reports whether the logs of all voters hold the leader's membership.
func (g *group) membersAgree(s raft.Status) bool {
	for _, h := range g.hosts {
		if h.lost || !s.Members.IsVoter(h.id) {
			continue
		}
		if !slices.Equal(h.machine.Status().Members.Members, s.Members.Members) {
			return false
		}
	}
	return true
}

func (g *group) propose(h *host) {
	g.serial++
	data := fmt.Appendf(nil, "c%d", g.serial)
	g.step(h, func(m *raft.Machine) { _, _, _ = m.Propose(g.now, data) })
}

func (g *group) read(h *host) {
	g.serial++
	id := g.serial
	g.reads[id] = g.acked
	g.step(h, func(m *raft.Machine) { _ = m.Read(g.now, id) })
}

func (g *group) compact(h *host) {
	if !h.up || h.frozen || len(h.applied) < 2 {
		return
	}
	index := h.base + uint64(len(h.applied))
	snap := h.machine.Compact(index, []byte(g.digest(index)))
	h.applied, h.base = nil, index
	h.disk.compact(snap, h.machine)
	if h.disk.quick() {
		g.sync(h, len(h.disk.writes))
	}
}
