package store

import (
	"fmt"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// removalBatch is how many entries that no longer count one Save removes, at most.
const removalBatch = 512

// indexRange is a range of entries, without its end.
type indexRange struct {
	from, to uint64
}

// Batch is what one Save writes, all of it or nothing.
type Batch struct {
	Snapshot *wire.RaftSnapshot // takes the place of the one before
	Staged   *StagedSnapshot    // the same, with its data in the folder already; nil: the data is written now
	Whole    bool               // the snapshot is a leader's and replaces the log too
	First    uint64             // oldest entry that still counts, where it stands in front of the snapshot
	Hard     *wire.HardState
	Entries  []*wire.Entry // stored ones from the first of these on are dropped
}

// change is a Save in the making.
type change struct {
	leveldb.Batch
	first, last uint64
	garbage     []indexRange
}

func (c *change) put(key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err == nil {
		c.Put(key, seal(key, data))
	}
	return err
}

// discard drops entries from what counts; they are removed later.
func (c *change) discard(from, to uint64) {
	if from < to {
		c.garbage = append(c.garbage, indexRange{from, to})
	}
}

// removeSome removes a bounded number of entries that no longer count.
func (c *change) removeSome() {
	for n := 0; n < removalBatch && len(c.garbage) > 0; n++ {
		r := &c.garbage[0]
		c.Delete(entryKey(r.from))
		if r.from++; r.from == r.to {
			c.garbage = c.garbage[1:]
		}
	}
}

// Save writes a batch and syncs it. After an error nothing of it counts; the
// store has to be opened again before the next Save.
func (s *Store) Save(b Batch) error {
	c := &change{first: s.first, last: s.last, garbage: append([]indexRange(nil), s.garbage...)}
	if b.Snapshot != nil {
		if err := s.saveSnapshot(c, b); err != nil {
			return fmt.Errorf("store: encoding a snapshot: %w", err)
		}
	}
	if b.Hard != nil {
		if err := c.put(keyHard, b.Hard); err != nil {
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
	c.removeSome()
	if err := s.db.Write(&c.Batch, &opt.WriteOptions{Sync: true}); err != nil {
		return fmt.Errorf("store: writing: %w", err)
	}
	s.first, s.last, s.garbage = c.first, c.last, c.garbage
	if b.Snapshot != nil {
		s.replaceSnapshot(b)
	}
	return nil
}

// saveSnapshot puts a snapshot in front of the log. What a leader's replaces at its index and behind it goes at once: it
// may be of another history. All else goes bit by bit, as a gap, or its place, tells that it does not count.
func (s *Store) saveSnapshot(c *change, b Batch) error {
	if err := c.put(keySnapshot, b.Staged.record(b.Snapshot)); err != nil {
		return err
	}
	index := b.Snapshot.Index
	first := index + 1
	if b.First > 0 && !b.Whole {
		first = min(first, b.First)
	}
	for i := index; b.Whole && i <= c.last; i++ {
		c.Delete(entryKey(i))
	}
	if b.Whole || c.last < index {
		c.discard(c.first, min(index, c.last+1))
		c.first, c.last = index+1, index
	} else if first > c.first {
		c.discard(c.first, first)
		c.first = first
	}
	return nil
}

func saveEntries(c *change, entries []*wire.Entry) error {
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

// discard notes entries that no longer count.
func (s *Store) discard(from, to uint64) { s.garbage = append(s.garbage, indexRange{from, to}) }
