package disk

import (
	"errors"
	"io/fs"

	"github.com/gravitational/trace"
)

// Journal is a file of records in a data folder. A record lasts once Append has
// returned.
type Journal struct {
	store *Store
	name  string
	file  File
	size  int64
	// failed is set by the first error; after it nothing may be answered for.
	failed error
}

// OpenJournal opens a journal, or makes an empty one, and hands each whole record
// to a function. A torn tail is cut off.
func OpenJournal(fsys FS, dir, name string, each func(payload []byte) error) (*Journal, error) {
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
		if err := each(payload); err != nil {
			return nil, &DamageError{File: j.store.path(name), Offset: int64(at), Message: err.Error()}
		}
		at += size
	}
	if wholeAfter(data, at) {
		return nil, &DamageError{File: j.store.path(name), Offset: int64(at), Message: "a record is damaged and whole ones follow it"}
	}
	j.size = int64(at)
	if err := j.open(); err != nil {
		return nil, err
	}
	return j, nil
}

// open opens the file for writing and cuts off what follows the last record.
func (j *Journal) open() error {
	f, err := j.store.fs.OpenAppend(j.store.path(j.name))
	if err != nil {
		return trace.Wrap(err)
	}
	j.file = f
	return trace.Wrap(f.Truncate(j.size))
}

// Append adds records. After an error the journal takes no more.
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

// Replace puts other records in the place of all that are there.
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
		err = j.open()
	}
	j.failed = err
	return err
}

// Size is the journal's length in bytes.
func (j *Journal) Size() int64 { return j.size }

// Close closes the file.
func (j *Journal) Close() error { return trace.Wrap(j.file.Close()) }
