package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

const (
	maxTransfers    = 2         // of snapshots from here at a time
	pieceBytes      = 64 << 10  // of a snapshot in one message
	unconfirmed     = 256 << 10 // bytes that may be under way without an answer
	progressEvery   = 200 * time.Millisecond
	transferTimeout = 5 * time.Minute
)

var (
	errOldTerm  = errors.New("the snapshot is from a leader of an earlier term")
	errNotMeant = errors.New("the snapshot is for another member")
	errReplaced = errors.New("another snapshot has taken this one's place")
)

// messages is a stream of messages both ways.
type messages interface {
	Send(proto.Message) error
	Recv(proto.Message) error
}

// transfer is a snapshot on its way from here to a member.
type transfer struct {
	snapshot *wire.RaftSnapshot
	cancel   context.CancelFunc
}

// startTransfer carries a SNAPSHOT message of the consensus out, on a connection of its own: heartbeats do not wait behind
// it. One that is under way already goes on.
func (n *Node) startTransfer(m *wire.RaftMessage, address string) {
	if running := n.transfers[m.To]; running != nil {
		if running.snapshot == m.Snapshot {
			return
		}
		running.cancel()
		delete(n.transfers, m.To)
	}
	if len(n.transfers) >= maxTransfers {
		n.consensus.ReportSnapshot(n.now(), m.To, m.Snapshot.Index, raft.SnapshotFailed)
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, transferTimeout)
	t := &transfer{m.Snapshot, cancel}
	n.transfers[m.To] = t
	offer := offerOf(m)
	n.workers.Go(func() {
		defer cancel()
		began := time.Now()
		n.log.Info("snapshot.send", "to", address, "index", t.snapshot.Index, "bytes", len(t.snapshot.Data))
		sent, err := n.transfer(ctx, address, offer, t)
		if err != nil {
			n.log.Warn("snapshot.send.failed", "to", address, "index", t.snapshot.Index, "sent", sent, "took", time.Since(began), "err", err)
		} else {
			n.log.Info("snapshot.sent", "to", address, "index", t.snapshot.Index, "sent", sent, "took", time.Since(began))
		}
		n.do(func() { n.endTransfer(m.To, t, err) })
	})
}

// endTransfer tells the consensus how a transfer ended.
func (n *Node) endTransfer(to uint64, t *transfer, err error) {
	if n.transfers[to] != t { // another has taken its place
		return
	}
	delete(n.transfers, to)
	event := raft.SnapshotFinished
	if err != nil {
		event = raft.SnapshotFailed
	}
	n.consensus.ReportSnapshot(n.now(), to, t.snapshot.Index, event)
}

// transfer sends a snapshot over a new stream.
func (n *Node) transfer(ctx context.Context, address string, offer *wire.SnapshotOffer, t *transfer) (sent int, err error) {
	offer.Checksum = store.Checksum(t.snapshot.Data)
	stream, err := n.transferPool.Open(ctx, address, "snapshot", offer)
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	var reported time.Time
	return sendPieces(stream, t.snapshot.Data, func() {
		if time.Since(reported) < progressEvery {
			return
		}
		reported = time.Now()
		n.do(func() { n.consensus.ReportSnapshot(n.now(), offer.To, t.snapshot.Index, raft.SnapshotProgress) })
	})
}

func offerOf(m *wire.RaftMessage) *wire.SnapshotOffer {
	return &wire.SnapshotOffer{
		From: m.From, To: m.To, Term: m.Term, Size: uint64(len(m.Snapshot.Data)),
		Snapshot: &wire.RaftSnapshot{Term: m.Snapshot.Term, Index: m.Snapshot.Index, Peers: m.Snapshot.Peers},
	}
}

// sendPieces sends a snapshot's data from where the receiver has it, after an offer, and returns how many bytes it sent. The
// receiver's answers are the flow control: little is under way without one.
func sendPieces(stream messages, data []byte, progress func()) (sent int, err error) {
	status := new(wire.SnapshotStatus)
	if err := stream.Recv(status); err != nil {
		return 0, err
	}
	next := status.Offset
	for !status.Finished {
		if status.Offset > next || next > uint64(len(data)) {
			return sent, fmt.Errorf("the receiver has %d bytes of %d, and %d were sent", status.Offset, len(data), next)
		}
		for next < uint64(len(data)) && next-status.Offset < unconfirmed {
			piece := data[next:min(next+pieceBytes, uint64(len(data)))]
			if err := stream.Send(&wire.SnapshotChunk{Data: piece}); err != nil {
				return sent, err
			}
			next += uint64(len(piece))
			sent += len(piece)
		}
		status = new(wire.SnapshotStatus)
		if err := stream.Recv(status); err != nil {
			return sent, err
		}
		progress()
	}
	return sent, nil
}

