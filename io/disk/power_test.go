package disk_test

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"testing"
	"time"

	"dotterelgap/core/raft"
	"dotterelgap/io/disk"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// mostCalls is more than the calls to the file system of any operation of a store.
const mostCalls = 20

// faulty runs an operation and may kill the process at one of its calls to the file system.
func (p *powerFS) faulty(t *rapid.T, run func() error) error {
	if rapid.Bool().Draw(t, "killed") {
		p.callsLeft = rapid.IntRange(0, mostCalls).Draw(t, "calls until the kill")
	}
	err := run()
	p.callsLeft = -1
	return err
}

// restart ends the process, and starts it until opening succeeds. Each time before, the process may
// be killed while it opens the folder, and power may be lost.
func (p *powerFS) restart(t *rapid.T, open func() error) {
	for range rapid.IntRange(0, 3).Draw(t, "restarts") {
		if rapid.Bool().Draw(t, "power is lost") {
			p.losePower(t)
		}
		_ = p.faulty(t, open)
	}
	if rapid.Bool().Draw(t, "power is lost") {
		p.losePower(t)
	}
	if err := open(); err != nil {
		t.Fatalf("open after kills and losses of power: %v", err)
	}
}

// storeTest drives a store. known is what it has reported as durable, and begun what an operation
// would leave that was not reported as done.
type storeTest struct {
	fs           *powerFS
	store        *disk.Store
	member       raft.MemberID
	members      int
	known, begun raft.Saved
}

// A record, a vote, an identity or a snapshot that was read after a kill was gone after a loss of
// power, and a torn record before a whole one kept the store from opening for good.
func TestNothingDurableIsLostToPower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &storeTest{fs: newPowerFS()}
		f.fs.restart(t, f.open)
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				next := f.known
				next.Entries = append(slices.Clip(next.Entries), entry(f.last()+1, next.State.Term))
				f.run(t, next, func() error { return f.store.Append(time.Now(), nil, next.Entries[len(next.Entries)-1:]) })
			},
			"vote": func(t *rapid.T) {
				next := f.known
				next.State = raft.State{Term: next.State.Term + 1, Vote: 3}
				f.run(t, next, func() error { return f.store.Append(time.Now(), &next.State, nil) })
			},
			"compact": func(t *rapid.T) {
				next := f.known
				gone := rapid.IntRange(0, len(next.Entries)).Draw(t, "gone")
				next.Snapshot = raft.Snapshot{Index: next.Snapshot.Index + uint64(gone), Term: 1}
				next.Entries = next.Entries[gone:]
				f.run(t, next, func() error { return f.store.Compact(next.Snapshot, next.State, next.Entries) })
			},
			"restart": func(t *rapid.T) { f.fs.restart(t, f.open) },
		})
	})
}

func (f *storeTest) last() uint64 { return f.known.Snapshot.Index + uint64(len(f.known.Entries)) }

// run does an operation that leaves next, and restarts the process if it was killed meanwhile.
func (f *storeTest) run(t *rapid.T, next raft.Saved, operation func() error) {
	f.begun = next
	if err := f.fs.faulty(t, operation); err != nil {
		f.fs.restart(t, f.open)
		return
	}
	f.known = next
}

// open opens the folder, or creates it with another identity if it is empty, and fails if it lacks
// anything that was reported.
func (f *storeTest) open() error {
	store, id, saved, err := disk.Open(f.fs, dir)
	if errors.Is(err, fs.ErrNotExist) && f.member == 0 {
		f.members++
		first := raft.Snapshot{Index: 1, Term: 1}
		if err := disk.Create(f.fs, dir, disk.Identity{Member: raft.MemberID(f.members)}, first); err != nil {
			return err
		}
		store, id, saved, err = disk.Open(f.fs, dir)
	}
	if err != nil {
		return err
	}
	if f.member == 0 {
		f.member, f.known, f.begun = id.Member, saved, saved
	}
	if got := durableText(saved); id.Member != f.member || got != durableText(f.known) && got != durableText(f.begun) {
		return fmt.Errorf("got %s of %d, want %s or %s of %d", got, id.Member, durableText(f.known), durableText(f.begun), f.member)
	}
	f.store = store
	f.known = raft.Saved{State: saved.State, Snapshot: saved.Snapshot, Entries: saved.Entries}
	f.begun = f.known
	return nil
}

// durableText returns what has to be durable of a saved state, as text. Entries that a snapshot
// includes do not count.
func durableText(s raft.Saved) string {
	return fmt.Sprint(s.State, s.Snapshot.Index+uint64(len(s.Entries)), s.Entries)
}

// A journal's record that was read after a kill was gone after a loss of power.
func TestNoRecordOfAJournalIsLostToPower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPowerFS()
		var j *disk.Journal
		var known, begun []string
		open := func() error {
			opened, got, err := openJournal(p)
			if err != nil {
				return err
			}
			if !slices.Equal(got, known) && !slices.Equal(got, begun) {
				return fmt.Errorf("got %q, want %q or %q", got, known, begun)
			}
			j, known, begun = opened, got, got
			return nil
		}
		run := func(t *rapid.T, next []string, operation func() error) {
			begun = next
			if err := p.faulty(t, operation); err != nil {
				p.restart(t, open)
				return
			}
			known = next
		}
		p.restart(t, open)
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				r := rapid.StringN(1, 30, 30).Draw(t, "record")
				run(t, append(slices.Clip(known), r), func() error { return j.Append([]byte(r)) })
			},
			"replace": func(t *rapid.T) {
				next := known[:len(known)/2]
				var payloads [][]byte
				for _, r := range next {
					payloads = append(payloads, []byte(r))
				}
				run(t, next, func() error { return j.Replace(payloads) })
			},
			"restart": func(t *rapid.T) { p.restart(t, open) },
		})
	})
}

// A value that was read after a kill was gone after a loss of power.
func TestNoValueIsLostToPower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPowerFS()
		v := disk.NewValue[int](p, dir, "value")
		known, begun := 0, 0
		open := func() error {
			got, err := v.Load()
			if err == nil && got != known && got != begun {
				err = fmt.Errorf("got %d, want %d or %d", got, known, begun)
			}
			if err == nil {
				known, begun = got, got
			}
			return err
		}
		t.Repeat(map[string]func(*rapid.T){
			"save": func(t *rapid.T) {
				begun = known + 1
				if err := p.faulty(t, func() error { return v.Save(begun) }); err != nil {
					p.restart(t, open)
					return
				}
				known = begun
			},
			"restart": func(t *rapid.T) { p.restart(t, open) },
		})
	})
}

// A record that a killed process had written, but not synced, was torn under the next one, so that
// the folder could not be opened again.
func TestTornRecordUnderALaterOne(t *testing.T) {
	is := is.New(t)
	p := newPowerFS()
	is.NoErr(disk.Create(p, dir, disk.Identity{Member: 7}, raft.Snapshot{Index: 1, Term: 1}))
	for i := range 2 {
		s, _, saved, err := disk.Open(p, dir)
		is.NoErr(err)
		is.Equal(len(saved.Entries), i)
		p.callsLeft = 1
		is.True(s.Append(time.Now(), nil, []raft.Entry{entry(uint64(i)+2, 1)}) != nil) // killed before the sync
		p.callsLeft = -1
	}
	log := p.names[dir+"/log"]
	is.Equal(len(log.pending), 1) // the record that Open has read is synced
}
