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

// failingConn takes in a number of bytes, then every write fails.
type failingConn struct {
	net.Conn
	left int
	sent bytes.Buffer
}

func (c *failingConn) Write(b []byte) (int, error) {
	n := min(c.left, len(b))
	c.left -= n
	c.sent.Write(b[:n])
	return n, errors.New("reset") // also where all was taken in
}

func (c *failingConn) SetWriteDeadline(time.Time) error { return nil }

// TestNotSentAfterFailedWrite fails the write of a request behind each of its bytes: where the caller is told
// that it was not sent, the peer can't read it whole.
func TestNotSentAfterFailedWrite(t *testing.T) {
	unsent, perhaps := 0, 0
	for left := range 200 {
		a, b := net.Pipe()
		nc := &failingConn{Conn: a, left: left}
		c := newConn(context.Background(), nc, nil)
		_, err := c.open(context.Background(), nil, time.Time{}, "forward", &wire.ForwardRequest{Attempt: "once", Body: make([]byte, 100)}, true)
		sent := nc.sent.Bytes()
		whole := len(sent) >= 4 && len(sent) >= 4+int(binary.BigEndian.Uint32(sent))
		switch {
		case err == nil:
			t.Errorf("no error after %d bytes", left)
		case errors.Is(err, ErrNotSent) && whole:
			t.Errorf("told to be unsent, though the peer has all of it after %d bytes", left)
		case errors.Is(err, ErrNotSent):
			unsent++
		default:
			perhaps++
		}
		a.Close()
		b.Close()
	}
	if unsent == 0 || perhaps == 0 {
		t.Errorf("%d unsent and %d perhaps sent: the failures did not reach both", unsent, perhaps)
	}
}

// TestStreamNumbersInUseAreSkipped: after the last number the first ones follow, but for those in use.
func TestStreamNumbersInUseAreSkipped(t *testing.T) {
	c := &conn{streams: map[uint32]*Stream{1: {}}, nextStream: math.MaxUint32}
	if a, b := c.freeStream(), c.freeStream(); a != math.MaxUint32 || b != 2 {
		t.Errorf("streams %d and %d, want the last number and then the first that is free", a, b)
	}
}

// TestSearchOfStreamNumbers draws streams that are opened and ended, with the numbers coming to their end again and again:
// none is 0 or in use.
func TestSearchOfStreamNumbers(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 0x57e))
		c := &conn{streams: map[uint32]*Stream{}, nextStream: 1}
		for range 2000 {
			switch rng.IntN(10) {
			case 0: // many streams later
				c.nextStream = math.MaxUint32 - uint32(rng.IntN(20))
			case 1, 2, 3, 4:
				for id := range c.streams {
					delete(c.streams, id)
					break
				}
			default:
				id := c.freeStream()
				if id == 0 || c.streams[id] != nil {
					t.Fatalf("seed %d: number %d is given, with %d streams open", seed, id, len(c.streams))
				}
				c.streams[id] = &Stream{}
			}
		}
	}
}
