package server

import (
	"time"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/store"
)

// compact starts a snapshot of the state if one is due. The loop only copies the state, so that heartbeats are not
// delayed; a goroutine, at most one at a time, encodes and writes the copy.
func (srv *Server) compact() {
	if srv.compacting || !srv.consensus.SnapshotDue() {
		return
	}
	srv.compacting = true
	start, index := time.Now(), srv.appliedIndex
	image := srv.catalog.Image()
	srv.workers.Go(func() {
		staged, err := stageImage(srv.store, image, index)
		if !srv.runInLoop(func() { srv.finishCompaction(staged, index, err, start) }) {
			staged.Discard()
		}
	})
}

// stageImage encodes a copy of the state and stages it in the store.
func stageImage(st *store.Store, image *catalog.Image, index uint64) (*store.StagedSnapshot, error) {
	data, err := image.Encode()
	if err != nil {
		return nil, err
	}
	return st.Stage(index, data)
}

// finishCompaction compacts the log up to a staged snapshot and saves the result.
func (srv *Server) finishCompaction(staged *store.StagedSnapshot, index uint64, err error, start time.Time) {
	srv.compacting = false
	if err != nil {
		srv.log.Error("snapshot.write_failed", "err", err)
		return
	}
	snapshot := srv.consensus.Compact(index, staged.Data)
	if snapshot == nil { // the log already has a newer snapshot, received from a leader
		staged.Discard()
		return
	}
	if err := srv.store.Save(store.Batch{Snapshot: snapshot, Staged: staged, First: srv.consensus.First()}); err != nil {
		srv.log.Error("disk.write_failed", "err", err)
		if err := srv.store.Reopen(); err != nil {
			srv.log.Error("disk.reopen_failed", "err", err) // the next save retries
		}
		return
	}
	srv.log.Info("snapshot.created", "index", index, "bytes", len(staged.Data), "tail_entries", index-srv.consensus.First(),
		"duration_ms", time.Since(start).Milliseconds())
}
