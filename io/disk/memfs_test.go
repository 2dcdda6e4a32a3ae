package disk_test

import (
	"bytes"
	"io/fs"
	"maps"
	"slices"

	"dotterelgap/io/disk"
)

// memFS is a file system that loses unsynced data in a crash: contents written after the
// last sync of the file and names changed after the last sync of the folder.
type memFS struct {
	names  map[string]*inode
	synced map[string]*inode
	// failSync makes all syncs of files fail.
	failSync bool
}

type inode struct {
	data   []byte
	synced []byte
}

func newMemFS() *memFS {
	return &memFS{names: map[string]*inode{}, synced: map[string]*inode{}}
}

// crash keeps the synced data and the first tear bytes of an unsynced tail, of which it
// corrupts the last byte if garble is set. It keeps unsynced names if keepNames is set.
func (m *memFS) crash(tear int, garble, keepNames bool) {
	if keepNames {
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