// received is a snapshot that has come in full and is to be installed.
type received struct {
	snapshot *wire.RaftSnapshot
	staged   *store.StagedSnapshot
	catalog  *catalog.Catalog
}

// snapshotStream takes a leader's snapshot in. One member takes one at a time: a new stream ends the one before, which may
// be of a leader that is cut off.
func (n *Node) snapshotStream(s *rpc.Stream) error {
	offer := new(wire.SnapshotOffer)
	if err := s.Recv(offer); err != nil {
		return err
	}
	if before := n.receiving.Swap(s); before != nil {
		before.Close()
	}
	defer n.receiving.CompareAndSwap(s, nil)
	n.receipt.Lock()
	defer n.receipt.Unlock()
	if n.receiving.Load() != s {
		return errReplaced
	}
	needed, err := n.inLoop(func() (bool, error) { return n.wanted(offer) })
	if err != nil {
		return err
	}
	if !needed {
		return s.Send(&wire.SnapshotStatus{Offset: offer.Size, Finished: true})
	}
	began := time.Now()
	r, err := receivePieces(s, offer, n.store, func(offset uint64) {
		n.log.Info("snapshot.receive", "index", offer.Snapshot.GetIndex(), "bytes", offer.Size, "have", offset)
	})
	if err != nil {
		return err
	}
	if _, err := n.inLoop(func() (bool, error) { return true, n.install(r) }); err != nil {
		return err
	}
	n.log.Info("snapshot.installed", "index", offer.Snapshot.GetIndex(), "bytes", offer.Size, "took", time.Since(began))
	return s.Send(&wire.SnapshotStatus{Offset: offer.Size, Finished: true})
}

// inLoop runs a function in the loop and returns what it does.
func (n *Node) inLoop(f func() (bool, error)) (bool, error) {
	type result struct {
		ok  bool
		err error
	}
	done := make(chan result, 1)
	if !n.do(func() {
		ok, err := f()
		done <- result{ok, err}
	}) {
		return false, n.ctx.Err()
	}
	select {
	case r := <-done:
		return r.ok, r.err
	case <-n.ctx.Done():
		return false, n.ctx.Err()
	}
}

// wanted reports whether an offered snapshot is ahead of what is here.
func (n *Node) wanted(offer *wire.SnapshotOffer) (bool, error) {
	switch {
	case offer.To != n.store.ID:
		return false, errNotMeant
	case offer.Term < n.consensus.Term():
		return false, errOldTerm
	}
	return offer.Snapshot.GetIndex() > n.consensus.Committed(), nil
}

// receivePieces writes the pieces of an offered snapshot to the folder as they come, answers each, and reads the state
// once all are there.
func receivePieces(stream messages, offer *wire.SnapshotOffer, st *store.Store, begun func(offset uint64)) (*received, error) {
	incoming, err := st.Receive(offer.Snapshot.GetIndex(), offer.Size, offer.Checksum)
	if err != nil {
		return nil, err
	}
	defer incoming.Close()
	begun(incoming.Offset())
	for {
		if err := stream.Send(&wire.SnapshotStatus{Offset: incoming.Offset()}); err != nil {
			return nil, err
		}
		if incoming.Offset() == offer.Size {
			break
		}
		piece := new(wire.SnapshotChunk)
		if err := stream.Recv(piece); err != nil {
			return nil, err
		}
		if err := incoming.Write(piece.Data); err != nil {
			return nil, err
		}
	}
	staged, err := incoming.Finish()
	if err != nil {
		return nil, err
	}
	r := &received{snapshot: offer.Snapshot, staged: staged}
	r.snapshot.Data = staged.Data
	if r.catalog, err = catalog.Decode(staged.Data); err != nil {
		staged.Discard()
		return nil, err
	}
	return r, nil
}

// install hands a snapshot to the consensus and carries out what it says: see save, which puts it in force.
func (n *Node) install(r *received) error {
	n.installing = r
	n.consensus.InstallSnapshot(n.now(), r.snapshot)
	n.flush()
	if n.installing != nil { // the log has gone beyond it meanwhile
		n.installing = nil
		r.staged.Discard()
	}
	return n.ctx.Err()
}

// restoreState replaces the state by a snapshot's that is on disk.
func (n *Node) restoreState(s *wire.RaftSnapshot) error {
	if r := n.installing; r != nil && r.snapshot == s {
		n.catalog, n.installing = r.catalog, nil
		return nil
	}
	return n.catalog.Restore(s.Data)
}

// staged is the data on disk of a snapshot that is to be saved; nil: it is not there yet.
func (n *Node) staged(s *wire.RaftSnapshot) *store.StagedSnapshot {
	if r := n.installing; s != nil && r != nil && r.snapshot == s {
		return r.staged
	}
	return nil
}
