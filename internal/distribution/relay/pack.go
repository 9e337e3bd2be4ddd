package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

const (
	packAbove   = 2 << 10  // in bytes; smaller changes are sent uncompressed
	maxUnpacked = 32 << 20 // in bytes of decompressed changes; 28,000 servers take 2 MB, a configuration at most 8 MB
	maxElements = 1 << 21  // elements of decompressed changes, see wire.CountElements; the largest state has half as many
)

// errUnpack ends the subscription to a parent whose packed changes cannot be decoded.
var errUnpack = errors.New("relay: cannot decode packed changes")

// pack returns a feed that contains the changes. Large changes are compressed, as resources resemble each other and a slow
// link would delay them.
func pack(changes *wire.Changes) (*wire.Feed, error) {
	plain := &wire.Feed{Changes: changes}
	if proto.Size(changes) < packAbove {
		return plain, nil
	}
	data, err := proto.Marshal(changes)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return &wire.Feed{Packed: packed.Bytes()}, nil
}

// unpack decompresses a feed's packed changes and moves them to feed.Changes. Other feeds stay unchanged.
func unpack(feed *wire.Feed) error {
	if len(feed.Packed) == 0 {
		return nil
	}
	r := flate.NewReader(bytes.NewReader(feed.Packed))
	defer r.Close()
	data, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return fmt.Errorf("%w: %w", errUnpack, err)
	}
	if len(data) > maxUnpacked {
		return fmt.Errorf("%w: decompressed size exceeds %d bytes", errUnpack, maxUnpacked)
	}
	changes := new(wire.Changes)
	if err := wire.Unmarshal(data, changes, maxElements); err != nil {
		return fmt.Errorf("%w: %w", errUnpack, err)
	}
	feed.Changes, feed.Packed = changes, nil
	return nil
}
