// Package store keeps a quorum member's part of the log on disk: the hard state and the entries in goleveldb, and large
// snapshots in files beside it. Package server is its only writer.
//
// What Save has returned from without an error is synced, with the names of all files that it needs. A store that is
// corrupted beyond a torn last write does not open: a guess is never served.
//
// Each record has a checksum of its key and its value, beside those of the library, so that a record in another's place is
// found too. The folder names its format; an older one is upgraded at the first open, a newer one is rejected unchanged.
//
//	store.go     open, close, inspect
//	load.go      what is read at an open
//	save.go      batches; obsolete entries are deleted bit by bit
//	record.go    keys, checksums, formats
//	snapshot.go  snapshots in files: staged, received in chunks
//	storage.go   goleveldb's files in a Folder; folder.go a Folder of the operating system
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

// Store is one member's folder. It belongs to one goroutine, but for Stage and Receive, which any may call.
type Store struct {
	folder   Folder
	db       *leveldb.DB
	last     uint64       // index of the last entry stored; 0: none
	obsolete []indexRange // entries to be deleted bit by bit
	first    uint64       // index of the oldest entry in force
	// snapshotFile is the file with the data of the snapshot in force; empty: the data is in the record.
	snapshotFile string
	unsealed     bool   // records are of the first format, without checksums
	format       uint32 // of the records

	ID        uint64 // the identity, drawn when the folder was empty
	Fresh     bool   // the folder was empty
	Damaged   error  // why an earlier folder was moved aside; nil: none was
	HardState *wire.HardState
	Snapshot  *wire.RaftSnapshot
	Tail      []*wire.Entry // entries up to the snapshot's index, as far as they are kept; as loaded
	Entries   []*wire.Entry // entries after the snapshot; as loaded, the caller takes them over
}

// options keep memory small: the state has a few megabytes at most.
func options() *opt.Options {
	return &opt.Options{
		WriteBuffer: 512 << 10, BlockCacheCapacity: 256 << 10, OpenFilesCacheCapacity: 16,
		CompactionTableSize: 512 << 10, Compression: opt.NoCompression, Strict: opt.StrictJournalChecksum,
	}
}

// Open opens the store in the folder "log" of a directory and loads its content. A corrupted folder is moved aside, and
// the store begins empty, under a new identity: see Damaged.
func Open(dir string, rng *rand.Rand) (*Store, error) {
	dir = filepath.Join(dir, "log")
	aside := dir + ".damaged"
	_, missing := os.Stat(dir)
	if err := makeFolder(dir); err != nil {
		return nil, err
	}
	if _, err := os.Stat(aside); err == nil && errors.Is(missing, os.ErrNotExist) {
		// Power was lost after the folder was moved aside and before the new one was synced.
		return openReplacement(dir, rng, fmt.Errorf("store: %s: %w", aside, errCorrupted))
	}
	s, err := openPath(dir, rng)
	if err == nil || !isCorruption(err) {
		return s, err
	}
	// What is left can't be told from what was never there. The machine goes on as an empty one, under a new identity; the
	// folder is kept for inspection.
	if err := os.RemoveAll(aside); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if err := os.Rename(dir, aside); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if err := makeFolder(dir); err != nil {
		return nil, err
	}
	return openReplacement(dir, rng, err)
}

// openReplacement opens an empty folder in place of a corrupted one.
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

// OpenFolder opens the store in a folder, which Close closes as well. A corrupted one is an error.
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

// errCorrupted marks content that contradicts itself.
var errCorrupted = errors.New("damaged")

// isCorruption distinguishes corruption from a temporary failure of the disk.
func isCorruption(err error) bool {
	var corrupted *lerrors.ErrCorrupted
	return errors.Is(err, errCorrupted) || errors.As(err, &corrupted) || lerrors.IsCorrupted(err)
}

// Reopen closes the store and opens it again, after a write that failed: whether
// that write is there then is known again. Closing waits for the library's own
// goroutines, so there is never a second writer on the folder.
//
// After a failed write the library's compaction gives its unused file number back
// with a read that is not synchronised with other allocations; the race detector
// reports it. It harms nothing that is stored: the number is exchanged by compare
// and swap, which fails after a stale read and is tried again.
func (s *Store) Reopen() error {
	s.db.Close()
	return s.open()
}

// Close releases the folder.
func (s *Store) Close() error { return errors.Join(s.db.Close(), s.folder.Close()) }

// Inspect loads the folder of a stopped machine, and changes nothing in it.
func Inspect(dir string) (*Store, error) {
	dir = filepath.Join(dir, "log")
	folder, err := openFolder(dir, true)
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", dir, err)
	}
	defer folder.Close()
	o := options()
	o.ReadOnly = true
	db, err := leveldb.Open(&folderStorage{folder: folder}, o)
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

// Verify checks, beyond what loading does, that terms rise, none beyond the machine's own, and that every entry can be
// decoded.
func (s *Store) Verify() error {
	term := s.Snapshot.GetTerm()
	for _, e := range s.Entries {
		if e.Term < term || e.Term > s.HardState.GetTerm() {
			return fmt.Errorf("store: %w: entry %d has term %d after %d, in term %d", errCorrupted, e.Index, e.Term, term, s.HardState.GetTerm())
		}
		term = e.Term
		var m proto.Message = new(wire.Command)
		if e.Kind == wire.Entry_MEMBERSHIP {
			m = new(wire.Peers)
		}
		if err := proto.Unmarshal(e.Data, m); err != nil {
			return fmt.Errorf("store: %w: entry %d: %w", errCorrupted, e.Index, err)
		}
	}
	return nil
}
