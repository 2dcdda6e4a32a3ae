package disk_test

import (
	"bytes"
	"io/fs"
	"maps"
	"slices"

	"dotterelgap/io/disk"
)

// memFS is a file system that loses at a crash what was not synced: contents
// after the last sync of the file, names after the last sync of the folder.
type memFS struct {
	names  map[string]*inode
	synced map[string]*inode
	// failSync makes the next sync of a file fail.
	failSync bool
}

type inode struct {
	data   []byte
	synced []byte
}

func newMemFS() *memFS {
	return &memFS{names: map[string]*inode{}, synced: map[string]*inode{}}
}

// crash keeps what was synced, and of an unsynced tail the first tear bytes, of
// which the last may be garbage. Names that were not synced may last or not.
func (m *memFS) crash(tear int, garble, namesLast bool) {
	if namesLast {
		m.synced = maps.Clone(m.names)
	}
	m.names = maps.Clone(m.synced)
	for _, n := range m.names {
		n.crash(tear, garble)
	}
}

func (n *inode) crash(tear int, garble bool) {
	kept := slices.Clone(n.synced)
	if bytes.HasPrefix(n.data, n.synced) && len(n.data) > len(n.synced) {
		tail := slices.Clone(n.data[len(n.synced):])
		tail = tail[:min(tear, len(tail))]
		if garble && len(tail) > 0 {
			tail[len(tail)-1] ^= 0xff
		}
		kept = append(kept, tail...)
	}
	n.data = kept
	n.synced = slices.Clone(kept)
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) ReadFile(name string) ([]byte, error) {
	n, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

func (m *memFS) Create(name string) (disk.File, error) {
	n := &inode{}
	m.names[name] = n
	return &memFile{fs: m, n: n}, nil
}

func (m *memFS) OpenAppend(name string) (disk.File, error) {
	n, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &memFile{fs: m, n: n}, nil
}

func (m *memFS) Rename(from, to string) error {
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) SyncDir(string) error {
	m.synced = maps.Clone(m.names)
	return nil
}

type memFile struct {
	fs *memFS
	n  *inode
}

func (f *memFile) Write(p []byte) (int, error) {
	f.n.data = append(f.n.data, p...)
	return len(p), nil
}

func (f *memFile) Sync() error {
	if f.fs.failSync {
		return fs.ErrInvalid
	}
	f.n.synced = slices.Clone(f.n.data)
	return nil
}

func (f *memFile) Truncate(size int64) error {
	f.n.data = f.n.data[:size]
	return nil
}

func (f *memFile) Close() error { return nil }
