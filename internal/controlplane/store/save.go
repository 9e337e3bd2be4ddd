package store

import (
	"fmt"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// maxObsoleteDeletes bounds the obsolete entries that one Save deletes.
const maxObsoleteDeletes = 512

// indexRange is a range of indexes, without its end.
type indexRange struct {
	from, to uint64
}

// Batch is what one Save writes, all of it or nothing.
type Batch struct {
	Snapshot    *wire.RaftSnapshot // replaces the one before
	Staged      *StagedSnapshot    // its data, if that is in the folder already
	ReplacesLog bool               // the snapshot is a leader's and replaces the log as well
	First       uint64             // oldest entry of the tail before the snapshot; 0: there is none
	HardState   *wire.HardState
	Entries     []*wire.Entry // replace all stored entries from the first of them on
}

// pendingBatch is the write of a Save, with the bookkeeping that it changes.
type pendingBatch struct {
	leveldb.Batch
	first, last uint64
	obsolete    []indexRange
}

func (c *pendingBatch) put(key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err == nil {
		c.Put(key, seal(key, data))
	}
	return err
}

// markObsolete takes entries out of force; they are deleted later.
func (c *pendingBatch) markObsolete(from, to uint64) {
	if from < to {
		c.obsolete = append(c.obsolete, indexRange{from, to})
	}
}

// deleteObsolete deletes a bounded number of obsolete entries.
func (c *pendingBatch) deleteObsolete() {
	for n := 0; n < maxObsoleteDeletes && len(c.obsolete) > 0; n++ {
		r := &c.obsolete[0]
		c.Delete(entryKey(r.from))
		if r.from++; r.from == r.to {
			c.obsolete = c.obsolete[1:]
		}
	}
}

// Save writes a batch, all of it or nothing, and syncs it. After an error, Reopen has to be called before the next Save.
func (s *Store) Save(b Batch) error {
	c := &pendingBatch{first: s.first, last: s.last, obsolete: append([]indexRange(nil), s.obsolete...)}
	if b.Snapshot != nil {
		if err := s.saveSnapshot(c, b); err != nil {
			return fmt.Errorf("store: encoding a snapshot: %w", err)
		}
	}
	if b.HardState != nil {
		if err := c.put(keyHardState, b.HardState); err != nil {
			return fmt.Errorf("store: encoding the vote: %w", err)
		}
	}
	if len(b.Entries) > 0 {
		if err := saveEntries(c, b.Entries); err != nil {
			return err
		}
	}
	if c.Len() == 0 {
		return nil
	}
	c.deleteObsolete()
	if err := s.db.Write(&c.Batch, &opt.WriteOptions{Sync: true}); err != nil {
		return fmt.Errorf("store: writing: %w", err)
	}
	s.first, s.last, s.obsolete = c.first, c.last, c.obsolete
	if b.Snapshot != nil {
		s.replaceSnapshot(b)
	}
	return nil
}

// saveSnapshot puts a snapshot in force. Entries that a leader's snapshot replaces, at its index and after it, are deleted at
// once: they may be of another history. All others are deleted bit by bit, since a gap, or their index, shows that they are
// not in force.
func (s *Store) saveSnapshot(c *pendingBatch, b Batch) error {
	if err := c.put(keySnapshot, b.Staged.record(b.Snapshot)); err != nil {
		return err
	}
	index := b.Snapshot.Index
	first := index + 1
	if b.First > 0 && !b.ReplacesLog {
		first = min(first, b.First)
	}
	for i := index; b.ReplacesLog && i <= c.last; i++ {
		c.Delete(entryKey(i))
	}
	if b.ReplacesLog || c.last < index {
		c.markObsolete(c.first, min(index, c.last+1))
		c.first, c.last = index+1, index
	} else if first > c.first {
		c.markObsolete(c.first, first)
		c.first = first
	}
	return nil
}

func saveEntries(c *pendingBatch, entries []*wire.Entry) error {
	for _, e := range entries {
		if err := c.put(entryKey(e.Index), e); err != nil {
			return fmt.Errorf("store: encoding entry %d: %w", e.Index, err)
		}
	}
	newest := entries[len(entries)-1].Index
	for i := newest + 1; i <= c.last; i++ {
		c.Delete(entryKey(i))
	}
	c.last = newest
	return nil
}

// markObsolete notes entries that are not in force.
func (s *Store) markObsolete(from, to uint64) { s.obsolete = append(s.obsolete, indexRange{from, to}) }
