package server

import (
	"time"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/transport/wire"
)

const (
	diskRetryPause = 200 * time.Millisecond // after a write that failed
	slowSync       = 300 * time.Millisecond // longer writes are logged
)

// save puts on disk what the consensus has to have there before its messages are sent.
func (srv *Server) save(ready *raft.Ready) {
	if ready.Snapshot == nil && ready.HardState == nil && len(ready.Entries) == 0 {
		return
	}
	began := time.Now()
	batch := store.Batch{
		Snapshot: ready.Snapshot, Staged: srv.stagedFor(ready.Snapshot), ReplacesLog: ready.Snapshot != nil,
		HardState: ready.HardState, Entries: ready.Entries,
	}
	if !srv.writeBatch(batch) {
		return
	}
	took := time.Since(began)
	srv.metrics.Synced(took)
	srv.consensus.ObserveSync(took)
	if took > slowSync {
		srv.log.Warn("disk.slow", "duration_ms", took.Milliseconds())
	}
	if ready.Snapshot != nil {
		srv.replaceState(ready.Snapshot)
	}
	if len(ready.Entries) > 0 {
		srv.consensus.StableTo(ready.Entries[len(ready.Entries)-1].Index)
	}
}

// writeBatch writes until the disk takes it, and reports false if the server has ended before. A disk that fails blocks
// the loop: nothing is acknowledged from memory, and the other members elect a leader whose disk works.
func (srv *Server) writeBatch(batch store.Batch) bool {
	began := time.Now()
	for failed := false; ; failed = true {
		err := srv.store.Save(batch)
		if err == nil {
			if failed {
				srv.log.Warn("disk.recovered", "duration_ms", time.Since(began).Milliseconds())
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

// replaceState puts a leader's snapshot that is on disk in force.
func (srv *Server) replaceState(s *wire.RaftSnapshot) {
	if err := srv.restoreState(s); err != nil {
		// The leader, which runs the same code or a newer one, could read it: this member can't go on.
		srv.log.Error("snapshot.decode_failed", "err", err)
		panic(err)
	}
	srv.applied = s.Index
	srv.publishFullState()
}
