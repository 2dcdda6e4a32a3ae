package disk

import (
	"errors"
	"io/fs"

	"github.com/gravitational/trace"
)

// Journal is a file of records in a data folder. A record is durable once Append has
// returned.
type Journal struct {
	store *Store
	name  string
	file  File
	size  int64
	// failed is the first write error. After it, no record may be acknowledged.
	failed error
}

// OpenJournal opens a journal, or creates an empty one, and calls fn with each valid
// record. It truncates a torn last record and makes what it has read durable.
func OpenJournal(fsys FS, dir, name string, fn func(payload []byte) error) (*Journal, error) {
	j := &Journal{store: &Store{fs: fsys, dir: dir}, name: name}
	data, err := fsys.ReadFile(j.store.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		err = j.store.replaceRaw(name, nil)
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	at := 0
	for {
		payload, size, ok := unframe(data[at:])
		if !ok {
			break
		}
		if err := fn(payload); err != nil {
			return nil, &CorruptionError{File: j.store.path(name), Offset: int64(at), Message: err.Error()}
		}
		at += size
	}
	if hasRecordAfter(data, at) {
		return nil, &CorruptionError{File: j.store.path(name), Offset: int64(at), Message: "valid records follow an invalid one"}
	}
	j.size = int64(at)
	if j.file, err = j.store.openRead(j.store.path(name), j.size); err != nil {
		return nil, err
	}
	return j, nil
}

// Append appends records. After an error, the journal accepts no more.
func (j *Journal) Append(payloads ...[]byte) error {
	if j.failed != nil {
		return j.failed
	}
	var data []byte
	for _, p := range payloads {
		data = append(data, frame(p)...)
	}
	err := writeAll(j.file, data)
	if err == nil {
		err = j.file.Sync()
	}
	if err != nil {
		j.failed = trace.Wrap(err)
		return j.failed
	}
	j.size += int64(len(data))
	return nil
}

// Replace replaces all records.
func (j *Journal) Replace(payloads [][]byte) error {
	if j.failed != nil {
		return j.failed
	}
	var data []byte
	for _, p := range payloads {
		data = append(data, frame(p)...)
	}
	err := errors.Join(j.store.replaceRaw(j.name, data), j.file.Close())
	j.size = int64(len(data))
	if err == nil {
		j.file, err = j.store.fs.OpenAppend(j.store.path(j.name))
	}
	j.failed = trace.Wrap(err)
	return j.failed
}

// Size returns the size of the journal, in bytes.
func (j *Journal) Size() int64 { return j.size }

// Close closes the file.
func (j *Journal) Close() error { return trace.Wrap(j.file.Close()) }
