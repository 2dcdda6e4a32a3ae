package disk

import (
	"errors"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"dotterelgap/core/codec"
	"dotterelgap/core/raft"

	"github.com/gravitational/trace"
)

// The files of a data folder.
const (
	identityFile = "identity"
	snapshotFile = "snapshot"
	logFile      = "log"
	tempSuffix   = ".new"
)

// Store is a control host's data folder.
type Store struct {
	fs  FS
	dir string
	log File
	// written contains the write times of the last entries of recent terms.
	written map[uint64]raft.Written
	// failed is the first write error. After it, nothing may be acknowledged.
	failed error
	// openTime is how long the sync of the log took when it was opened.
	openTime time.Duration
}

// Identity is the permanent identity of a data folder.
type Identity struct {
	Member raft.MemberID `cbor:"member"`
}

// Open reads a data folder, truncates a torn last record and makes what it has read durable. For an
// empty folder, it returns an error that matches fs.ErrNotExist.
func Open(fsys FS, dir string) (*Store, Identity, raft.Saved, error) {
	s := &Store{fs: fsys, dir: dir}
	var id Identity
	var saved raft.Saved
	if err := s.readFramed(identityFile, &id); err != nil {
		return nil, id, saved, err
	}
	if err := s.readFramed(snapshotFile, &saved.Snapshot); err != nil {
		return nil, id, saved, corruptIfMissing(s.path(snapshotFile), err)
	}
	if err := s.openLog(&saved); err != nil {
		return nil, id, saved, err
	}
	s.written = maps.Clone(saved.Written)
	return s, id, saved, nil
}

// corruptIfMissing turns the error of a missing file into a CorruptionError, so that a
// folder with an identity is not treated as empty.
func corruptIfMissing(path string, err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return &CorruptionError{File: path, Message: "file is missing"}
	}
	return err
}

// Create creates a data folder with an identity and a first snapshot. It writes the
// identity last, because a folder without one is treated as empty.
func Create(fsys FS, dir string, id Identity, first raft.Snapshot) error {
	s := &Store{fs: fsys, dir: dir}
	if err := fsys.MkdirAll(dir); err != nil {
		return trace.Wrap(err)
	}
	if err := s.replace(snapshotFile, first); err != nil {
		return err
	}
	if err := s.replaceRaw(logFile, nil); err != nil {
		return err
	}
	return s.replace(identityFile, id)
}

func (s *Store) path(name string) string {
	return filepath.Join(s.dir, name)
}

func (s *Store) readFramed(name string, dst any) error {
	data, err := s.fs.ReadFile(s.path(name))
	if err != nil {
		return trace.Wrap(err)
	}
	payload, _, ok := unframe(data)
	if !ok {
		return &CorruptionError{File: s.path(name), Message: "invalid length or checksum"}
	}
	if err := codec.Unmarshal(payload, dst); err != nil {
		return &CorruptionError{File: s.path(name), Message: err.Error()}
	}
	return nil
}

func (s *Store) openLog(saved *raft.Saved) error {
	name := s.path(logFile)
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return corruptIfMissing(name, err)
	}
	end, err := scan(data, func(r record) error { return merge(saved, r) })
	if err != nil {
		return &CorruptionError{File: name, Offset: int64(end), Message: err.Error()}
	}
	if end < len(data) && hasRecordAfter(data, end) {
		return &CorruptionError{File: name, Offset: int64(end), Message: "valid records follow an invalid one"}
	}
	s.log, err = s.openRead(name, int64(end))
	return err
}

// openRead opens a file that was read for appending, cuts it after its last valid record, and makes
// it and the names of the folder durable. A process that was killed may have written or renamed what
// was read without a sync, and a loss of power could still undo that.
func (s *Store) openRead(name string, size int64) (File, error) {
	f, err := s.fs.OpenAppend(name)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	began := time.Now()
	if err = f.Truncate(size); err == nil {
		err = f.Sync()
	}
	s.openTime = time.Since(began)
	if err == nil {
		err = s.fs.SyncDir(s.dir)
	}
	if err != nil {
		_ = f.Close()
		return nil, trace.Wrap(err)
	}
	return f, nil
}

