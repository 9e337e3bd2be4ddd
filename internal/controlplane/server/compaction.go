package server

import (
	"time"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/store"
)

// compact begins a snapshot of the state if one is due. Only a copy of the state is made in the loop, which also has to
// send heartbeats; a goroutine, one at a time, encodes and writes it.
func (srv *Server) compact() {
	if srv.compacting || !srv.consensus.SnapshotDue() {
		return
	}
	srv.compacting = true
	began, index := time.Now(), srv.applied
	image := srv.catalog.Image()
	srv.workers.Go(func() {
		staged, err := stageImage(srv.store, image, index)
		if !srv.runInLoop(func() { srv.compacted(staged, index, err, began) }) {
			staged.Discard()
		}
	})
}

// stageImage writes a copy of the state to the folder.
func stageImage(st *store.Store, image *catalog.Image, index uint64) (*store.StagedSnapshot, error) {
	data, err := image.Encode()
	if err != nil {
		return nil, err
	}
	return st.Stage(index, data)
}

// compacted makes a snapshot that is on disk the begin of the log.
func (srv *Server) compacted(staged *store.StagedSnapshot, index uint64, err error, began time.Time) {
	srv.compacting = false
	if err != nil {
		srv.log.Error("snapshot.write_failed", "err", err)
		return
	}
	snapshot := srv.consensus.Compact(index, staged.Data)
	if snapshot == nil { // a leader's was installed meanwhile
		staged.Discard()
		return
	}
	if err := srv.store.Save(store.Batch{Snapshot: snapshot, Staged: staged, First: srv.consensus.First()}); err != nil {
		srv.log.Error("disk.write_failed", "err", err)
		if err := srv.store.Reopen(); err != nil {
			srv.log.Error("disk.reopen_failed", "err", err) // the next save tries again
		}
		return
	}
	srv.log.Info("snapshot.created", "index", index, "bytes", len(staged.Data), "tail_entries", index-srv.consensus.First(),
		"duration_ms", time.Since(began).Milliseconds())
}
