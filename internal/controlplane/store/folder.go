package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// Folder is the file system interface of the store. Creations, renames and removals of files are durable once Sync has
// returned; writes to a file are durable once the file's own Sync has returned.
type Folder interface {
	Create(name string) (File, error) // truncates an existing file
	Append(name string) (File, error) // creates the file if it does not exist
	Open(name string) (File, error)   // opens the file for reading or Sync
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

// osFolder is a directory of the operating system, locked against other processes.
type osFolder struct {
	path string
	lock *os.File
}

// openFolder opens a folder and locks it without waiting: shared if readOnly is set, and exclusively otherwise.
func openFolder(path string, readOnly bool) (*osFolder, error) {
	flags, lockMode := os.O_RDWR|os.O_CREATE, syscall.LOCK_EX
	if readOnly {
		flags, lockMode = os.O_RDONLY, syscall.LOCK_SH
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), flags, 0o644)
	if err != nil {
		return nil, fmt.Errorf("opening the lock file: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), lockMode|syscall.LOCK_NB); err != nil {
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
	dirEntries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(dirEntries))
	for _, file := range dirEntries {
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

// makeFolder creates a folder and its missing parents, and syncs the two directories above it.
func makeFolder(path string) error {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	parent := filepath.Dir(path)
	return errors.Join(syncDir(parent), syncDir(filepath.Dir(parent)))
}
