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

// snapshotReceiver limits incoming snapshots to one at a time.
type snapshotReceiver struct {
	receivingFrom atomic.Pointer[rpc.Stream] // the most recent stream
	receiveMu     sync.Mutex                 // held while a snapshot is received
}

// receivedSnapshot is a snapshot that is complete on disk and decoded, but not yet installed.
type receivedSnapshot struct {
	snapshot *wire.RaftSnapshot
	staged   *store.StagedSnapshot
	catalog  *catalog.Catalog
}

// snapshotStream receives a leader's snapshot and installs it. A new stream closes the previous one, whose leader may
// be partitioned.
func (srv *Server) snapshotStream(stream *rpc.Stream) error {
	offer := new(wire.SnapshotOffer)
	if err := stream.Recv(offer); err != nil {
		return err
	}
	if previous := srv.receivingFrom.Swap(stream); previous != nil {
		previous.Close()
	}
	defer srv.receivingFrom.CompareAndSwap(stream, nil)
	srv.receiveMu.Lock()
	defer srv.receiveMu.Unlock()
	if srv.receivingFrom.Load() != stream {
		return errSuperseded
	}
	finished := &wire.SnapshotStatus{Offset: offer.Size, Finished: true}
	switch err := callErrInLoop(srv.ctx, srv, func() error { return srv.checkOffer(offer) }); {
	case errors.Is(err, errNotNeeded):
		return stream.Send(finished)
	case err != nil:
		return err
	}
	start := time.Now()
	received, err := receiveChunks(stream, offer, srv.store, func(offset uint64) {
		srv.log.Info("snapshot.receive_started", "index", offer.Snapshot.GetIndex(), "bytes", offer.Size, "offset", offset)
	})
	if err != nil {
		return err
	}
	if err := callErrInLoop(srv.ctx, srv, func() error { return srv.install(received) }); err != nil {
		return err
	}
	srv.log.Info("snapshot.installed", "index", offer.Snapshot.GetIndex(), "bytes", offer.Size, "duration_ms", time.Since(start).Milliseconds())
	return stream.Send(finished)
}

// checkOffer returns errNotNeeded for a snapshot at or below the commit index, and another error for one that is
// addressed to another member or comes from a leader of an earlier term.
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

// receiveChunks writes the chunks of an offered snapshot to the store, acknowledges each, and decodes the state when
// all are received. It calls started with the offset of the first chunk, which is zero unless an earlier transfer is
// resumed.
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
	received := &receivedSnapshot{snapshot: offer.Snapshot, staged: staged}
	received.snapshot.Data = staged.Data
	if received.catalog, err = catalog.Decode(staged.Data); err != nil {
		staged.Discard()
		return nil, err
	}
	return received, nil
}

// install passes a snapshot to the consensus and calls flush, which saves it and replaces the state.
func (srv *Server) install(received *receivedSnapshot) error {
	srv.installing = received
	srv.consensus.InstallSnapshot(srv.now(), received.snapshot)
	srv.flush()
	if srv.installing != nil { // the member already has the snapshot's entries, or the server has stopped
		srv.installing = nil
		received.staged.Discard()
	}
	return srv.ctx.Err()
}

// restoreState replaces the state by that of a snapshot, which is already decoded if it is the one being installed.
func (srv *Server) restoreState(snapshot *wire.RaftSnapshot) error {
	if received := srv.installing; received != nil && received.snapshot == snapshot {
		srv.catalog, srv.installing = received.catalog, nil
		return nil
	}
	return srv.catalog.Restore(snapshot.Data)
}

// stagedSnapshot returns the staged data of the snapshot being installed, or nil for any other snapshot.
func (srv *Server) stagedSnapshot(snapshot *wire.RaftSnapshot) *store.StagedSnapshot {
	if received := srv.installing; snapshot != nil && received != nil && received.snapshot == snapshot {
		return received.staged
	}
	return nil
}
