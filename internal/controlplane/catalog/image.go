package catalog

import (
	"fmt"
	"slices"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/controlplane/departure"
	"ivydeck/internal/transport/wire"
)

// Image is an immutable copy of the state, which any goroutine may encode while the catalog changes. It shares the resources
// and the configuration with the catalog, which never modifies them in place.
type Image struct {
	full     *wire.Changes // nil before the first update
	body     []byte
	config   *meshconfig.Config
	accepted acceptedChanges

	departures []*wire.Departure
}

// Image returns a copy of the current state. It copies a pointer for each resource and departure, and the list of accepted changes.
func (c *Catalog) Image() *Image {
	accepted := acceptedChanges{newest: slices.Clone(c.accepted.newest), highestEvicted: c.accepted.highestEvicted}
	return &Image{full: c.FullChanges(), body: c.body, config: c.config, accepted: accepted, departures: c.departures.All()}
}

// Encode returns what Catalog.Snapshot returned when the image was made.
func (i *Image) Encode() ([]byte, error) {
	view := NewView()
	if i.full != nil {
		view.Apply(i.full)
	}
	c := &Catalog{view: view, body: i.body, config: i.config, accepted: i.accepted, departures: *departure.NewSet(i.departures)}
	return c.Snapshot()
}

// maxSnapshotElements bounds the elements of a snapshot from outside the process. A state of maxServers servers and
// maxDepartures departures has about a seventh of it.
const maxSnapshotElements = 1 << 20

// Decode returns the state that a snapshot of another process encodes. It returns a wire.ElementsError for one with more than
// maxSnapshotElements elements.
func Decode(data []byte) (*Catalog, error) {
	if _, err := wire.CountElements(data, new(wire.Snapshot), maxSnapshotElements); err != nil {
		return nil, fmt.Errorf("catalog: %w", err)
	}
	c := New()
	return c, c.Restore(data)
}
