package raft_test

import (
	"slices"
	"time"

	"dotterelgap/core/raft"
)

// slowDisk holds the writes of a host that are not synced yet, in their order.
type slowDisk struct {
	// delay is how long a sync takes. A sync covers all that was written when it began.
	delay  time.Duration
	hangs  bool
	writes []diskWrite
	// syncing writes are covered by the sync that ends at ends.
	syncing int
	ends    time.Time
}

// diskWrite is one write with the messages that wait for it.
type diskWrite struct {
	state    *raft.State
	snapshot *raft.Snapshot
	entries  []raft.Entry
	mark     raft.Mark
	messages []raft.Message
}

func (d *slowDisk) begin() { d.writes, d.syncing = nil, 0 }

func (d *slowDisk) quick() bool { return d.delay == 0 && !d.hangs }

func (d *slowDisk) write(out raft.Output, m *raft.Machine) {
	if out.State == nil && out.Installed == nil && len(out.Entries) == 0 {
		return
	}
	w := diskWrite{state: out.State, snapshot: out.Installed, entries: out.Entries, mark: m.Mark()}
	if out.Installed != nil {
		w.entries = m.Tail()
	}
	d.writes = append(d.writes, w)
}

func (d *slowDisk) compact(s raft.Snapshot, m *raft.Machine) {
	state := m.HardState()
	d.writes = append(d.writes, diskWrite{state: &state, snapshot: &s, entries: m.Tail(), mark: m.Mark()})
}

// persist makes a write part of what a restart reads.
func (w diskWrite) persist(saved *raft.Saved) {
	if w.state != nil {
		saved.State = *w.state
	}
	if w.snapshot != nil {
		saved.Snapshot, saved.Entries = *w.snapshot, slices.Clone(w.entries)
		return
	}
	if len(w.entries) > 0 {
		at := w.entries[0].Index - saved.Snapshot.Index - 1
		saved.Entries = append(slices.Clone(saved.Entries[:at]), w.entries...)
	}
}

// finished returns how many writes are synced by now, and begins the next sync.
func (d *slowDisk) finished(now time.Time) int {
	n := 0
	if d.syncing > 0 && !now.Before(d.ends) && !d.hangs {
		n, d.syncing = d.syncing, 0
	}
	if d.syncing == 0 && len(d.writes) > n {
		d.syncing, d.ends = len(d.writes)-n, now.Add(d.delay)
	}
	return n
}

// send sends messages, or has them wait for the last write that they depend on.
func (g *group) send(h *host, messages []raft.Message) {
	for i := len(h.disk.writes) - 1; i >= 0; i-- {
		if w := &h.disk.writes[i]; w.state != nil || w.snapshot != nil {
			w.messages = append(w.messages, messages...)
			return
		}
	}
	g.net = append(g.net, messages...)
}

// sync syncs the first writes of a host.
func (g *group) sync(h *host, writes int) {
	if !h.up || h.frozen {
		return
	}
	for ; writes > 0 && len(h.disk.writes) > 0; writes-- {
		w := h.disk.writes[0]
		h.disk.writes = h.disk.writes[1:]
		w.persist(&h.saved)
		g.net = append(g.net, w.messages...)
		g.step(h, func(m *raft.Machine) { m.Stable(g.now, w.mark) })
	}
}
