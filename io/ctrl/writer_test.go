package ctrl

import (
	"math/rand/v2"
	"testing"
	"time"

	"dotterelgap/core/raft"
	"dotterelgap/io/disk"

	"github.com/matryer/is"
)

// Guards against a vote that another member hears of before it is on the disk, and against messages of
// a leader that wait for the disk though nothing depends on it.
func TestMessagesWaitForVotesOnly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	members := raft.Membership{}.With(raft.Member{ID: 1, Voter: true}).With(raft.Member{ID: 2, Voter: true})
	first := raft.Snapshot{Index: 1, Term: 1, Members: members}
	dir := t.TempDir()
	is.NoErr(disk.Create(disk.OS(), dir, disk.Identity{Member: 1}, first))
	store, _, saved, err := disk.Open(disk.OS(), dir)
	is.NoErr(err)
	m := raft.New(raft.Params{Self: 1, Saved: saved, Rand: rand.New(rand.NewPCG(1, 1)), Now: now})
	w := newWriter(store)
	// take adds the output of the machine, and reports whether its messages wait.
	take := func() (out raft.Output, waits bool) {
		out = m.Take()
		w.add(now, out, m)
		is.True(len(out.Messages) > 0)
		return out, w.hold(out.Messages)
	}
	finish := func() []raft.Message {
		w.start(now)
		b := <-w.batches
		is.NoErr(w.write(b))
		msgs := w.finish(written{batch: b})
		m.Stable(now, b.mark)
		return msgs
	}
	now = now.Add(time.Second)
	m.Tick(now)
	_, waits := take()
	is.True(!waits) // a pre-vote depends on nothing
	m.Step(now, raft.Message{Kind: raft.KindPreVoteReply, From: 2, To: 1, Term: 1, Granted: true})
	_, waits = take()
	is.True(waits) // the candidate's own vote
	w.start(now)
	m.Step(now, raft.Message{Kind: raft.KindPreVote, From: 2, To: 1, Term: 9})
	_, waits = take()
	is.True(waits) // a reply that names the new term
	b := <-w.batches
	is.NoErr(w.write(b))
	sent := w.finish(written{batch: b})
	is.Equal(len(sent), 2)
	is.Equal(sent[0].Kind, raft.KindVote)
	m.Stable(now, b.mark)
	m.Step(now, raft.Message{Kind: raft.KindVoteReply, From: 2, To: 1, Term: 1, Granted: true})
	out, waits := take()
	is.True(!waits) // the leader's first entry is sent while it is written
	is.Equal(len(out.Entries), 1)
	w.replace(m.Compact(1, nil), m)
	m.Step(now, raft.Message{Kind: raft.KindPreVote, From: 2, To: 1, Term: 9})
	_, waits = take()
	is.True(!waits) // nothing depends on the host's own snapshot
	is.Equal(len(finish()), 0)
	_, _, reread, err := disk.Open(disk.OS(), dir)
	is.NoErr(err)
	is.Equal(reread.State, raft.State{Term: 1, Vote: 1})
	is.Equal(len(reread.Entries), 1)
	is.NoErr(store.Close())
}

// Guards against entries whose time is forgotten since a snapshot comes between them and their write: what
// a dead holder is billed rests on it.
func TestTimesOfEntriesCoveredByASnapshot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	dir := t.TempDir()
	is.NoErr(disk.Create(disk.OS(), dir, disk.Identity{Member: 1}, raft.Bootstrap(raft.Member{ID: 1}).Snapshot))
	store, _, saved, err := disk.Open(disk.OS(), dir)
	is.NoErr(err)
	m := raft.New(raft.Params{Self: 1, Saved: saved, Rand: rand.New(rand.NewPCG(1, 1)), Now: now})
	w := newWriter(store)
	m.Tick(now)
	w.add(now, m.Take(), m)
	w.replace(m.Compact(1, nil), m)
	w.start(now)
	is.NoErr(w.write(<-w.batches))
	is.NoErr(store.Close())
	_, _, saved, err = disk.Open(disk.OS(), dir)
	is.NoErr(err)
	is.True(saved.Written[m.HardState().Term].At.Equal(now))
}

// Guards against messages that pile up for as long as a disk hangs.
func TestMessagesThatWaitAreBounded(t *testing.T) {
	is := is.New(t)
	w := &writer{next: batch{holds: true}}
	for range 3 * heldLimit {
		is.True(w.hold(make([]raft.Message, 2)))
	}
	is.Equal(len(w.next.messages), heldLimit)
}
