package server

import (
	"time"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/transport/wire"
)

const (
	diskRetryPause = 200 * time.Millisecond // pause after a failed write
	slowSync       = 300 * time.Millisecond // longer writes are logged
)

// save writes the snapshot, hard state and entries of a Ready to disk. It must return before the messages are sent.
func (srv *Server) save(ready *raft.Ready) {
	if ready.Snapshot == nil && ready.HardState == nil && len(ready.Entries) == 0 {
		return
	}
	start := time.Now()
	batch := store.Batch{
		Snapshot: ready.Snapshot, Staged: srv.stagedSnapshot(ready.Snapshot), ReplacesLog: ready.Snapshot != nil,
		HardState: ready.HardState, Entries: ready.Entries,
	}
	if !srv.writeBatch(batch) {
		return
	}
	elapsed := time.Since(start)
	srv.metrics.Synced(elapsed)
	srv.consensus.ObserveSync(elapsed)
	if elapsed > slowSync {
		srv.log.Warn("disk.slow", "duration_ms", elapsed.Milliseconds())
	}
	if ready.Snapshot != nil {
		srv.replaceState(ready.Snapshot)
	}
	if len(ready.Entries) > 0 {
		srv.consensus.StableTo(ready.Entries[len(ready.Entries)-1].Index)
	}
}

// writeBatch retries until the write succeeds, and returns false if the server has stopped before. A failing disk
// blocks the loop: nothing is acknowledged from memory, and the other members elect a leader whose disk works.
func (srv *Server) writeBatch(batch store.Batch) bool {
	start := time.Now()
	for failed := false; ; failed = true {
		err := srv.store.Save(batch)
		if err == nil {
			if failed {
				srv.log.Warn("disk.recovered", "duration_ms", time.Since(start).Milliseconds())
			}
			return true
		}
		srv.log.Error("disk.write_failed", "err", err)
		if !srv.sleep(diskRetryPause) {
			return false
		}
		if err := srv.store.Reopen(); err != nil {
			srv.log.Error("disk.reopen_failed", "err", err)
		}
	}
}

// replaceState replaces the state by a leader's snapshot that is already on disk.
func (srv *Server) replaceState(snapshot *wire.RaftSnapshot) {
	if err := srv.restoreState(snapshot); err != nil {
		// The leader runs the same or a newer version and could decode it, so this member can't continue.
		srv.log.Error("snapshot.decode_failed", "err", err)
		panic(err)
	}
	srv.appliedIndex = snapshot.Index
	srv.departures.Applied()
	srv.publishFullState()
}
