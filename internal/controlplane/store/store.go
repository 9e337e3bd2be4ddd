// Package store persists the Raft state of a quorum member: the hard state and the log entries in goleveldb, and large
// snapshots in files in the same folder. Package server writes it while a member runs, and package backup when it restores
// a member.
//
// Once Save has returned without an error, its data and the directory entries of all files that hold it are synced. Loading
// discards a torn last write and fails on any other corruption, so that wrong data is never served.
//
// Each record has a checksum of its key and value in addition to the library's checksums, so that a record under the wrong
// key is detected as well. The folder stores its format: older formats are upgraded at the first open, and folders of a
// newer format are rejected unchanged.
//
//	store.go     open, close, inspect
//	load.go      loading at open
//	save.go      atomic batches; incremental deletion of obsolete entries
//	record.go    keys, checksums, formats
//	snapshot.go  snapshots in files: staged, or received in chunks
//	storage.go   goleveldb's storage in a Folder
//	folder.go    Folder, and its implementation on the operating system's files
package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/syndtr/goleveldb/leveldb"
	lerrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// Store is the persistent Raft state of one member. Only Stage and Receive are safe for concurrent use.
type Store struct {
	folder   Folder
	db       *leveldb.DB
	last     uint64       // index of the last stored entry; 0 if there is none
	obsolete []indexRange // entries that later Saves delete
	first    uint64       // index of the oldest entry that is not obsolete
	// snapshotFile is the name of the current snapshot's file. It is empty if the data is in the record.
	snapshotFile string
	noChecksums  bool   // the folder's records have no checksums
	format       uint32 // the folder's format; 0 if it stores none

	ID        uint64 // the member's identity, a random number
	Fresh     bool   // the folder was empty, and ID is new
	Damaged   error  // corruption that made Open replace the folder; nil if it did not
	HardState *wire.HardState
	Snapshot  *wire.RaftSnapshot
	Tail      []*wire.Entry // kept entries up to the snapshot's index, as loaded
	Entries   []*wire.Entry // entries after the snapshot, as loaded; owned by the caller

	Departures []*wire.Departure // departures that were not in the log when they were stored, as loaded
}

// options returns options with small buffers and caches: the state has a few megabytes at most.
func options() *opt.Options {
	return &opt.Options{
		WriteBuffer: 512 << 10, BlockCacheCapacity: 256 << 10, OpenFilesCacheCapacity: 16,
		CompactionTableSize: 512 << 10, Compression: opt.NoCompression, Strict: opt.StrictJournalChecksum,
	}
}

// Open opens the store in the folder "log" of a directory and loads its content. It renames a corrupted folder to
// "log.damaged" and returns an empty store with a new identity and Damaged set.
func Open(dir string, rng *rand.Rand) (*Store, error) {
	dir = filepath.Join(dir, "log")
	damagedDir := dir + ".damaged"
	_, statErr := os.Stat(dir)
	if err := makeFolder(dir); err != nil {
		return nil, err
	}
	if _, err := os.Stat(damagedDir); err == nil && errors.Is(statErr, os.ErrNotExist) {
		// Power was lost after the corrupted folder was renamed and before the new one was synced.
		return openReplacement(dir, rng, fmt.Errorf("store: %s: %w", damagedDir, errCorrupted))
	}
	s, err := openPath(dir, rng)
	if err == nil || !isCorruption(err) {
		return s, err
	}
	// Lost records can't be distinguished from records that were never written. The member starts empty with a new identity,
	// and the corrupted folder is kept for inspection.
	if err := os.RemoveAll(damagedDir); err != nil {
		return nil, fmt.Errorf("store: removing the previous corrupted folder: %w", err)
	}
	if err := os.Rename(dir, damagedDir); err != nil {
		return nil, fmt.Errorf("store: renaming the corrupted folder: %w", err)
	}
	if err := makeFolder(dir); err != nil {
		return nil, err
	}
	return openReplacement(dir, rng, err)
}

