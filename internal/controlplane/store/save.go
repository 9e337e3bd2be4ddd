package store

import (
	"fmt"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// maxObsoleteDeletes is the maximum number of obsolete entries that one Save deletes.
const maxObsoleteDeletes = 512

// indexRange is the half-open range of indexes [from, to).
type indexRange struct {
	from, to uint64
}

// Batch is an atomic write. Nil and empty fields leave the stored values unchanged.
type Batch struct {
	Snapshot    *wire.RaftSnapshot // replaces the stored snapshot
	Staged      *StagedSnapshot    // result of Stage or Finish for the snapshot; nil stores Snapshot.Data in the record
	ReplacesLog bool               // the snapshot was received from a leader and replaces all entries
	First       uint64             // index of the oldest entry to keep before the snapshot; 0 keeps none
	HardState   *wire.HardState
	Entries     []*wire.Entry    // replace all stored entries from the first one's index on
	Departures  *wire.Departures // replace the stored departures that are not in the log yet
}

// pendingBatch is the write of a Save, with the fields of Store that change once it succeeds.
type pendingBatch struct {
	leveldb.Batch
	first, last uint64
	obsolete    []indexRange
}

func (p *pendingBatch) put(key []byte, message proto.Message) error {
	data, err := proto.Marshal(message)
	if err == nil {
		p.Put(key, addChecksum(key, data))
	}
	return err
}

// markObsolete schedules the entries in [from, to) for deletion.
func (p *pendingBatch) markObsolete(from, to uint64) {
	if from < to {
		p.obsolete = append(p.obsolete, indexRange{from, to})
	}
}

// deleteObsolete adds the deletion of up to maxObsoleteDeletes obsolete entries.
func (p *pendingBatch) deleteObsolete() {
	for n := 0; n < maxObsoleteDeletes && len(p.obsolete) > 0; n++ {
		r := &p.obsolete[0]
		p.Delete(entryKey(r.from))
		if r.from++; r.from == r.to {
			p.obsolete = p.obsolete[1:]
		}
	}
}

// Save writes a batch atomically and syncs it. After an error, the caller must call Reopen before the next Save.
func (s *Store) Save(batch Batch) error {
	pending := &pendingBatch{first: s.first, last: s.last, obsolete: append([]indexRange(nil), s.obsolete...)}
	if batch.Snapshot != nil {
		if err := s.saveSnapshot(pending, batch); err != nil {
			return fmt.Errorf("store: encoding a snapshot: %w", err)
		}
	}
	if batch.HardState != nil {
		if err := pending.put(keyHardState, batch.HardState); err != nil {
			return fmt.Errorf("store: encoding the hard state: %w", err)
		}
	}
	if len(batch.Entries) > 0 {
		if err := saveEntries(pending, batch.Entries); err != nil {
			return err
		}
	}
	if batch.Departures != nil {
		if err := pending.put(keyDepartures, batch.Departures); err != nil {
			return fmt.Errorf("store: encoding departures: %w", err)
		}
	}
	if pending.Len() == 0 {
		return nil
	}
	pending.deleteObsolete()
	if err := s.db.Write(&pending.Batch, &opt.WriteOptions{Sync: true}); err != nil {
		return fmt.Errorf("store: writing a batch: %w", err)
	}
	s.first, s.last, s.obsolete = pending.first, pending.last, pending.obsolete
	if batch.Snapshot != nil {
		s.replaceSnapshot(batch)
	}
	return nil
}

// saveSnapshot adds a snapshot to the batch. A leader's snapshot deletes the entries from its index on with the same write,
// since they may conflict with the leader's log. Earlier entries are deleted over several writes: loadEntries recognizes
// them as obsolete by a gap or by their index.
func (s *Store) saveSnapshot(pending *pendingBatch, batch Batch) error {
	if err := pending.put(keySnapshot, batch.Staged.record(batch.Snapshot)); err != nil {
		return err
	}
	index := batch.Snapshot.Index
	first := index + 1
	if batch.First > 0 && !batch.ReplacesLog {
		first = min(first, batch.First)
	}
	for i := index; batch.ReplacesLog && i <= pending.last; i++ {
		pending.Delete(entryKey(i))
	}
	if batch.ReplacesLog || pending.last < index {
		pending.markObsolete(pending.first, min(index, pending.last+1))
		pending.first, pending.last = index+1, index
	} else if first > pending.first {
		pending.markObsolete(pending.first, first)
		pending.first = first
	}
	return nil
}

func saveEntries(pending *pendingBatch, entries []*wire.Entry) error {
	for _, entry := range entries {
		if err := pending.put(entryKey(entry.Index), entry); err != nil {
			return fmt.Errorf("store: encoding entry %d: %w", entry.Index, err)
		}
	}
	newest := entries[len(entries)-1].Index
	for i := newest + 1; i <= pending.last; i++ {
		pending.Delete(entryKey(i))
	}
	pending.last = newest
	return nil
}

// markObsolete schedules the entries in [from, to) for deletion.
func (s *Store) markObsolete(from, to uint64) { s.obsolete = append(s.obsolete, indexRange{from, to}) }
