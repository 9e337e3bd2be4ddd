package server

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/transport/wire"
)

// pipe is one end of an in-memory messageStream that breaks after a number of sent messages.
type pipe struct {
	outgoing, incoming chan proto.Message
	broken             chan struct{} // closed when the stream breaks; shared by both ends
	sendsLeft          int           // messages before the break; negative for no limit
}

// newPipe returns both ends of a stream that breaks after maxSends messages from a.
func newPipe(maxSends int) (a, b *pipe) {
	ab, ba, broken := make(chan proto.Message, 64), make(chan proto.Message, 64), make(chan struct{})
	return &pipe{outgoing: ab, incoming: ba, broken: broken, sendsLeft: maxSends}, &pipe{outgoing: ba, incoming: ab, broken: broken, sendsLeft: -1}
}

// Send implements messageStream.
func (p *pipe) Send(m proto.Message) error {
	if p.sendsLeft == 0 {
		close(p.broken)
	}
	p.sendsLeft--
	select {
	case <-p.broken:
		return io.ErrClosedPipe
	case p.outgoing <- m:
		return nil
	}
}

// Recv implements messageStream. It still returns messages that were sent before the break.
func (p *pipe) Recv(m proto.Message) error {
	var got proto.Message
	select {
	case got = <-p.incoming:
	default:
		select {
		case got = <-p.incoming:
		case <-p.broken:
			return io.ErrClosedPipe
		}
	}
	proto.Reset(m)
	proto.Merge(m, got)
	return nil
}

// encodeState returns the snapshot data of a state with a number of servers.
func encodeState(t testing.TB, servers int) []byte {
	t.Helper()
	c := catalog.New()
	for i := range servers {
		s := &wire.Server{Member: fmt.Sprintf("server-%d", i), Service: "some-service", Node: fmt.Sprintf("node-%d", i/4)}
		if _, err := c.Apply(&wire.Command{Change: &wire.Command_Server{Server: s}}); err != nil {
			t.Fatal(err)
		}
	}
	data, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func openStore(t *testing.T, dir string) *store.Store {
	t.Helper()
	s, err := store.Open(dir, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// transferOnce sends a snapshot over a stream that breaks after maxSends chunks. It returns the number of bytes sent
// and the received snapshot.
func transferOnce(st *store.Store, offer *wire.SnapshotOffer, data []byte, maxSends int) (sent int, r *receivedSnapshot, err error) {
	sender, receiver := newPipe(maxSends)
	done := make(chan error, 1)
	go func() {
		var err error
		if r, err = receiveChunks(receiver, proto.CloneOf(offer), st, func(uint64) {}); err == nil {
			err = receiver.Send(&wire.SnapshotStatus{Offset: offer.Size, Finished: true})
		}
		if err != nil && maxSends < 0 {
			close(receiver.broken)
		}
		done <- err
	}()
	sent, err = sendChunks(sender, data, func() {})
	return sent, r, errors.Join(err, <-done)
}

// TestSnapshotTransferResumes checks that a transfer resumes after a broken stream and a restart of the receiver, and
// that a partial snapshot is never loaded.
func TestSnapshotTransferResumes(t *testing.T) {
	data := encodeState(t, 12000)
	offer := &wire.SnapshotOffer{Snapshot: &wire.RaftSnapshot{Term: 2, Index: 900}, Size: uint64(len(data)), Checksum: store.Checksum(data)}
	dir := t.TempDir()
	total, attempts := 0, 0
	for {
		if attempts++; attempts > 100 {
			t.Fatal("the transfer did not complete in 100 attempts")
		}
		st := openStore(t, dir)
		if st.Snapshot != nil {
			t.Fatal("the store loaded a partial snapshot")
		}
		sent, r, err := transferOnce(st, offer, data, attempts%3)
		total += sent
		if err != nil {
			st.Close()
			continue
		}
		if !bytes.Equal(r.snapshot.Data, data) || len(r.catalog.Servers()) != 12000 {
			t.Errorf("received %d bytes, want %d; the data differs or servers are missing", len(r.snapshot.Data), len(data))
		}
		if err := st.Save(store.Batch{Snapshot: r.snapshot, Staged: r.staged, ReplacesLog: true}); err != nil {
			t.Fatal(err)
		}
		st.Close()
		break
	}
	st := openStore(t, dir)
	defer st.Close()
	if st.Snapshot.GetIndex() != 900 || !bytes.Equal(st.Snapshot.Data, data) {
		t.Errorf("snapshot after a restart has index %d and %d bytes, want index 900 and the data that was sent", st.Snapshot.GetIndex(), len(st.Snapshot.GetData()))
	}
	if attempts < 3 || total > len(data)+attempts*maxUnacknowledged {
		t.Errorf("%d bytes sent in %d attempts for a snapshot of %d bytes, want at least 3 attempts and at most maxUnacknowledged resent bytes for each", total, attempts, len(data))
	}
}

// TestDamagedTransferRestarts checks that data with a wrong checksum is discarded, and that the next attempt starts
// from offset 0.
func TestDamagedTransferRestarts(t *testing.T) {
	data := encodeState(t, 3000)
	offer := &wire.SnapshotOffer{Snapshot: &wire.RaftSnapshot{Term: 2, Index: 900}, Size: uint64(len(data)), Checksum: store.Checksum(data)}
	st := openStore(t, t.TempDir())
	defer st.Close()
	corrupted := bytes.Clone(data)
	corrupted[len(corrupted)/2] ^= 1
	if _, _, err := transferOnce(st, offer, corrupted, -1); err == nil {
		t.Fatal("a corrupted snapshot was accepted")
	}
	sent, r, err := transferOnce(st, offer, data, -1)
	if err != nil || sent != len(data) || r == nil {
		t.Errorf("sent %d bytes, want %d; error %v", sent, len(data), err)
	}
}

// TestSnapshotTransferFlowControl checks that the sender has at most maxUnacknowledged bytes in flight.
func TestSnapshotTransferFlowControl(t *testing.T) {
	sender, receiver := newPipe(-1)
	done := make(chan error, 1)
	go func() {
		_, err := sendChunks(sender, make([]byte, 8<<20), func() {})
		done <- err
	}()
	if err := receiver.Send(&wire.SnapshotStatus{}); err != nil {
		t.Fatal(err)
	}
	received := 0
	for received < maxUnacknowledged {
		chunk := new(wire.SnapshotChunk)
		if err := receiver.Recv(chunk); err != nil {
			t.Fatal(err)
		}
		received += len(chunk.Data)
	}
	close(receiver.broken)
	if <-done == nil || received != maxUnacknowledged || len(receiver.incoming) > 0 {
		t.Errorf("%d unacknowledged bytes in flight, want maxUnacknowledged; %d further chunks", received, len(receiver.incoming))
	}
}
