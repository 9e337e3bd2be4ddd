package rpc

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// emptyHeader is the encoding of an empty element of ForwardRequest.headers.
var emptyHeader = []byte{5<<3 | 2, 0}

// manyElements returns a message that encodes the given number of elements.
func manyElements(elements int) *wire.ForwardRequest {
	m := new(wire.ForwardRequest)
	m.ProtoReflect().SetUnknown(bytes.Repeat(emptyHeader, elements))
	return m
}

// TestElementsOfMessageAreBounded guards against a message that takes a process over its memory by many elements of two bytes
// each, of which each becomes a struct.
func TestElementsOfMessageAreBounded(t *testing.T) {
	addr, pool, _ := serve(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for elements, want := range map[int]string{maxElements: "", maxElements + 1: "more than 262144 elements"} {
		err := pool.Call(ctx, addr, "echo", manyElements(elements), new(wire.ForwardResponse))
		if want == "" && err != nil || want != "" && (!IsPeerError(err) || !strings.Contains(err.Error(), want)) {
			t.Errorf("%d elements: error %v, want %q", elements, err, want)
		}
	}
}

// TestElementsAtOnceAreBounded guards against messages that together take a process over its memory, and checks that a stream
// that ends releases its elements.
func TestElementsAtOnceAreBounded(t *testing.T) {
	addr, pool, _ := serve(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	awaitElements(ctx, t, 0) // of earlier tests
	open := func() (*Stream, error) {
		t.Helper()
		s, err := pool.Open(ctx, addr, "flood elements", manyElements(maxElements)) // responds until it is closed
		if err != nil {
			t.Fatal(err)
		}
		return s, s.Recv(new(wire.ForwardResponse))
	}
	var streams []*Stream
	for range maxElementsAtOnce / maxElements {
		s, err := open()
		if err != nil {
			t.Fatal(err)
		}
		streams = append(streams, s)
	}
	if s, err := open(); !IsPeerError(err) || !strings.Contains(err.Error(), ErrTooLarge.Error()) {
		t.Errorf("one message more: error %v, want %v", err, ErrTooLarge)
	} else {
		s.Close()
	}
	streams[0].Close()
	awaitElements(ctx, t, maxElementsAtOnce-maxElements)
	if s, err := open(); err != nil {
		t.Errorf("after the end of a stream: error %v", err)
	} else {
		s.Close()
	}
	streams[1].Close()
	awaitElements(ctx, t, 0)
}

// awaitElements waits until at most the given number of elements are counted: handlers end after their callers.
func awaitElements(ctx context.Context, t *testing.T, most int64) {
	t.Helper()
	for handledElements.Load() > most && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if counted := handledElements.Load(); counted < 0 || counted > most {
		t.Fatalf("%d elements are counted, want at most %d", counted, most)
	}
}
