package disk

import (
	"errors"
	"io/fs"

	"github.com/gravitational/trace"
)

// Value is a file in a data folder that contains one value. Save replaces it atomically.
type Value[T any] struct {
	store *Store
	name  string
}

// NewValue returns the value in the file name of a folder.
func NewValue[T any](fsys FS, dir, name string) Value[T] {
	return Value[T]{store: &Store{fs: fsys, dir: dir}, name: name}
}

// Load reads the value and makes it durable. It returns the zero value if the file does not exist.
func (v Value[T]) Load() (T, error) {
	var x T
	err := v.store.readFramed(v.name, &x)
	if errors.Is(err, fs.ErrNotExist) {
		return x, nil
	}
	if err == nil {
		// The file was synced before it was renamed, but its new name may not be.
		err = trace.Wrap(v.store.fs.SyncDir(v.store.dir))
	}
	return x, err
}

// Save writes and syncs the value.
func (v Value[T]) Save(x T) error { return v.store.replace(v.name, x) }
