package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/transport/wire"
)

const (
	maxTransfers      = 2                      // snapshots that are sent at a time
	chunkBytes        = 64 << 10               // bytes of a snapshot in one message
	maxUnacknowledged = 256 << 10              // bytes in flight
	progressInterval  = 200 * time.Millisecond // between two reports to the consensus
	transferTimeout   = 5 * time.Minute        // for a whole snapshot
)

var (
	errStaleTerm     = errors.New("the snapshot is from a leader of an earlier term")
	errWrongReceiver = errors.New("the snapshot is for another member")
	errNotNeeded     = errors.New("the member has the snapshot's state already")
	errSuperseded    = errors.New("another snapshot has replaced this one")
)

// messageStream is a bidirectional stream of messages: an rpc.Stream, or a test's.
type messageStream interface {
	Send(proto.Message) error
	Recv(proto.Message) error
}

// transfer is a snapshot that is being sent to a member.
type transfer struct {
	snapshot *wire.RaftSnapshot
	cancel   context.CancelFunc
}

// startTransfer carries an INSTALL_SNAPSHOT message of the consensus out, on a connection of its own so that heartbeats do
// not queue behind the data. The same snapshot's transfer, if it is in progress, goes on.
func (srv *Server) startTransfer(m *wire.RaftMessage, address string) {
	if running := srv.transfers[m.To]; running != nil {
		if running.snapshot == m.Snapshot {
			return
		}
		running.cancel()
		delete(srv.transfers, m.To)
	}
	if len(srv.transfers) >= maxTransfers {
		srv.consensus.ReportSnapshot(srv.now(), m.To, m.Snapshot.Index, raft.SnapshotFailed)
		return
	}
	ctx, cancel := context.WithTimeout(srv.ctx, transferTimeout)
	t := &transfer{m.Snapshot, cancel}
	srv.transfers[m.To] = t
	offer := offerOf(m)
	srv.workers.Go(func() {
		defer cancel()
		began := time.Now()
		srv.log.Info("snapshot.send_started", "to", address, "index", t.snapshot.Index, "bytes", len(t.snapshot.Data))
		sent, err := srv.transfer(ctx, address, offer, t)
		if err != nil {
			srv.log.Warn("snapshot.send_failed", "to", address, "index", t.snapshot.Index, "sent_bytes", sent, "duration_ms", time.Since(began).Milliseconds(), "err", err)
		} else {
			srv.log.Info("snapshot.sent", "to", address, "index", t.snapshot.Index, "sent_bytes", sent, "duration_ms", time.Since(began).Milliseconds())
		}
		srv.runInLoop(func() { srv.endTransfer(m.To, t, err) })
	})
}

// endTransfer reports the end of a transfer to the consensus.
func (srv *Server) endTransfer(to uint64, t *transfer, err error) {
	if srv.transfers[to] != t { // it was replaced by a newer one
		return
	}
	delete(srv.transfers, to)
	event := raft.SnapshotFinished
	if err != nil {
		event = raft.SnapshotFailed
	}
	srv.consensus.ReportSnapshot(srv.now(), to, t.snapshot.Index, event)
}

// transfer sends a snapshot over a new stream.
func (srv *Server) transfer(ctx context.Context, address string, offer *wire.SnapshotOffer, t *transfer) (sent int, err error) {
	offer.Checksum = store.Checksum(t.snapshot.Data)
	stream, err := srv.snapshotPool.Open(ctx, address, "snapshot", offer)
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	var reported time.Time
	return sendChunks(stream, t.snapshot.Data, func() {
		if time.Since(reported) < progressInterval {
			return
		}
		reported = time.Now()
		srv.runInLoop(func() { srv.consensus.ReportSnapshot(srv.now(), offer.To, t.snapshot.Index, raft.SnapshotProgress) })
	})
}

// offerOf describes the snapshot of a message, without its data.
func offerOf(m *wire.RaftMessage) *wire.SnapshotOffer {
	return &wire.SnapshotOffer{
		From: m.From, To: m.To, Term: m.Term, Size: uint64(len(m.Snapshot.Data)),
		Snapshot: &wire.RaftSnapshot{Term: m.Snapshot.Term, Index: m.Snapshot.Index, Peers: m.Snapshot.Peers},
	}
}

// sendChunks sends a snapshot's data after an offer, from the receiver's offset on, and returns how many bytes it sent. The
// receiver's answers are the flow control.
func sendChunks(stream messageStream, data []byte, progress func()) (sent int, err error) {
	status := new(wire.SnapshotStatus)
	if err := stream.Recv(status); err != nil {
		return 0, err
	}
	next := status.Offset
	for !status.Finished {
		if status.Offset > next || next > uint64(len(data)) {
			return sent, fmt.Errorf("the receiver has %d bytes of %d, and %d were sent", status.Offset, len(data), next)
		}
		for next < uint64(len(data)) && next-status.Offset < maxUnacknowledged {
			chunk := data[next:min(next+chunkBytes, uint64(len(data)))]
			if err := stream.Send(&wire.SnapshotChunk{Data: chunk}); err != nil {
				return sent, err
			}
			next += uint64(len(chunk))
			sent += len(chunk)
		}
		status = new(wire.SnapshotStatus)
		if err := stream.Recv(status); err != nil {
			return sent, err
		}
		progress()
	}
	return sent, nil
}
