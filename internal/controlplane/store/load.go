package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// load reads the folder. If rng is nil, it modifies nothing in the folder.
func (s *Store) load(rng *rand.Rand) error {
	if err := s.readFormat(); err != nil {
		return err
	}
	if s.format < latestFormat && rng != nil { // also writes the format of an empty folder
		if err := s.upgrade(); err != nil {
			return err
		}
	}
	if err := s.loadIdentity(rng); err != nil || s.Fresh {
		return err
	}
	hardState := new(wire.HardState)
	if ok, err := s.get(keyHardState, hardState); err != nil {
		return err
	} else if ok {
		s.HardState = hardState
	}
	departures := new(wire.Departures)
	if _, err := s.get(keyDepartures, departures); err != nil {
		return err
	}
	s.Departures = departures.Departures
	if err := s.loadSnapshot(); err != nil {
		return err
	}
	if err := s.loadEntries(); err != nil {
		return err
	}
	if rng != nil {
		return s.removeStrayFiles()
	}
	return nil
}

// loadIdentity reads the member's identity. It generates one if the folder is empty.
func (s *Store) loadIdentity(rng *rand.Rand) error {
	id, err := s.db.Get(keyID, nil)
	switch {
	case errors.Is(err, leveldb.ErrNotFound):
		return s.generateIdentity(rng)
	case err != nil:
		return fmt.Errorf("reading the identity: %w", err)
	}
	if id, err = s.record(keyID, id); err != nil {
		return err
	}
	if len(id) != 8 {
		return fmt.Errorf("%w: the identity has %d bytes, want 8", errCorrupted, len(id))
	}
	s.ID = binary.BigEndian.Uint64(id)
	return nil
}

// generateIdentity generates a random nonzero identity and stores it. It returns an error if the folder has entries, since
// the identity was then lost.
func (s *Store) generateIdentity(rng *rand.Rand) error {
	it := s.db.NewIterator(util.BytesPrefix([]byte{entryPrefix}), nil)
	defer it.Release()
	if it.Next() {
		return fmt.Errorf("%w: the folder has entries but no identity", errCorrupted)
	}
	s.Fresh, s.first = true, 1
	for s.ID == 0 {
		s.ID = rng.Uint64()
	}
	return s.db.Put(keyID, addChecksum(keyID, binary.BigEndian.AppendUint64(nil, s.ID)), &opt.WriteOptions{Sync: true})
}

// loadEntries reads the entries. Those after the snapshot must be contiguous. Of those up to the snapshot's index, the ones
// that are contiguous with it are the tail, and all others are obsolete.
func (s *Store) loadEntries() error {
	snapshotIndex := s.Snapshot.GetIndex()
	var contiguous []*wire.Entry // the latest run without gaps
	it := s.db.NewIterator(util.BytesPrefix([]byte{entryPrefix}), nil)
	defer it.Release()
	for it.Next() {
		entry, err := s.decodeEntry(it.Key(), it.Value())
		if err != nil {
			return err
		}
		if n := len(contiguous); n > 0 && contiguous[n-1].Index+1 != entry.Index && contiguous[n-1].Index < snapshotIndex {
			s.markObsolete(contiguous[0].Index, contiguous[n-1].Index+1)
			contiguous = nil
		}
		if entry.Index > snapshotIndex { // entries after the snapshot must have no gaps
			next := snapshotIndex + 1
			if len(contiguous) > 0 {
				next = contiguous[len(contiguous)-1].Index + 1
			}
			if entry.Index != next {
				return fmt.Errorf("%w: entry %d is missing before entry %d", errCorrupted, next, entry.Index)
			}
		}
		contiguous = append(contiguous, entry)
	}
	if err := it.Error(); err != nil {
		return fmt.Errorf("reading entries: %w", err)
	}
	if n := len(contiguous); n > 0 && contiguous[n-1].Index < snapshotIndex {
		s.markObsolete(contiguous[0].Index, contiguous[n-1].Index+1)
		contiguous = nil
	}
	s.first, s.last = snapshotIndex+1, snapshotIndex
	if len(contiguous) > 0 {
		s.first, s.last = contiguous[0].Index, contiguous[len(contiguous)-1].Index
	}
	tail := int(snapshotIndex + 1 - s.first)
	s.Tail, s.Entries = contiguous[:tail:tail], contiguous[tail:]
	if tail > 0 && s.Tail[tail-1].Term != s.Snapshot.Term {
		return fmt.Errorf("%w: entry %d has term %d, but the snapshot at its index has term %d", errCorrupted, snapshotIndex, s.Tail[tail-1].Term, s.Snapshot.Term)
	}
	return nil
}

func (s *Store) decodeEntry(key, stored []byte) (*wire.Entry, error) {
	value, err := s.record(key, stored)
	if err != nil {
		return nil, err
	}
	entry := new(wire.Entry)
	if err := proto.Unmarshal(value, entry); err != nil {
		return nil, fmt.Errorf("%w: decoding the entry with key %x: %w", errCorrupted, key, err)
	}
	if string(entryKey(entry.Index)) != string(key) {
		return nil, fmt.Errorf("%w: entry %d is stored under another entry's key", errCorrupted, entry.Index)
	}
	return entry, nil
}
