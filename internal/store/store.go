// Package store keeps a core machine's part of the log on disk, in goleveldb.
// What Save returns from without an error is synced. A store that is damaged
// beyond a torn last write does not open: a guess is never served.
//
// Each record is sealed with a checksum of its key and its value, below those of
// the library: a record that stands in another's place is found too. The folder
// names its format; an older one is brought up at the first open, a newer one is
// left alone.
package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/syndtr/goleveldb/leveldb"
	lerrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/syndtr/goleveldb/leveldb/util"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/wire"
)

// The keys. Entries follow their prefix by index, big-endian.
var (
	keyID       = []byte("id")
	keyHard     = []byte("hard")
	keySnapshot = []byte("snapshot")
	keyFormat   = []byte("format")
	entryPrefix = byte('e')
)

// format is the newest that this version knows: 1 has sealed records. Folders of
// the first format name none.
const format = 1

// ErrNewer is a folder that a later version has written. Nothing in it is changed.
var ErrNewer = errors.New("written by a later version")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// seal puts a record's checksum in front of it.
func seal(key, value []byte) []byte {
	sum := crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(value)), sum), value...)
}

// unseal returns a record without its checksum.
func unseal(key, sealed []byte) ([]byte, error) {
	if len(sealed) < 4 || binary.BigEndian.Uint32(sealed) != crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, sealed[4:]) {
		return nil, fmt.Errorf("%w: the record %q fails its checksum", errDamaged, key)
	}
	return sealed[4:], nil
}

func entryKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{entryPrefix}, index)
}

// Store is one machine's folder. It is not for use by several goroutines.
type Store struct {
	dir   string
	db    *leveldb.DB
	files storage.Storage
	last  uint64 // index of the last entry stored; 0: none
	plain bool   // records are of the first format, without seals

	ID       uint64 // the identity, drawn when the folder was empty
	Fresh    bool   // the folder was empty
	Damaged  error  // why an earlier folder was put aside
	Hard     *wire.HardState
	Snapshot *wire.RaftSnapshot
	Entries  []*wire.Entry // as loaded; the caller takes them over
}

// options keep memory small: the state is a few megabytes at most.
func options() *opt.Options {
	return &opt.Options{
		WriteBuffer: 512 << 10, BlockCacheCapacity: 256 << 10, OpenFilesCacheCapacity: 16,
		CompactionTableSize: 512 << 10, Compression: opt.NoCompression, Strict: opt.StrictJournalChecksum,
	}
}

// Open opens the store in a folder and loads what it holds.
func Open(dir string, rng *rand.Rand) (*Store, error) {
	dir = filepath.Join(dir, "log")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &Store{dir: dir}
	err := s.open()
	if err == nil {
		if err = s.load(rng); err == nil {
			return s, nil
		}
		s.close()
		err = fmt.Errorf("store: %s: %w", dir, err)
	}
	if !damaged(err) {
		return nil, err
	}
	// What is left can't be told from what was never there. The machine goes on as
	// an empty one, under a new identity; the folder is kept for a look at it.
	aside := dir + ".damaged"
	if err := os.RemoveAll(aside); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if err := os.Rename(dir, aside); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if err := syncDir(filepath.Dir(dir)); err != nil {
		return nil, err
	}
	s = &Store{dir: dir, Damaged: err}
	if err := s.open(); err != nil {
		return nil, err
	}
	if err := s.load(rng); err != nil {
		s.close()
		return nil, fmt.Errorf("store: %s: %w", dir, err)
	}
	return s, nil
}

// errDamaged is content that contradicts itself.
var errDamaged = errors.New("damaged")

// damaged tells damage from a disk that fails for the moment.
func damaged(err error) bool {
	return errors.Is(err, errDamaged) || lerrors.IsCorrupted(errors.Unwrap(err)) || lerrors.IsCorrupted(err)
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return fmt.Errorf("store: syncing %s: %w", dir, err)
	}
	return nil
}

// close releases the database and its files.
func (s *Store) close() error { return errors.Join(s.db.Close(), s.files.Close()) }

func (s *Store) open() error {
	files, err := storage.OpenFile(s.dir, false)
	if err != nil {
		return fmt.Errorf("store: %s: %w", s.dir, err)
	}
	db, err := leveldb.Open(syncedMeta{files, s.dir}, options())
	if err != nil {
		files.Close()
		return fmt.Errorf("store: %s: %w", s.dir, err)
	}
	s.db, s.files = db, files
	return nil
}

