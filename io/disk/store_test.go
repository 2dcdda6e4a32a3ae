package disk_test

import (
	"errors"
	"fmt"
	"io/fs"
	"testing"
	"time"

	"dotterelgap/core/raft"
	"dotterelgap/io/disk"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const dir = "data"

// crashTest drives a store on a memFS. want is the acknowledged state.
type crashTest struct {
	fs    *memFS
	store *disk.Store
	want  raft.Saved
}

// TestCrashes writes, compacts, crashes and reopens the store at random. After a crash, all
// acknowledged data must be there and none of a torn write.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &crashTest{fs: newMemFS()}
		f.create(t)
		t.Repeat(map[string]func(*rapid.T){
			"append":          func(t *rapid.T) { f.append(t, rapid.IntRange(1, 4).Draw(t, "entries")) },
			"vote":            f.vote,
			"replace tail":    f.replaceTail,
			"compact":         f.compact,
			"crash":           f.crash,
			"crash in append": f.crashInAppend,
		})
	})
}

func (f *crashTest) create(t *rapid.T) {
	first := raft.Snapshot{Index: 1, Term: 1}
	if err := disk.Create(f.fs, dir, disk.Identity{Member: 7}, first); err != nil {
		t.Fatal(err)
	}
	f.fs.crash(0, false, false)
	f.want = raft.Saved{Snapshot: first}
	f.open(t)
}

// open opens the store and checks that it contains the acknowledged state.
func (f *crashTest) open(t *rapid.T) {
	store, id, saved, err := disk.Open(f.fs, dir)
	if err != nil {
		t.Fatalf("open after a crash failed: %v", err)
	}
	if id.Member != 7 || saved.State != f.want.State || saved.Snapshot.Index != f.want.Snapshot.Index {
		t.Fatalf("got %+v, want %+v", saved, f.want)
	}
	if fmt.Sprint(saved.Entries) != fmt.Sprint(f.want.Entries) {
		t.Fatalf("got entries %v, want %v", saved.Entries, f.want.Entries)
	}
	f.store = store
}

func (f *crashTest) last() uint64 { return f.want.Snapshot.Index + uint64(len(f.want.Entries)) }

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d/%d", index, term)}
}

func (f *crashTest) append(t *rapid.T, n int) {
	var es []raft.Entry
	for i := range n {
		es = append(es, entry(f.last()+uint64(i)+1, f.want.State.Term))
	}
	if err := f.store.Append(time.Now(), nil, es); err != nil {
		t.Fatal(err)
	}
	f.want.Entries = append(f.want.Entries, es...)
}

func (f *crashTest) vote(t *rapid.T) {
	s := raft.State{Term: f.want.State.Term + 1, Vote: 3}
	if err := f.store.Append(time.Now(), &s, nil); err != nil {
		t.Fatal(err)
	}
	f.want.State = s
}

// replaceTail overwrites the last entries, as a new leader may do.
func (f *crashTest) replaceTail(t *rapid.T) {
	if len(f.want.Entries) == 0 {
		return
	}
	keep := rapid.IntRange(0, len(f.want.Entries)-1).Draw(t, "keep")
	f.want.Entries = f.want.Entries[:keep:keep]
	f.vote(t)
	f.append(t, 1)
}

func (f *crashTest) compact(t *rapid.T) {
	keep := rapid.IntRange(0, len(f.want.Entries)).Draw(t, "keep")
	at := len(f.want.Entries) - keep
	f.want.Snapshot = raft.Snapshot{Index: f.want.Snapshot.Index + uint64(at), Term: 1}
	f.want.Entries = append([]raft.Entry(nil), f.want.Entries[at:]...)
	if err := f.store.Compact(f.want.Snapshot, f.want.State, f.want.Entries); err != nil {
		t.Fatal(err)
	}
}

func (f *crashTest) crash(t *rapid.T) {
	f.fs.crash(0, false, rapid.Bool().Draw(t, "keep names"))
	f.open(t)
}

// crashInAppend tears an unsynced write, of which nothing may remain.
func (f *crashTest) crashInAppend(t *rapid.T) {
	f.fs.failSync = true
	err := f.store.Append(time.Now(), nil, []raft.Entry{entry(f.last()+1, 99)})
	if err == nil {
		t.Fatal("Append ignored a failed sync")
	}
	f.fs.failSync = false
	if err := f.store.Append(time.Now(), nil, []raft.Entry{entry(f.last()+1, 99)}); err == nil {
		t.Fatal("store accepted entries after a failed sync")
	}
	f.fs.crash(rapid.IntRange(0, 20).Draw(t, "tear"), rapid.Bool().Draw(t, "garble"), true)
	f.open(t)
}

func TestCorruptionBeforeTailIsRejected(t *testing.T) {
	is := is.New(t)
	m := newMemFS()
	is.NoErr(disk.Create(m, dir, disk.Identity{Member: 7}, raft.Snapshot{Index: 1, Term: 1}))
	s, _, _, err := disk.Open(m, dir)
	is.NoErr(err)
	for i := range uint64(3) {
		is.NoErr(s.Append(time.Now(), nil, []raft.Entry{entry(i+2, 1)}))
	}
	m.names[dir+"/log"].data[20] ^= 1
	_, _, _, err = disk.Open(m, dir)
	var corruption *disk.CorruptionError
	is.True(errors.As(err, &corruption)) // a torn last record has no valid records after it
}

func TestMissingLogIsNotEmptyFolder(t *testing.T) {
	is := is.New(t)
	m := newMemFS()
	is.NoErr(disk.Create(m, dir, disk.Identity{Member: 7}, raft.Snapshot{Index: 1, Term: 1}))
	delete(m.names, dir+"/log")
	_, _, _, err := disk.Open(m, dir)
	var corruption *disk.CorruptionError
	is.True(errors.As(err, &corruption))
	is.True(!errors.Is(err, fs.ErrNotExist)) // the host must not start as a new member
	_, _, _, err = disk.Open(newMemFS(), dir)
	is.True(errors.Is(err, fs.ErrNotExist))
}

// The write time of the last entry of a term survives a compaction and a restart, even if
// the entry itself was compacted, because the end of budget holders is assessed by it.
func TestWrittenOutlivesCompaction(t *testing.T) {
	is := is.New(t)
	fsys := newMemFS()
	is.NoErr(disk.Create(fsys, dir, disk.Identity{Member: 7}, raft.Snapshot{Index: 1, Term: 1}))
	s, _, saved, err := disk.Open(fsys, dir)
	is.NoErr(err)
	is.Equal(len(saved.Written), 0)
	before := time.Now()
	for i := range 4 {
		is.NoErr(s.Append(time.Now(), nil, []raft.Entry{{Index: uint64(2 + i), Term: uint64(1 + i/2)}}))
	}
	s.NoteTimes(time.Now(), []raft.Entry{{Index: 6, Term: 3}})
	tail := []raft.Entry{{Index: 5, Term: 2}, {Index: 6, Term: 3}}
	is.NoErr(s.Compact(raft.Snapshot{Index: 4, Term: 2}, raft.State{Term: 2}, tail))
	is.NoErr(s.Close())
	_, _, saved, err = disk.Open(fsys, dir)
	is.NoErr(err)
	is.Equal(len(saved.Entries), 2)
	for term, index := range map[uint64]uint64{1: 3, 2: 5, 3: 6} {
		is.Equal(saved.Written[term].Index, index)
		is.True(!saved.Written[term].At.Before(before.Round(0)))
	}
}
