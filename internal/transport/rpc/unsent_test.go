package rpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// failingConn accepts a limited number of bytes. Every Write returns an error.
type failingConn struct {
	net.Conn
	remaining int
	sent      bytes.Buffer
}

func (c *failingConn) Write(b []byte) (int, error) {
	n := min(c.remaining, len(b))
	c.remaining -= n
	c.sent.Write(b[:n])
	return n, errors.New("reset") // also if all bytes were accepted
}

func (c *failingConn) SetWriteDeadline(time.Time) error { return nil }

// TestNotSentAfterFailedWrite fails the write of a request after each possible number of bytes. The call may return
// ErrNotSent only if the peer did not receive the complete frame.
func TestNotSentAfterFailedWrite(t *testing.T) {
	unsent, unknown := 0, 0
	for accepted := range 200 {
		a, b := net.Pipe()
		nc := &failingConn{Conn: a, remaining: accepted}
		c := newConn(context.Background(), nc, nil)
		_, err := c.open(context.Background(), nil, time.Time{}, "forward", &wire.ForwardRequest{Attempt: "once", Body: make([]byte, 100)}, true)
		sent := nc.sent.Bytes()
		complete := len(sent) >= 4 && len(sent) >= 4+int(binary.BigEndian.Uint32(sent))
		switch {
		case err == nil:
			t.Errorf("no error after a write of %d bytes", accepted)
		case errors.Is(err, ErrNotSent) && complete:
			t.Errorf("ErrNotSent, although the peer received the complete frame after %d bytes", accepted)
		case errors.Is(err, ErrNotSent):
			unsent++
		default:
			unknown++
		}
		a.Close()
		b.Close()
	}
	if unsent == 0 || unknown == 0 {
		t.Errorf("%d calls were not sent and %d may have been sent, want both to occur", unsent, unknown)
	}
}

// TestStreamNumbersInUseAreSkipped checks that stream IDs wrap and skip those in use.
func TestStreamNumbersInUseAreSkipped(t *testing.T) {
	c := &conn{streams: map[uint32]*Stream{1: {}}, nextStream: math.MaxUint32}
	if first, second := c.allocateStreamID(), c.allocateStreamID(); first != math.MaxUint32 || second != 2 {
		t.Errorf("stream IDs %d and %d, want the maximum and then the first unused one", first, second)
	}
}

// TestSearchOfStreamNumbers opens and ends random streams while the IDs wrap repeatedly. No allocated ID may be 0 or in use.
func TestSearchOfStreamNumbers(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 0x57e))
		c := &conn{streams: map[uint32]*Stream{}, nextStream: 1}
		for range 2000 {
			switch rng.IntN(10) {
			case 0: // shortly before the IDs wrap
				c.nextStream = math.MaxUint32 - uint32(rng.IntN(20))
			case 1, 2, 3, 4:
				for id := range c.streams {
					delete(c.streams, id)
					break
				}
			default:
				id := c.allocateStreamID()
				if id == 0 || c.streams[id] != nil {
					t.Fatalf("seed %d: stream ID %d was allocated with %d streams open", seed, id, len(c.streams))
				}
				c.streams[id] = &Stream{}
			}
		}
	}
}
