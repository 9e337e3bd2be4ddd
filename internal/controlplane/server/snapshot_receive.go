package server

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

// snapshotReceiver lets one snapshot at a time come in.
type snapshotReceiver struct {
	receivingFrom atomic.Pointer[rpc.Stream] // the newest stream
	receiveMu     sync.Mutex                 // held by the goroutine that receives
}

// receivedSnapshot is a snapshot that is complete on disk, with its state decoded, and is to be installed.
type receivedSnapshot struct {
	snapshot *wire.RaftSnapshot
	staged   *store.StagedSnapshot
	catalog  *catalog.Catalog
}

// snapshotStream receives a leader's snapshot and installs it. A member receives one at a time: a new stream ends the one
// before, which may be of a leader that is partitioned.
func (srv *Server) snapshotStream(s *rpc.Stream) error {
	offer := new(wire.SnapshotOffer)
	if err := s.Recv(offer); err != nil {
		return err
	}
	if before := srv.receivingFrom.Swap(s); before != nil {
		before.Close()
	}
	defer srv.receivingFrom.CompareAndSwap(s, nil)
	srv.receiveMu.Lock()
	defer srv.receiveMu.Unlock()
	if srv.receivingFrom.Load() != s {
		return errSuperseded
	}
	finished := &wire.SnapshotStatus{Offset: offer.Size, Finished: true}
	switch err := errorInLoop(srv.ctx, srv, func() error { return srv.checkOffer(offer) }); {
	case errors.Is(err, errNotNeeded):
		return s.Send(finished)
	case err != nil:
		return err
	}
	began := time.Now()
	r, err := receiveChunks(s, offer, srv.store, func(offset uint64) {
		srv.log.Info("snapshot.receive_started", "index", offer.Snapshot.GetIndex(), "bytes", offer.Size, "offset", offset)
	})
	if err != nil {
		return err
	}
	if err := errorInLoop(srv.ctx, srv, func() error { return srv.install(r) }); err != nil {
		return err
	}
	srv.log.Info("snapshot.installed", "index", offer.Snapshot.GetIndex(), "bytes", offer.Size, "duration_ms", time.Since(began).Milliseconds())
	return s.Send(finished)
}

// checkOffer returns errNotNeeded for a snapshot that is not ahead of the state here, and another error for one that is
// not to be taken from this sender.
func (srv *Server) checkOffer(offer *wire.SnapshotOffer) error {
	switch {
	case offer.To != srv.store.ID:
		return errWrongReceiver
	case offer.Term < srv.consensus.Term():
		return errStaleTerm
	case offer.Snapshot.GetIndex() <= srv.consensus.Committed():
		return errNotNeeded
	}
	return nil
}

// receiveChunks writes the chunks of an offered snapshot to the folder as they come, acknowledges each, and decodes the
// state once it is complete. started is called with the offset of a transfer that is resumed.
func receiveChunks(stream messageStream, offer *wire.SnapshotOffer, st *store.Store, started func(offset uint64)) (*receivedSnapshot, error) {
	incoming, err := st.Receive(offer.Snapshot.GetIndex(), offer.Size, offer.Checksum)
	if err != nil {
		return nil, err
	}
	defer incoming.Close()
	started(incoming.Offset())
	for {
		if err := stream.Send(&wire.SnapshotStatus{Offset: incoming.Offset()}); err != nil {
			return nil, err
		}
		if incoming.Offset() == offer.Size {
			break
		}
		chunk := new(wire.SnapshotChunk)
		if err := stream.Recv(chunk); err != nil {
			return nil, err
		}
		if err := incoming.Write(chunk.Data); err != nil {
			return nil, err
		}
	}
	staged, err := incoming.Finish()
	if err != nil {
		return nil, err
	}
	r := &receivedSnapshot{snapshot: offer.Snapshot, staged: staged}
	r.snapshot.Data = staged.Data
	if r.catalog, err = catalog.Decode(staged.Data); err != nil {
		staged.Discard()
		return nil, err
	}
	return r, nil
}

// install passes a snapshot to the consensus, and carries out what that asks for: save puts the snapshot in force.
func (srv *Server) install(r *receivedSnapshot) error {
	srv.installing = r
	srv.consensus.InstallSnapshot(srv.now(), r.snapshot)
	srv.flush()
	if srv.installing != nil { // the log has passed it meanwhile
		srv.installing = nil
		r.staged.Discard()
	}
	return srv.ctx.Err()
}

// restoreState replaces the state by that of a snapshot that is on disk.
func (srv *Server) restoreState(s *wire.RaftSnapshot) error {
	if r := srv.installing; r != nil && r.snapshot == s {
		srv.catalog, srv.installing = r.catalog, nil
		return nil
	}
	return srv.catalog.Restore(s.Data)
}

// stagedFor returns the data of a snapshot if it is on disk already; nil: it is not.
func (srv *Server) stagedFor(s *wire.RaftSnapshot) *store.StagedSnapshot {
	if r := srv.installing; s != nil && r != nil && r.snapshot == s {
		return r.staged
	}
	return nil
}