// merge applies a record of the log to the saved state.
func merge(saved *raft.Saved, r record) error {
	if r.Written != nil {
		saved.Written = r.Written
	} else {
		saved.Written = updateWritten(saved.Written, r)
	}
	if r.State != nil {
		saved.State = *r.State
	}
	for _, e := range r.Entries {
		if e.Index <= saved.Snapshot.Index {
			continue
		}
		at := e.Index - saved.Snapshot.Index - 1
		if at > uint64(len(saved.Entries)) {
			return &GapError{Index: e.Index}
		}
		saved.Entries = append(saved.Entries[:at], e)
	}
	return nil
}

// keptTerms is the number of recent terms whose write times are kept.
const keptTerms = 8

// updateWritten records the write time of the last entry of a record.
func updateWritten(written map[uint64]raft.Written, r record) map[uint64]raft.Written {
	n := len(r.Entries)
	if n == 0 {
		return written
	}
	if written == nil {
		written = map[uint64]raft.Written{}
	}
	last := r.Entries[n-1]
	written[last.Term] = raft.Written{At: r.At, Index: last.Index}
	if len(written) > keptTerms {
		delete(written, slices.Min(slices.Collect(maps.Keys(written))))
	}
	return written
}

// Append writes a batch and returns once it is synced. at is when the first of the entries reached
// this host. An entry replaces those of its index and after it. After an error, the store rejects all
// writes, because the state of the file after a failed sync is unknown.
func (s *Store) Append(at time.Time, state *raft.State, entries []raft.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	r := record{State: state, Entries: entries, At: at.Round(0)}
	s.written = updateWritten(s.written, r)
	payload, err := codec.Marshal(r)
	if err != nil {
		return s.fail(err)
	}
	framed := frame(payload)
	if err := writeAll(s.log, framed); err != nil {
		return s.fail(err)
	}
	return s.fail(s.log.Sync())
}

// NoteTimes records when entries reached this host that are only written by the next Compact.
func (s *Store) NoteTimes(at time.Time, entries []raft.Entry) {
	s.written = updateWritten(s.written, record{At: at.Round(0), Entries: entries})
}

// Compact replaces the snapshot and the log. It writes the snapshot first: a crash before
// the log is replaced is harmless, since Open skips log entries below the snapshot.
func (s *Store) Compact(snap raft.Snapshot, state raft.State, tail []raft.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.replace(snapshotFile, snap); err != nil {
		return s.fail(err)
	}
	payload, err := codec.Marshal(record{State: &state, Entries: tail, Written: s.written})
	if err != nil {
		return s.fail(err)
	}
	framed := frame(payload)
	if err := s.replaceRaw(logFile, framed); err != nil {
		return s.fail(err)
	}
	_ = s.log.Close()
	s.log, err = s.fs.OpenAppend(s.path(logFile))
	return s.fail(err)
}

// OpenTime returns how long the log file took to sync when it was opened: an early hint at how slow the
// disk is.
func (s *Store) OpenTime() time.Duration { return s.openTime }

// Close closes the log file.
func (s *Store) Close() error {
	return trace.Wrap(s.log.Close())
}

// fail records err unless it is nil. It returns the recorded error, if any.
func (s *Store) fail(err error) error {
	if err != nil {
		s.failed = trace.Wrap(err)
	}
	return s.failed
}

func (s *Store) replace(name string, v any) error {
	payload, err := codec.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.replaceRaw(name, frame(payload))
}

// replaceRaw writes and syncs a temporary file, renames it and syncs the folder, so that a
// crash leaves either the old file or the new one.
func (s *Store) replaceRaw(name string, data []byte) error {
	temp := s.path(name + tempSuffix)
	f, err := s.fs.Create(temp)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := writeAll(f, data); err != nil {
		_ = f.Close()
		return trace.Wrap(err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return trace.Wrap(err)
	}
	if err := f.Close(); err != nil {
		return trace.Wrap(err)
	}
	if err := s.fs.Rename(temp, s.path(name)); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.fs.SyncDir(s.dir))
}
