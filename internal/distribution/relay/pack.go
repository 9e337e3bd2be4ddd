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
	packAbove   = 2 << 10  // smaller changes are sent as they are
	maxUnpacked = 64 << 20 // of changes: 28,000 servers take 2 MB, a configuration 8 MB at most
)

// errUnpack is the end of a subscription whose feed can't be read.
var errUnpack = errors.New("relay: packed changes are not readable")

// pack returns the feed that carries changes. Large ones are compressed: resources are much alike, and a node's link may be
// what a large change waits for.
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

// unpack puts a feed's changes in their place.
func unpack(f *wire.Feed) error {
	if len(f.Packed) == 0 {
		return nil
	}
	r := flate.NewReader(bytes.NewReader(f.Packed))
	defer r.Close()
	data, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return fmt.Errorf("%w: %w", errUnpack, err)
	}
	if len(data) > maxUnpacked {
		return fmt.Errorf("%w: over %d bytes", errUnpack, maxUnpacked)
	}
	changes := new(wire.Changes)
	if err := proto.Unmarshal(data, changes); err != nil {
		return fmt.Errorf("%w: %w", errUnpack, err)
	}
	f.Changes, f.Packed = changes, nil
	return nil
}
