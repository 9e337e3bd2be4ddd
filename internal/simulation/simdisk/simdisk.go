// Package simdisk models the disk under a quorum member's log, for simulations:
// what was written and not synced when the power goes may be there afterwards, or
// a part of it, in the order of the writes; what was synced is there.
package simdisk

import (
	"math/rand/v2"

	"ivydeck/internal/transport/wire"
)

// Disk is one machine's. Its zero value is empty.
type Disk struct {
	ID      uint64 // the identity, drawn when the disk was empty; 0: empty
	Hard    *wire.HardState
	Snap    *wire.RaftSnapshot
	Entries []*wire.Entry // behind the snapshot, and in front of it so many as are kept
	Tail    int           // entries kept in front of a snapshot

	cache []write // not synced
}

// write is what was to be saved together.
type write struct {
	hard    *wire.HardState
	snap    *wire.RaftSnapshot
	entries []*wire.Entry
}

// Write puts what has to be saved of a raft.Output into the disk's cache.
func (d *Disk) Write(snap *wire.RaftSnapshot, hard *wire.HardState, entries []*wire.Entry) {
	d.cache = append(d.cache, write{hard, snap, entries})
}

// Sync returns once all that was written is there for good.
func (d *Disk) Sync() {
	for _, w := range d.cache {
		d.keep(w)
	}
	d.cache = nil
}

// Compact puts a machine's own snapshot in front of its log.
func (d *Disk) Compact(s *wire.RaftSnapshot) {
	d.Entries = d.Entries[max(0, int(s.Index-d.before())-d.Tail):]
	d.Snap = s
}

// before is the index in front of the entries.
func (d *Disk) before() uint64 {
	if len(d.Entries) > 0 {
		return d.Entries[0].Index - 1
	}
	return d.Snap.GetIndex()
}

// Crash takes the power away: some of what was not synced is there, in the order
// of the writes. A write that is there in part fails its checksum, and the store
// drops it with all behind it.
func (d *Disk) Crash(rng *rand.Rand) {
	for _, w := range d.cache[:rng.IntN(len(d.cache)+1)] {
		d.keep(w)
	}
	d.cache = nil
}

// Wipe empties the disk.
func (d *Disk) Wipe() { *d = Disk{Tail: d.Tail} }

// Bytes is the size of what is kept.
func (d *Disk) Bytes() int {
	n := len(d.Snap.GetData())
	for _, e := range d.Entries {
		n += len(e.Data)
	}
	return n
}

func (d *Disk) keep(w write) {
	if w.snap != nil {
		d.Snap, d.Entries = w.snap, nil
	}
	if w.hard != nil {
		d.Hard = w.hard
	}
	for _, e := range w.entries {
		d.Entries = append(d.Entries[:e.Index-d.before()-1], e)
	}
}