// syncedMeta is the library's storage with one gap closed: when a store is
// opened, the library writes a new manifest and names it the current one without
// a sync of its own. After a loss of power the name would lead to a torn file.
type syncedMeta struct {
	storage.Storage
	dir string
}

// SetMeta makes a manifest the current one, once it is on disk.
func (s syncedMeta) SetMeta(fd storage.FileDesc) error {
	f, err := os.Open(filepath.Join(s.dir, fmt.Sprintf("MANIFEST-%06d", fd.Num)))
	if err != nil {
		return fmt.Errorf("syncing the manifest: %w", err)
	}
	err = f.Sync()
	f.Close()
	if err != nil {
		return fmt.Errorf("syncing the manifest: %w", err)
	}
	return s.Storage.SetMeta(fd)
}

// Inspect loads the folder of a stopped machine and changes nothing in it.
func Inspect(dir string) (*Store, error) {
	dir = filepath.Join(dir, "log")
	files, err := storage.OpenFile(dir, true)
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", dir, err)
	}
	defer files.Close()
	o := options()
	o.ReadOnly = true
	db, err := leveldb.Open(files, o)
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", dir, err)
	}
	defer db.Close()
	s := &Store{dir: dir, db: db, files: files}
	if _, err := db.Get(keyID, nil); err != nil {
		return nil, fmt.Errorf("store: %s: no identity: %w", dir, err)
	}
	if err := s.load(nil); err != nil {
		return nil, fmt.Errorf("store: %s: %w", dir, err)
	}
	return s, nil
}

// Verify checks what Inspect has loaded beyond what loading does: that terms rise,
// none beyond the machine's own, and that every entry says something.
func (s *Store) Verify() error {
	term := s.Snapshot.GetTerm()
	for _, e := range s.Entries {
		if e.Term < term || e.Term > s.Hard.GetTerm() {
			return fmt.Errorf("store: %w: entry %d has term %d after %d, in term %d", errDamaged, e.Index, e.Term, term, s.Hard.GetTerm())
		}
		term = e.Term
		var m proto.Message = new(wire.Command)
		if e.Kind == wire.Entry_PEERS {
			m = new(wire.Peers)
		}
		if err := proto.Unmarshal(e.Data, m); err != nil {
			return fmt.Errorf("store: %w: entry %d: %w", errDamaged, e.Index, err)
		}
	}
	return nil
}

// get reads a message; ok is false where there is none.
func (s *Store) get(key []byte, m proto.Message) (ok bool, err error) {
	data, err := s.db.Get(key, nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("reading %q: %w", key, err)
	}
	if data, err = s.record(key, data); err != nil {
		return false, err
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return false, fmt.Errorf("%w: reading %q: %w", errDamaged, key, err)
	}
	return true, nil
}

// record returns what a stored record says.
func (s *Store) record(key, stored []byte) ([]byte, error) {
	if s.plain {
		return stored, nil
	}
	return unseal(key, stored)
}

// readFormat finds how records are stored.
func (s *Store) readFormat() error {
	b, err := s.db.Get(keyFormat, nil)
	switch {
	case errors.Is(err, leveldb.ErrNotFound):
		s.plain = true
	case err != nil:
		return fmt.Errorf("reading the format: %w", err)
	case len(b) != 4:
		return fmt.Errorf("%w: the format has %d bytes, not 4", errDamaged, len(b))
	default:
		if f := binary.BigEndian.Uint32(b); f > format {
			return fmt.Errorf("%w: format %d, and this one knows up to %d", ErrNewer, f, format)
		}
	}
	return nil
}

// upgrade seals the records of the first format, all of them or none.
func (s *Store) upgrade() error {
	w := new(leveldb.Batch)
	it := s.db.NewIterator(nil, nil)
	defer it.Release()
	for it.Next() {
		w.Put(bytes.Clone(it.Key()), seal(it.Key(), it.Value()))
	}
	if err := it.Error(); err != nil {
		return fmt.Errorf("reading records of the first format: %w", err)
	}
	w.Put(keyFormat, binary.BigEndian.AppendUint32(nil, format))
	if err := s.db.Write(w, &opt.WriteOptions{Sync: true}); err != nil {
		return fmt.Errorf("writing the records anew: %w", err)
	}
	s.plain = false
	return nil
}