// openReplacement opens the empty folder that replaces a corrupted one, and sets Damaged to cause.
func openReplacement(dir string, rng *rand.Rand, cause error) (*Store, error) {
	s, err := openPath(dir, rng)
	if err != nil {
		return nil, err
	}
	s.Damaged = cause
	return s, nil
}

func openPath(dir string, rng *rand.Rand) (*Store, error) {
	folder, err := openFolder(dir, false)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s, err := OpenFolder(folder, rng)
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", dir, errors.Join(err, folder.Close()))
	}
	return s, nil
}

// OpenFolder opens the store in a folder, which Close closes as well. It returns an error if the folder is corrupted.
func OpenFolder(folder Folder, rng *rand.Rand) (*Store, error) {
	s := &Store{folder: folder}
	if err := s.open(); err != nil {
		return nil, err
	}
	if err := s.load(rng); err != nil {
		return nil, errors.Join(err, s.db.Close())
	}
	return s, nil
}

func (s *Store) open() error {
	db, err := leveldb.Open(&folderStorage{folder: s.folder}, options())
	if err == nil {
		s.db = db
	}
	return err
}

// errCorrupted is wrapped by errors about content that is invalid or inconsistent.
var errCorrupted = errors.New("damaged")

// isCorruption reports whether an error is due to corrupted content rather than to a failed operation of the disk.
func isCorruption(err error) bool {
	var corrupted *lerrors.ErrCorrupted
	return errors.Is(err, errCorrupted) || errors.As(err, &corrupted) || lerrors.IsCorrupted(err)
}

// Reopen closes and reopens the database after a failed write, which is then either stored completely or missing. Closing
// waits for the library's goroutines, so the folder never has two writers.
//
// After a failed write, the library's compaction returns an unused file number with a read that is not synchronized with
// other allocations, which the race detector reports. It does not affect stored data: the number is set by compare-and-swap,
// which fails after a stale read and is retried.
func (s *Store) Reopen() error {
	s.db.Close()
	return s.open()
}

// Close closes the database and the folder.
func (s *Store) Close() error { return errors.Join(s.db.Close(), s.folder.Close()) }

// Inspect loads the folder of a stopped member without modifying it. The returned store is closed.
func Inspect(dir string) (*Store, error) {
	dir = filepath.Join(dir, "log")
	folder, err := openFolder(dir, true)
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", dir, err)
	}
	defer folder.Close()
	opts := options()
	opts.ReadOnly = true
	db, err := leveldb.Open(&folderStorage{folder: folder}, opts)
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", dir, err)
	}
	defer db.Close()
	s := &Store{folder: folder, db: db}
	if _, err := db.Get(keyID, nil); err != nil {
		return nil, fmt.Errorf("store: %s: no identity: %w", dir, err)
	}
	if err := s.load(nil); err != nil {
		return nil, fmt.Errorf("store: %s: %w", dir, err)
	}
	return s, nil
}

// Verify checks what loading does not: that the terms of the entries never decrease or exceed the hard state's term, and
// that every entry can be decoded.
func (s *Store) Verify() error {
	term := s.Snapshot.GetTerm()
	for _, entry := range s.Entries {
		if entry.Term < term || entry.Term > s.HardState.GetTerm() {
			return fmt.Errorf("store: %w: entry %d has term %d, want at least %d and at most %d", errCorrupted, entry.Index, entry.Term, term, s.HardState.GetTerm())
		}
		term = entry.Term
		var message proto.Message = new(wire.Command)
		if entry.Kind == wire.Entry_MEMBERSHIP {
			message = new(wire.Peers)
		}
		if err := proto.Unmarshal(entry.Data, message); err != nil {
			return fmt.Errorf("store: %w: decoding entry %d: %w", errCorrupted, entry.Index, err)
		}
	}
	return nil
}
