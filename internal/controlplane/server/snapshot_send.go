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
	maxTransfers      = 2                      // concurrent outgoing transfers
	chunkBytes        = 64 << 10               // size of a chunk message
	maxUnacknowledged = 256 << 10              // bytes in flight to a receiver
	progressInterval  = 200 * time.Millisecond // minimum time between two progress reports to the consensus
	transferTimeout   = 5 * time.Minute        // timeout of a whole transfer
)

var (
	errStaleTerm     = errors.New("the snapshot is from a leader of an earlier term")
	errWrongReceiver = errors.New("the snapshot is for another member")
	errNotNeeded     = errors.New("the member has the snapshot's state already")
	errSuperseded    = errors.New("another snapshot has replaced this one")
)

// messageStream is the part of rpc.Stream that transfers use. Tests substitute it.
type messageStream interface {
	Send(proto.Message) error
	Recv(proto.Message) error
}

// transfer is an outgoing snapshot transfer in progress.
type transfer struct {
	snapshot *wire.RaftSnapshot
	cancel   context.CancelFunc
}

// startTransfer sends the snapshot of an INSTALL_SNAPSHOT message over a separate connection, so that the data does not
// delay heartbeats. It does nothing if a transfer of the same snapshot to that member is in progress, and cancels the
// transfer of another snapshot.
func (srv *Server) startTransfer(message *wire.RaftMessage, address string) {
	if running := srv.transfers[message.To]; running != nil {
		if running.snapshot == message.Snapshot {
			return
		}
		running.cancel()
		delete(srv.transfers, message.To)
	}
	if len(srv.transfers) >= maxTransfers {
		srv.consensus.ReportSnapshot(srv.now(), message.To, message.Snapshot.Index, raft.SnapshotFailed)
		return
	}
	ctx, cancel := context.WithTimeout(srv.ctx, transferTimeout)
	outgoing := &transfer{message.Snapshot, cancel}
	srv.transfers[message.To] = outgoing
	offer := newOffer(message)
	srv.workers.Go(func() {
		defer cancel()
		start := time.Now()
		srv.log.Info("snapshot.send_started", "to", address, "index", outgoing.snapshot.Index, "bytes", len(outgoing.snapshot.Data))
		sent, err := srv.sendSnapshot(ctx, address, offer, outgoing)
		if err != nil {
			srv.log.Warn("snapshot.send_failed", "to", address, "index", outgoing.snapshot.Index, "sent_bytes", sent, "duration_ms", time.Since(start).Milliseconds(), "err", err)
		} else {
			srv.log.Info("snapshot.sent", "to", address, "index", outgoing.snapshot.Index, "sent_bytes", sent, "duration_ms", time.Since(start).Milliseconds())
		}
		srv.runInLoop(func() { srv.endTransfer(message.To, outgoing, err) })
	})
}

// endTransfer reports the end of a transfer to the consensus.
func (srv *Server) endTransfer(to uint64, outgoing *transfer, err error) {
	if srv.transfers[to] != outgoing { // replaced by a newer transfer
		return
	}
	delete(srv.transfers, to)
	event := raft.SnapshotFinished
	if err != nil {
		event = raft.SnapshotFailed
	}
	srv.consensus.ReportSnapshot(srv.now(), to, outgoing.snapshot.Index, event)
}

// sendSnapshot sends a snapshot over a new stream, and returns the number of data bytes sent.
func (srv *Server) sendSnapshot(ctx context.Context, address string, offer *wire.SnapshotOffer, outgoing *transfer) (sent int, err error) {
	offer.Checksum = store.Checksum(outgoing.snapshot.Data)
	stream, err := srv.snapshotPool.Open(ctx, address, "snapshot", offer)
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	var reportedAt time.Time
	return sendChunks(stream, outgoing.snapshot.Data, func() {
		if time.Since(reportedAt) < progressInterval {
			return
		}
		reportedAt = time.Now()
		srv.runInLoop(func() {
			srv.consensus.ReportSnapshot(srv.now(), offer.To, outgoing.snapshot.Index, raft.SnapshotProgress)
		})
	})
}

// newOffer returns the offer of a message's snapshot, without the data and its checksum.
func newOffer(message *wire.RaftMessage) *wire.SnapshotOffer {
	return &wire.SnapshotOffer{
		From: message.From, To: message.To, Term: message.Term, Size: uint64(len(message.Snapshot.Data)),
		Snapshot: &wire.RaftSnapshot{Term: message.Snapshot.Term, Index: message.Snapshot.Index, Peers: message.Snapshot.Peers},
	}
}

// sendChunks sends a snapshot's data from the receiver's offset on, and returns the number of bytes sent. The
// receiver's status messages acknowledge chunks, and at most maxUnacknowledged bytes are in flight.
func sendChunks(stream messageStream, data []byte, progress func()) (sent int, err error) {
	status := new(wire.SnapshotStatus)
	if err := stream.Recv(status); err != nil {
		return 0, err
	}
	next := status.Offset
	for !status.Finished {
		if status.Offset > next || next > uint64(len(data)) {
			return sent, fmt.Errorf("snapshot receiver reported offset %d; the snapshot has %d bytes, and the next offset to send is %d", status.Offset, len(data), next)
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
