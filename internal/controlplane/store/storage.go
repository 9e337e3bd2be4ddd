package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"
	"sync"

	lerrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/storage"
)

const (
	currentName = "CURRENT"     // names the manifest in force
	pendingName = "CURRENT.new" // about to take its place
)

// folderStorage has the database's files in a Folder. It differs from the library's own storage in what a loss of power may
// take: a file's name is synced with the first sync of its content, so that nothing which was synced can be lost with the
// name; and the manifest in force is never guessed from older names.
type folderStorage struct {
	folder Folder
	lock   sync.Mutex
	locked bool
}

// suffixes of the kinds of files, as the library forms them.
var suffixes = map[storage.FileType]string{storage.TypeJournal: ".log", storage.TypeTable: ".ldb", storage.TypeTemp: ".tmp"}

func fileName(fd storage.FileDesc) string {
	if fd.Type == storage.TypeManifest {
		return fmt.Sprintf("MANIFEST-%06d", fd.Num)
	}
	return fmt.Sprintf("%06d%s", fd.Num, suffixes[fd.Type])
}

// parseName is the inverse of fileName.
func parseName(name string) (fd storage.FileDesc, ok bool) {
	if _, err := fmt.Sscanf(name, "MANIFEST-%d", &fd.Num); err == nil {
		fd.Type = storage.TypeManifest
		return fd, fileName(fd) == name
	}
	for kind, suffix := range suffixes {
		if !strings.HasSuffix(name, suffix) {
			continue
		}
		if _, err := fmt.Sscanf(name, "%d", &fd.Num); err == nil {
			fd.Type = kind
			return fd, fileName(fd) == name
		}
	}
	return storage.FileDesc{}, false
}

// Lock implements storage.Storage.
func (f *folderStorage) Lock() (storage.Locker, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.locked {
		return nil, storage.ErrLocked
	}
	f.locked = true
	return unlocker{f}, nil
}

type unlocker struct{ f *folderStorage }

// Unlock implements storage.Locker.
func (u unlocker) Unlock() {
	u.f.lock.Lock()
	defer u.f.lock.Unlock()
	u.f.locked = false
}

// Log implements storage.Storage. The library's log of its housekeeping is dropped.
func (f *folderStorage) Log(string) {}

// SetMeta implements storage.Storage: it puts a manifest in force, once that is on disk. The library writes a new one at
// each open and does not sync it.
func (f *folderStorage) SetMeta(fd storage.FileDesc) error {
	if !storage.FileDescOk(fd) {
		return storage.ErrInvalidFile
	}
	if err := f.syncFile(fileName(fd)); err != nil {
		return fmt.Errorf("syncing the manifest: %w", err)
	}
	w, err := f.folder.Create(pendingName)
	if err != nil {
		return err
	}
	_, err = io.WriteString(w, fileName(fd)+"\n")
	if err = errors.Join(err, w.Sync(), w.Close()); err != nil {
		return err
	}
	if err := f.folder.Sync(); err != nil { // the manifest's name is synced before the file that refers to it
		return err
	}
	if err := f.folder.Rename(pendingName, currentName); err != nil {
		return err
	}
	return f.folder.Sync()
}

func (f *folderStorage) syncFile(name string) error {
	file, err := f.folder.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// GetMeta implements storage.Storage. A folder without a manifest in force is new if nothing was ever written to it, and
// corrupted otherwise.
func (f *folderStorage) GetMeta() (storage.FileDesc, error) {
	names, err := f.folder.List()
	if err != nil {
		return storage.FileDesc{}, err
	}
	if !slices.Contains(names, currentName) {
		return storage.FileDesc{}, f.removeUnusedManifests(names)
	}
	content, err := readFile(f.folder, currentName)
	if err != nil {
		return storage.FileDesc{}, err
	}
	name, complete := strings.CutSuffix(string(content), "\n")
	fd, ok := parseName(name)
	if !complete || !ok || fd.Type != storage.TypeManifest {
		return storage.FileDesc{}, corrupted(fmt.Sprintf("the manifest in force is said to be %q", content))
	}
	if !slices.Contains(names, name) {
		return storage.FileDesc{}, corrupted(name + " is in force and does not exist")
	}
	return fd, nil
}

// removeUnusedManifests makes sure that a folder without a manifest in force is a new one, and returns fs.ErrNotExist for
// it. Power may have been lost while its first manifest was written, before anything else could be; that manifest is of no
// use.
func (f *folderStorage) removeUnusedManifests(names []string) error {
	var manifests []string
	for _, name := range names {
		fd, ok := parseName(name)
		switch {
		case ok && (fd.Type == storage.TypeJournal || fd.Type == storage.TypeTable):
			return corrupted("no manifest is in force")
		case ok:
			manifests = append(manifests, name)
		}
	}
	for _, name := range manifests {
		if err := f.folder.Remove(name); err != nil {
			return err
		}
	}
	return fs.ErrNotExist
}

func corrupted(what string) error {
	return lerrors.NewErrCorrupted(storage.FileDesc{Type: storage.TypeManifest}, errors.New(what))
}

func readFile(folder Folder, name string) ([]byte, error) {
	file, err := folder.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(file)
}

// List implements storage.Storage.
func (f *folderStorage) List(kinds storage.FileType) (list []storage.FileDesc, err error) {
	names, err := f.folder.List()
	for _, name := range names {
		if fd, ok := parseName(name); ok && fd.Type&kinds != 0 {
			list = append(list, fd)
		}
	}
	return list, err
}

// Open implements storage.Storage.
func (f *folderStorage) Open(fd storage.FileDesc) (storage.Reader, error) {
	if !storage.FileDescOk(fd) {
		return nil, storage.ErrInvalidFile
	}
	return f.folder.Open(fileName(fd))
}

// Create implements storage.Storage.
func (f *folderStorage) Create(fd storage.FileDesc) (storage.Writer, error) {
	if !storage.FileDescOk(fd) {
		return nil, storage.ErrInvalidFile
	}
	file, err := f.folder.Create(fileName(fd))
	if err != nil {
		return nil, err
	}
	return &namedWriter{File: file, folder: f.folder}, nil
}

// namedWriter syncs a new file's entry in the folder with the first sync of its content.
type namedWriter struct {
	File
	folder Folder
	named  bool
}

// Sync implements storage.Syncer.
func (w *namedWriter) Sync() error {
	if err := w.File.Sync(); err != nil || w.named {
		return err
	}
	if err := w.folder.Sync(); err != nil {
		return err
	}
	w.named = true
	return nil
}

// Remove implements storage.Storage.
func (f *folderStorage) Remove(fd storage.FileDesc) error {
	if !storage.FileDescOk(fd) {
		return storage.ErrInvalidFile
	}
	return f.folder.Remove(fileName(fd))
}

// Rename implements storage.Storage.
func (f *folderStorage) Rename(from, to storage.FileDesc) error {
	if !storage.FileDescOk(from) || !storage.FileDescOk(to) {
		return storage.ErrInvalidFile
	}
	if err := f.folder.Rename(fileName(from), fileName(to)); err != nil {
		return err
	}
	return f.folder.Sync()
}

// Close implements storage.Storage.
func (f *folderStorage) Close() error { return f.folder.Close() }
