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
	currentName = "CURRENT"     // contains the name of the current manifest
	pendingName = "CURRENT.new" // renamed to CURRENT once it is synced
)

// folderStorage implements goleveldb's storage.Storage on a Folder. It is stricter than the library's own storage about
// power loss: the first sync of a file also syncs its directory entry, so that synced content can't be lost with the name,
// and the current manifest is never guessed from old files.
type folderStorage struct {
	folder Folder
	lock   sync.Mutex
	locked bool
}

// suffixes are goleveldb's file name suffixes.
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

// Log implements storage.Storage. It discards the library's log messages.
func (f *folderStorage) Log(string) {}

// SetMeta implements storage.Storage. It syncs the manifest before CURRENT refers to it, since the library writes a new
// manifest at each open and does not sync it.
func (f *folderStorage) SetMeta(fd storage.FileDesc) error {
	if !storage.FileDescOk(fd) {
		return storage.ErrInvalidFile
	}
	if err := f.syncFile(fileName(fd)); err != nil {
		return fmt.Errorf("syncing the manifest: %w", err)
	}
	file, err := f.folder.Create(pendingName)
	if err != nil {
		return err
	}
	_, err = io.WriteString(file, fileName(fd)+"\n")
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
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

// GetMeta implements storage.Storage. It returns fs.ErrNotExist for a folder without CURRENT that holds no data, and an
// ErrCorrupted for one that does.
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
		return storage.FileDesc{}, newCorruptedError(fmt.Sprintf("CURRENT contains %q, which is not the name of a manifest", content))
	}
	if !slices.Contains(names, name) {
		return storage.FileDesc{}, newCorruptedError(name + " does not exist, but CURRENT refers to it")
	}
	return fd, nil
}

// removeUnusedManifests returns fs.ErrNotExist if a folder without CURRENT has no journal or table, and an ErrCorrupted
// otherwise. It removes manifests, which a power loss during the creation of the database may leave.
func (f *folderStorage) removeUnusedManifests(names []string) error {
	var manifests []string
	for _, name := range names {
		fd, ok := parseName(name)
		switch {
		case ok && (fd.Type == storage.TypeJournal || fd.Type == storage.TypeTable):
			return newCorruptedError("the folder has data files but no CURRENT")
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

func newCorruptedError(reason string) error {
	return lerrors.NewErrCorrupted(storage.FileDesc{Type: storage.TypeManifest}, errors.New(reason))
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
	return &createdFile{File: file, folder: f.folder}, nil
}

// createdFile is a new file whose first Sync also syncs its directory entry.
type createdFile struct {
	File
	folder     Folder
	nameSynced bool
}

// Sync implements storage.Syncer.
func (w *createdFile) Sync() error {
	if err := w.File.Sync(); err != nil || w.nameSynced {
		return err
	}
	if err := w.folder.Sync(); err != nil {
		return err
	}
	w.nameSynced = true
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
