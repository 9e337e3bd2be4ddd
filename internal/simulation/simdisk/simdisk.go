// Package simdisk models the storage of a quorum member for simulations of power loss. Synced data survives a crash. Of
// the unsynced writes, a prefix in write order may survive.
package simdisk

import (
	"math/rand/v2"

	"ivydeck/internal/transport/wire"
)

// Disk holds the Raft state of one machine. Its zero value is an empty disk. It is not safe for concurrent use.
type Disk struct {
	ID      uint64 // identity of the member; zero on an empty disk
	Hard    *wire.HardState
	Snap    *wire.RaftSnapshot
	Entries []*wire.Entry // up to Tail entries that the snapshot covers, and all entries after it
	Tail    int           // number of covered entries that Compact keeps

	Departures []*wire.Departure // departures of servers that were not in the log when they were written

	unsynced []write
}

// write is a batch of records that is applied as a whole or not at all.
type write struct {
	hard       *wire.HardState
	snap       *wire.RaftSnapshot
	entries    []*wire.Entry
	departures *wire.Departures
}

// Write queues the persistent part of a raft.Ready until the next Sync or Crash. A nil snapshot or hard state is unchanged.
func (d *Disk) Write(snap *wire.RaftSnapshot, hard *wire.HardState, entries []*wire.Entry) {
	d.unsynced = append(d.unsynced, write{hard: hard, snap: snap, entries: entries})
}

// WriteDepartures queues the departures that replace those on the disk until the next Sync or Crash. Nil leaves them unchanged.
func (d *Disk) WriteDepartures(departures *wire.Departures) {
	if departures != nil {
		d.unsynced = append(d.unsynced, write{departures: departures})
	}
}

// Sync applies all unsynced writes.
func (d *Disk) Sync() {
	for _, w := range d.unsynced {
		d.apply(w)
	}
	d.unsynced = nil
}

// Compact replaces the snapshot by one that the machine took itself. Of the entries that it covers, the last Tail are kept.
func (d *Disk) Compact(s *wire.RaftSnapshot) {
	d.Entries = d.Entries[max(0, int(s.Index-d.precedingIndex())-d.Tail):]
	d.Snap = s
}

// precedingIndex returns the index before the first entry.
func (d *Disk) precedingIndex() uint64 {
	if len(d.Entries) > 0 {
		return d.Entries[0].Index - 1
	}
	return d.Snap.GetIndex()
}

// Crash simulates a power loss: it applies a random prefix of the unsynced writes and drops the others. Partial writes
// need no model, as a partial record fails its checksum and the store drops it with all later ones.
func (d *Disk) Crash(rng *rand.Rand) {
	for _, w := range d.unsynced[:rng.IntN(len(d.unsynced)+1)] {
		d.apply(w)
	}
	d.unsynced = nil
}

// Wipe removes all data from the disk and keeps Tail.
func (d *Disk) Wipe() { *d = Disk{Tail: d.Tail} }

// Bytes returns the size of the data in the snapshot and the entries, without their metadata.
func (d *Disk) Bytes() int {
	n := len(d.Snap.GetData())
	for _, e := range d.Entries {
		n += len(e.Data)
	}
	return n
}

// apply stores a write. A snapshot replaces all entries; an entry replaces those from its index on.
func (d *Disk) apply(w write) {
	if w.snap != nil {
		d.Snap, d.Entries = w.snap, nil
	}
	if w.hard != nil {
		d.Hard = w.hard
	}
	if w.departures != nil {
		d.Departures = w.departures.Departures
	}
	for _, e := range w.entries {
		d.Entries = append(d.Entries[:e.Index-d.precedingIndex()-1], e)
	}
}
