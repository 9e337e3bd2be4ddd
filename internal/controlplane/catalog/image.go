package catalog

import (
	"slices"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// Image is a copy of the state at one moment. It shares with the catalog what is never changed in place: resources, and the
// configuration. Any goroutine may encode it while the catalog changes.
type Image struct {
	full     *wire.Changes // nil: before the first update
	body     []byte
	config   *meshconfig.Config
	accepted acceptedChanges
}

// Image copies the present state, at the cost of a pointer for each resource and a copy of the accepted changes.
func (c *Catalog) Image() *Image {
	accepted := acceptedChanges{newest: slices.Clone(c.accepted.newest), highestForgotten: c.accepted.highestForgotten}
	return &Image{full: c.FullChanges(), body: c.body, config: c.config, accepted: accepted}
}

// Encode returns the state as bytes, as Catalog.Snapshot does.
func (i *Image) Encode() ([]byte, error) {
	view := NewView()
	if i.full != nil {
		view.Apply(i.full)
	}
	c := &Catalog{view: view, body: i.body, config: i.config, accepted: i.accepted}
	return c.Snapshot()
}

// Decode returns the state of a snapshot.
func Decode(data []byte) (*Catalog, error) {
	c := New()
	return c, c.Restore(data)
}
