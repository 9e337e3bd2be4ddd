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

// pipe is one end of a stream that breaks after so many messages from here.
type pipe struct {
	out, in chan proto.Message
	broken  chan struct{} // shared
	left    int           // below 0: it holds
}

func newPipe(left int) (a, b *pipe) {
	ab, ba, broken := make(chan proto.Message, 64), make(chan proto.Message, 64), make(chan struct{})
	return &pipe{out: ab, in: ba, broken: broken, left: left}, &pipe{out: ba, in: ab, broken: broken, left: -1}
}

// Send implements messages.
func (p *pipe) Send(m proto.Message) error {
	if p.left == 0 {
		close(p.broken)
	}
	p.left--
	select {
	case <-p.broken:
		return io.ErrClosedPipe
	case p.out <- m:
		return nil
	}
}

// Recv implements messages. What came before the break is still read.
func (p *pipe) Recv(m proto.Message) error {
	var got proto.Message
	select {
	case got = <-p.in:
	default:
		select {
		case got = <-p.in:
		case <-p.broken:
			return io.ErrClosedPipe
		}
	}
	proto.Reset(m)
	proto.Merge(m, got)
	return nil
}

// stateOf is a state of so many servers, as a snapshot's data.
func stateOf(t testing.TB, servers int) []byte {
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

// transferOnce sends a snapshot over a stream that breaks after so many pieces, and returns what was sent and received.
func transferOnce(st *store.Store, offer *wire.SnapshotOffer, data []byte, pieces int) (sent int, r *receivedSnapshot, err error) {
	sender, receiver := newPipe(pieces)
	done := make(chan error, 1)
	go func() {
		var err error
		if r, err = receiveChunks(receiver, proto.CloneOf(offer), st, func(uint64) {}); err == nil {
			err = receiver.Send(&wire.SnapshotStatus{Offset: offer.Size, Finished: true})
		}
		if err != nil && pieces < 0 {
			close(receiver.broken)
		}
		done <- err
	}()
	sent, err = sendChunks(sender, data, func() {})
	return sent, r, errors.Join(err, <-done)
}

// TestSnapshotTransferResumes: a stream that breaks after any piece, and a receiver that is started again, go on with what has
// come; nothing counts before all is there.
func TestSnapshotTransferResumes(t *testing.T) {
	data := stateOf(t, 12000)
	offer := &wire.SnapshotOffer{Snapshot: &wire.RaftSnapshot{Term: 2, Index: 900}, Size: uint64(len(data)), Checksum: store.Checksum(data)}
	dir := t.TempDir()
	total, tries := 0, 0
	for {
		if tries++; tries > 100 {
			t.Fatal("it never comes to an end")
		}
		st := openStore(t, dir)
		if st.Snapshot != nil {
			t.Fatal("a part of a snapshot is in force")
		}
		sent, r, err := transferOnce(st, offer, data, tries%3)
		total += sent
		if err != nil {
			st.Close()
			continue
		}
		if !bytes.Equal(r.snapshot.Data, data) || len(r.catalog.Servers()) != 12000 {
			t.Errorf("%d bytes have come of %d", len(r.snapshot.Data), len(data))
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
		t.Errorf("after a restart the snapshot is at %d, with %d bytes", st.Snapshot.GetIndex(), len(st.Snapshot.GetData()))
	}
	if tries < 3 || total > len(data)+tries*maxUnacknowledged {
		t.Errorf("%d bytes were sent in %d tries for %d", total, tries, len(data))
	}
}

// TestDamagedTransferRestarts: pieces that add up to something else than was offered are never installed, and the next
// try begins with none.
func TestDamagedTransferRestarts(t *testing.T) {
	data := stateOf(t, 3000)
	offer := &wire.SnapshotOffer{Snapshot: &wire.RaftSnapshot{Term: 2, Index: 900}, Size: uint64(len(data)), Checksum: store.Checksum(data)}
	st := openStore(t, t.TempDir())
	defer st.Close()
	wrong := bytes.Clone(data)
	wrong[len(wrong)/2] ^= 1
	if _, _, err := transferOnce(st, offer, wrong, -1); err == nil {
		t.Fatal("a damaged snapshot was taken")
	}
	sent, r, err := transferOnce(st, offer, data, -1)
	if err != nil || sent != len(data) || r == nil {
		t.Errorf("%d bytes sent of %d, %v", sent, len(data), err)
	}
}

// TestSnapshotTransferFlowControl: a receiver that answers nothing gets a bounded part.
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
	bytes := 0
	for bytes < maxUnacknowledged {
		piece := new(wire.SnapshotChunk)
		if err := receiver.Recv(piece); err != nil {
			t.Fatal(err)
		}
		bytes += len(piece.Data)
	}
	close(receiver.broken)
	if <-done == nil || bytes != maxUnacknowledged || len(receiver.in) > 0 {
		t.Errorf("%d bytes are under way without an answer, and %d pieces more", bytes, len(receiver.in))
	}
}