// load reads the folder. Without rng nothing in it is changed.
func (s *Store) load(rng *rand.Rand) error {
	if err := s.readFormat(); err != nil {
		return err
	}
	if s.plain && rng != nil { // an empty folder has nothing to seal, and becomes one of this format
		if err := s.upgrade(); err != nil {
			return err
		}
	}
	id, err := s.db.Get(keyID, nil)
	switch {
	case errors.Is(err, leveldb.ErrNotFound):
		s.Fresh = true
		for s.ID == 0 {
			s.ID = rng.Uint64()
		}
		return s.db.Put(keyID, seal(keyID, binary.BigEndian.AppendUint64(nil, s.ID)), &opt.WriteOptions{Sync: true})
	case err != nil:
		return fmt.Errorf("reading the identity: %w", err)
	}
	if id, err = s.record(keyID, id); err != nil {
		return err
	}
	if len(id) != 8 {
		return fmt.Errorf("%w: the identity has %d bytes, not 8", errDamaged, len(id))
	}
	s.ID = binary.BigEndian.Uint64(id)
	hard := new(wire.HardState)
	if ok, err := s.get(keyHard, hard); err != nil {
		return err
	} else if ok {
		s.Hard = hard
	}
	snap := new(wire.RaftSnapshot)
	if ok, err := s.get(keySnapshot, snap); err != nil {
		return err
	} else if ok {
		s.Snapshot = snap
	}
	next := s.Snapshot.GetIndex() + 1
	it := s.db.NewIterator(&util.Range{Start: entryKey(next), Limit: entryKey(^uint64(0))}, nil)
	defer it.Release()
	for it.Next() {
		e := new(wire.Entry)
		value, err := s.record(it.Key(), it.Value())
		if err != nil {
			return err
		}
		if err := proto.Unmarshal(value, e); err != nil {
			return fmt.Errorf("%w: entry %d: %w", errDamaged, next, err)
		}
		if e.Index != next {
			return fmt.Errorf("%w: entry %d is missing before entry %d", errDamaged, next, e.Index)
		}
		s.Entries = append(s.Entries, e)
		next++
	}
	s.last = next - 1
	if err := it.Error(); err != nil {
		return fmt.Errorf("reading entries: %w", err)
	}
	return nil
}

// Batch is what one Save writes, all of it or nothing.
type Batch struct {
	Snapshot *wire.RaftSnapshot // replaces what stood in front of the log
	Whole    bool               // the snapshot is a leader's and replaces the log too
	Hard     *wire.HardState
	Entries  []*wire.Entry // stored ones from the first of these on are dropped
}

// Save writes a batch and syncs it. After an error nothing of it counts; the
// store has to be opened again before the next Save.
func (s *Store) Save(b Batch) error {
	w := new(leveldb.Batch)
	put := func(key []byte, m proto.Message) error {
		data, err := proto.Marshal(m)
		if err == nil {
			w.Put(key, seal(key, data))
		}
		return err
	}
	last := s.last
	if b.Snapshot != nil {
		if err := put(keySnapshot, b.Snapshot); err != nil {
			return fmt.Errorf("store: encoding a snapshot: %w", err)
		}
		from := s.Snapshot.GetIndex() + 1
		to := b.Snapshot.Index
		if b.Whole {
			to = max(to, last)
		}
		for i := from; i <= min(to, last); i++ {
			w.Delete(entryKey(i))
		}
		if b.Whole || last < b.Snapshot.Index {
			last = b.Snapshot.Index
		}
	}
	if b.Hard != nil {
		if err := put(keyHard, b.Hard); err != nil {
			return fmt.Errorf("store: encoding the vote: %w", err)
		}
	}
	if len(b.Entries) > 0 {
		for _, e := range b.Entries {
			if err := put(entryKey(e.Index), e); err != nil {
				return fmt.Errorf("store: encoding entry %d: %w", e.Index, err)
			}
		}
		newest := b.Entries[len(b.Entries)-1].Index
		for i := newest + 1; i <= last; i++ {
			w.Delete(entryKey(i))
		}
		last = newest
	}
	if w.Len() == 0 {
		return nil
	}
	if err := s.db.Write(w, &opt.WriteOptions{Sync: true}); err != nil {
		return fmt.Errorf("store: writing: %w", err)
	}
	s.last = last
	if b.Snapshot != nil {
		s.Snapshot = &wire.RaftSnapshot{Term: b.Snapshot.Term, Index: b.Snapshot.Index, Peers: b.Snapshot.Peers}
	}
	return nil
}

// Reopen closes the store and opens it anew, after a write that failed: whether
// that write is there then is known again.
func (s *Store) Reopen() error {
	s.close()
	return s.open()
}

// Close releases the folder.
func (s *Store) Close() error { return s.close() }
