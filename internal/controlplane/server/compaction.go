package server

import (
	"time"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/store"
)

// compact begins a snapshot of the state where one is due. Only the copy of the state is taken in the loop, which also
// sends heartbeats; encoding and writing it is the work of a goroutine, one at a time.
func (n *Node) compact() {
	if n.compacting || !n.consensus.SnapshotDue() {
		return
	}
	n.compacting = true
	began, index := time.Now(), n.applied
	image := n.catalog.Image()
	n.workers.Go(func() {
		staged, err := stageImage(n.store, image, index)
		if !n.do(func() { n.compacted(staged, index, err, began) }) {
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

// compacted puts a snapshot that is on disk in front of the log. Members that are further behind than the tail of entries
// in front of it need it.
func (n *Node) compacted(staged *store.StagedSnapshot, index uint64, err error, began time.Time) {
	n.compacting = false
	if err != nil {
		n.log.Error("snapshot.failed", "err", err)
		return
	}
	snapshot := n.consensus.Compact(index, staged.Data)
	if snapshot == nil { // a leader's has come meanwhile
		staged.Discard()
		return
	}
	if err := n.store.Save(store.Batch{Snapshot: snapshot, Staged: staged, First: n.consensus.First()}); err != nil {
		n.log.Error("disk.failed", "err", err)
		n.store.Reopen()
		return
	}
	n.log.Info("snapshot.taken", "index", index, "bytes", len(staged.Data), "kept", index-n.consensus.First(), "took", time.Since(began))
}
