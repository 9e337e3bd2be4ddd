package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// Folder is a folder as the store needs it. Files that were created, renamed or removed are durable once Sync has returned;
// what was written to a file, once the file's own Sync has.
type Folder interface {
	Create(name string) (File, error) // for writing, empty
	Append(name string) (File, error) // for writing at its end; created if it does not exist
	Open(name string) (File, error)   // for reading, or for a Sync
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	Sync() error
	Close() error
}

// File is one file of a Folder.
type File interface {
	io.Reader
	io.ReaderAt
	io.Seeker
	io.Writer
	io.Closer
	Sync() error
}

const lockName = "LOCK"

// osFolder is a folder of the operating system, locked against other processes.
type osFolder struct {
	path string
	lock *os.File
}

// openFolder opens a folder and locks it. Several processes may have it open read-only.
func openFolder(path string, readOnly bool) (*osFolder, error) {
	flags, how := os.O_RDWR|os.O_CREATE, syscall.LOCK_EX
	if readOnly {
		flags, how = os.O_RDONLY, syscall.LOCK_SH
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), flags, 0o644)
	if err != nil {
		return nil, fmt.Errorf("locking a folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), how|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%s is in use: %w", path, err)
	}
	return &osFolder{path, lock}, nil
}

func (f *osFolder) name(name string) string { return filepath.Join(f.path, name) }

// Create implements Folder.
func (f *osFolder) Create(name string) (File, error) {
	return os.OpenFile(f.name(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
}

// Append implements Folder.
func (f *osFolder) Append(name string) (File, error) {
	return os.OpenFile(f.name(name), os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
}

// Open implements Folder.
func (f *osFolder) Open(name string) (File, error) { return os.Open(f.name(name)) }

// Rename implements Folder.
func (f *osFolder) Rename(from, to string) error { return os.Rename(f.name(from), f.name(to)) }

// Remove implements Folder.
func (f *osFolder) Remove(name string) error { return os.Remove(f.name(name)) }

// List implements Folder.
func (f *osFolder) List() ([]string, error) {
	files, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(files))
	for _, file := range files {
		names = append(names, file.Name())
	}
	return names, nil
}

// Sync implements Folder.
func (f *osFolder) Sync() error { return syncDir(f.path) }

// Close implements Folder.
func (f *osFolder) Close() error { return f.lock.Close() }

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := errors.Join(dir.Sync(), dir.Close()); err != nil {
		return fmt.Errorf("store: syncing %s: %w", path, err)
	}
	return nil
}

// makeFolder creates a folder, durably, with the folders around it.
func makeFolder(path string) error {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	parent := filepath.Dir(path)
	return errors.Join(syncDir(parent), syncDir(filepath.Dir(parent)))
}
