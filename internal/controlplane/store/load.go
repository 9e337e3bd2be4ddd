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

// load reads the folder. Without rng it changes nothing in it.
func (s *Store) load(rng *rand.Rand) error {
	if err := s.readFormat(); err != nil {
		return err
	}
	if s.format < format && rng != nil { // an empty folder is given this format
		if err := s.upgrade(); err != nil {
			return err
		}
	}
	if err := s.loadIdentity(rng); err != nil || s.Fresh {
		return err
	}
	hard := new(wire.HardState)
	if ok, err := s.get(keyHardState, hard); err != nil {
		return err
	} else if ok {
		s.HardState = hard
	}
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

// loadIdentity reads the identity, or draws one for an empty folder.
func (s *Store) loadIdentity(rng *rand.Rand) error {
	id, err := s.db.Get(keyID, nil)
	switch {
	case errors.Is(err, leveldb.ErrNotFound):
		return s.drawIdentity(rng)
	case err != nil:
		return fmt.Errorf("reading the identity: %w", err)
	}
	if id, err = s.record(keyID, id); err != nil {
		return err
	}
	if len(id) != 8 {
		return fmt.Errorf("%w: the identity has %d bytes, not 8", errCorrupted, len(id))
	}
	s.ID = binary.BigEndian.Uint64(id)
	return nil
}

// drawIdentity gives an empty folder an identity.
func (s *Store) drawIdentity(rng *rand.Rand) error {
	it := s.db.NewIterator(util.BytesPrefix([]byte{entryPrefix}), nil)
	defer it.Release()
	if it.Next() {
		return fmt.Errorf("%w: there are entries without an identity", errCorrupted)
	}
	s.Fresh, s.first = true, 1
	for s.ID == 0 {
		s.ID = rng.Uint64()
	}
	return s.db.Put(keyID, seal(keyID, binary.BigEndian.AppendUint64(nil, s.ID)), &opt.WriteOptions{Sync: true})
}

// loadEntries reads the entries. Those after the snapshot must be contiguous. Of those up to it, the contiguous ones before
// it are its tail, and all others are left of an earlier log.
func (s *Store) loadEntries() error {
	end := s.Snapshot.GetIndex()
	var run []*wire.Entry // contiguous
	it := s.db.NewIterator(util.BytesPrefix([]byte{entryPrefix}), nil)
	defer it.Release()
	for it.Next() {
		e, err := s.decodeEntry(it.Key(), it.Value())
		if err != nil {
			return err
		}
		if n := len(run); n > 0 && run[n-1].Index+1 != e.Index && run[n-1].Index < end {
			s.markObsolete(run[0].Index, run[n-1].Index+1)
			run = nil
		}
		if e.Index > end { // after the snapshot: without gaps
			next := end + 1
			if len(run) > 0 {
				next = run[len(run)-1].Index + 1
			}
			if e.Index != next {
				return fmt.Errorf("%w: entry %d is missing before entry %d", errCorrupted, next, e.Index)
			}
		}
		run = append(run, e)
	}
	if err := it.Error(); err != nil {
		return fmt.Errorf("reading entries: %w", err)
	}
	if n := len(run); n > 0 && run[n-1].Index < end {
		s.markObsolete(run[0].Index, run[n-1].Index+1)
		run = nil
	}
	s.first, s.last = end+1, end
	if len(run) > 0 {
		s.first, s.last = run[0].Index, run[len(run)-1].Index
	}
	tail := int(end + 1 - s.first)
	s.Tail, s.Entries = run[:tail:tail], run[tail:]
	if tail > 0 && s.Tail[tail-1].Term != s.Snapshot.Term {
		return fmt.Errorf("%w: entry %d has term %d, and the snapshot there %d", errCorrupted, end, s.Tail[tail-1].Term, s.Snapshot.Term)
	}
	return nil
}

func (s *Store) decodeEntry(key, stored []byte) (*wire.Entry, error) {
	value, err := s.record(key, stored)
	if err != nil {
		return nil, err
	}
	e := new(wire.Entry)
	if err := proto.Unmarshal(value, e); err != nil {
		return nil, fmt.Errorf("%w: the entry %x: %w", errCorrupted, key, err)
	}
	if string(entryKey(e.Index)) != string(key) {
		return nil, fmt.Errorf("%w: entry %d is under another's key", errCorrupted, e.Index)
	}
	return e, nil
}
