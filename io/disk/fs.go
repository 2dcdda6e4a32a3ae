package disk

import (
	"io"
	"os"
	"path/filepath"
)

// File is an open file of an FS.
type File interface {
	io.Writer
	io.Closer
	// Sync makes everything written so far durable.
	Sync() error
	Truncate(size int64) error
}

// FS is the part of a file system that the store needs.
type FS interface {
	MkdirAll(dir string) error
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file for writing.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	Rename(from, to string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(dir string) error
}

type osFS struct{}

// OS returns the operating system's file system.
func OS() FS { return osFS{} }

func (osFS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

func (osFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

func (osFS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

func (osFS) OpenAppend(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0o600)
}

func (osFS) Rename(from, to string) error { return os.Rename(from, to) }

func (osFS) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	if err := d.Sync(); err != nil {
		_ = d.Close()
		return err
	}
	return d.Close()
}
