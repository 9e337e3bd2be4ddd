package store

import (
	"fmt"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// maxObsoleteDeletes is how many entries that no longer count one Save removes, at most.
const maxObsoleteDeletes = 512

// indexRange is a range of entries, without its end.
type indexRange struct {
	from, to uint64
}

// Batch is what one Save writes, all of it or nothing.
type Batch struct {
	Snapshot *wire.RaftSnapshot // takes the place of the one before
	Staged   *StagedSnapshot    // the same, with its data in the folder already; nil: the data is written now
	ReplacesLog    bool               // the snapshot is a leader's and replaces the log too
	First    uint64             // oldest entry that still counts, where it stands in front of the snapshot
	HardState     *wire.HardState
	Entries  []*wire.Entry // stored ones from the first of these on are dropped
}

// pendingBatch is a Save in the making.
type pendingBatch struct {
	leveldb.Batch
	first, last uint64
	obsolete     []indexRange
}

func (c *pendingBatch) put(key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err == nil {
		c.Put(key, seal(key, data))
	}
	return err
}

// markObsolete drops entries from what counts; they are removed later.
func (c *pendingBatch) markObsolete(from, to uint64) {
	if from < to {
		c.obsolete = append(c.obsolete, indexRange{from, to})
	}
}

// deleteObsolete removes a bounded number of entries that no longer count.
func (c *pendingBatch) deleteObsolete() {
	for n := 0; n < maxObsoleteDeletes && len(c.obsolete) > 0; n++ {
		r := &c.obsolete[0]
		c.Delete(entryKey(r.from))
		if r.from++; r.from == r.to {
			c.obsolete = c.obsolete[1:]
		}
	}
}

// Save writes a batch and syncs it. After an error nothing of it counts; the
// store has to be opened again before the next Save.
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

// saveSnapshot puts a snapshot in front of the log. What a leader's replaces at its index and behind it goes at once: it
// may be of another history. All else goes bit by bit, as a gap, or its place, tells that it does not count.
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

// markObsolete notes entries that no longer count.
func (s *Store) markObsolete(from, to uint64) { s.obsolete = append(s.obsolete, indexRange{from, to}) }
