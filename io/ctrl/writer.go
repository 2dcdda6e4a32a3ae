package ctrl

import (
	"context"
	"time"

	"dotterelgap/core/raft"
	"dotterelgap/io/disk"

	"go.uber.org/zap"
)

// heldLimit bounds the messages that wait for one batch.
const heldLimit = 1024

// batch is what is written to the data folder at once, with one sync of the log file.
type batch struct {
	// snapshot, with the state and the entries after it at that time, replaces the folder's contents
	// before state and entries are appended.
	snapshot  *raft.Snapshot
	baseState raft.State
	tail      []raft.Entry
	// covered are entries that the snapshot and tail hold, and that were not written before.
	covered []raft.Entry
	state   *raft.State
	entries []raft.Entry
	// at is when the first of the entries, the covered ones included, came. mark covers the batch.
	at   time.Time
	mark raft.Mark
	// holds is set if the batch contains a vote, a term or a leader's snapshot, for which messages wait.
	// A snapshot that this host has made is no such thing: it replaces what is on the disk already.
	holds    bool
	messages []raft.Message
}

func (b *batch) empty() bool { return b.snapshot == nil && b.state == nil && len(b.entries) == 0 }

// written is the end of a write.
type written struct {
	batch batch
	took  time.Duration
	err   error
}

// writer writes batches on a goroutine of its own, so that the loop never waits for the disk. While one
// is written, the next is gathered. Its methods belong to the loop.
type writer struct {
	store *disk.Store
	next  batch
	// writing is the batch that is being written, and writeSince when that began.
	writing    *batch
	writeSince time.Time
	batches    chan batch
	results    chan written
	// typical is the longest recent write, which fades.
	typical time.Duration
}

func newWriter(store *disk.Store) *writer {
	return &writer{store: store, typical: store.OpenTime(), batches: make(chan batch, 1), results: make(chan written, 1)}
}

// run writes batches until ctx ends.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-w.batches:
			began := time.Now()
			err := w.write(b)
			w.results <- written{batch: b, took: time.Since(began), err: err}
		}
	}
}

func (w *writer) write(b batch) error {
	if b.snapshot != nil {
		w.store.NoteTimes(b.at, b.covered)
		if err := w.store.Compact(*b.snapshot, b.baseState, b.tail); err != nil {
			return err
		}
	}
	if b.state == nil && len(b.entries) == 0 {
		return nil
	}
	return w.store.Append(b.at, b.state, b.entries)
}

// add adds the writes of an output to the next batch.
func (w *writer) add(now time.Time, out raft.Output, m *raft.Machine) {
	if out.Installed != nil {
		w.replace(*out.Installed, m)
		w.next.holds = true
		return
	}
	if out.State == nil && len(out.Entries) == 0 {
		return
	}
	if out.State != nil {
		w.next.state, w.next.holds = out.State, true
	}
	if len(w.next.entries)+len(w.next.covered) == 0 {
		w.next.at = now
	}
	w.next.entries = append(w.next.entries, out.Entries...)
	w.next.mark = m.Mark()
}

// replace has the next batch replace the folder's contents by a snapshot and what the log holds after
// it.
func (w *writer) replace(s raft.Snapshot, m *raft.Machine) {
	w.next.snapshot, w.next.baseState, w.next.tail = &s, m.HardState(), m.Tail()
	w.next.covered = append(w.next.covered, w.next.entries...)
	w.next.state, w.next.entries = nil, nil
	w.next.mark = m.Mark()
}

// hold keeps messages until what they depend on is written. It returns false if they can be sent now.
func (w *writer) hold(msgs []raft.Message) bool {
	b := &w.next
	switch {
	case w.next.holds:
	case w.writing != nil && w.writing.holds:
		b = w.writing
	default:
		return false
	}
	// Beyond the limit they are dropped, as a network may do, while the disk hangs.
	b.messages = append(b.messages, msgs[:min(len(msgs), heldLimit-len(b.messages))]...)
	return true
}

// start hands the next batch over, unless one is being written.
func (w *writer) start(now time.Time) {
	if w.writing != nil || w.next.empty() {
		return
	}
	b := w.next
	w.writing, w.writeSince, w.next = &b, now, batch{}
	w.batches <- b
}

// finish ends the batch that was written, and returns the messages that have waited for it.
func (w *writer) finish(res written) []raft.Message {
	msgs := w.writing.messages
	w.writing = nil
	const fade = 8
	w.typical = max(res.took, w.typical-w.typical/fade)
	return msgs
}

// duration returns how long a write takes at present: the longest recent one, or the one in progress.
func (w *writer) duration(now time.Time) time.Duration {
	if w.writing == nil {
		return w.typical
	}
	return max(w.typical, now.Sub(w.writeSince))
}

// finishWrite handles the end of a write.
func (h *Host) finishWrite(now time.Time, res written) {
	msgs := h.writer.finish(res)
	if h.failed {
		return
	}
	if res.err != nil {
		h.fail(res.err)
		return
	}
	h.metrics.recordSync(len(res.batch.entries), res.took)
	if res.took >= slowSync {
		h.metrics.recordSlowSync()
		h.log.Warn("control: the disk is slow; what the group accepts waits for it", zap.Duration("took", res.took), zap.Int("entries", len(res.batch.entries)))
	}
	h.machine.Stable(now, res.batch.mark)
	h.send(msgs)
}
