package catalog

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// Snapshot returns the whole state as bytes, with the index of each resource: replicas that begin with it go on to say
// what has changed since any update, as the others do.
func (c *Catalog) Snapshot() ([]byte, error) {
	s := &wire.Snapshot{State: c.state()}
	c.accepted.encode(s)
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("catalog: %w", err)
	}
	return b, nil
}

// state is the state as it stands in a snapshot: the parts of the configuration by their indexes alone.
func (c *Catalog) state() *wire.State {
	s := &wire.State{Index: c.view.index, Floor: c.view.floor, Config: c.body, Servers: c.Servers()}
	indexOf := func(k key) uint64 { return c.view.entries[k].resource.Index }
	for _, srv := range s.Servers {
		s.ServerIndexes = append(s.ServerIndexes, indexOf(key{kind: kindServer, name: srv.Member}))
	}
	if c.config != nil {
		s.ConfigIndex = indexOf(key{kind: kindConfig})
		for _, r := range c.config.Routes {
			s.RouteIndexes = append(s.RouteIndexes, indexOf(routeKey(r.Key().Host, r.Prefix)))
		}
		for _, b := range c.config.Backends {
			s.BackendIndexes = append(s.BackendIndexes, indexOf(key{kind: kindBackend, name: b.Name}))
		}
	}
	for e := c.view.order.next; e != c.view.order; e = e.next {
		if e.removed() {
			s.Removed = append(s.Removed, e.resource)
		}
	}
	return s
}

// Restore replaces the state by a snapshot's.
func (c *Catalog) Restore(data []byte) error {
	var snapshot wire.Snapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return fmt.Errorf("catalog: %w", err)
	}
	s := snapshot.State
	if s == nil {
		s = &wire.State{}
	}
	var config *meshconfig.Config
	if len(s.Config) > 0 {
		var err error
		if config, err = meshconfig.ParseNext(s.Config, c.config); err != nil {
			return fmt.Errorf("catalog: %w", err)
		}
	}
	view := NewView()
	view.Apply(changesOf(s, config))
	c.view, c.config, c.body = view, config, nil
	c.accepted.decode(&snapshot)
	if config != nil {
		c.body = s.Config
	}
	return nil
}

// changesOf returns a snapshot's state as changes. In one of an earlier version nothing has an index: all of it counts as
// changed by the latest update, and nothing is known of what was removed.
func changesOf(s *wire.State, config *meshconfig.Config) *wire.Changes {
	c := &wire.Changes{To: s.Index, Full: true, Floor: s.Floor, Resources: s.Removed}
	indexOf := func(indexes []uint64, i int) uint64 {
		if i < len(indexes) {
			return indexes[i]
		}
		c.Floor = s.Index
		return s.Index
	}
	for i, srv := range s.Servers {
		c.Resources = append(c.Resources, serverResource(indexOf(s.ServerIndexes, i), srv))
	}
	if config != nil {
		header := []uint64{s.ConfigIndex}
		if s.ConfigIndex == 0 {
			header = nil
		}
		c.Resources = append(c.Resources, headerResource(indexOf(header, 0), config))
		for i, b := range config.Backends {
			c.Resources = append(c.Resources, backendResource(indexOf(s.BackendIndexes, i), b))
		}
		for i, r := range config.Routes {
			c.Resources = append(c.Resources, routeResource(indexOf(s.RouteIndexes, i), r))
		}
	}
	slices.SortStableFunc(c.Resources, func(a, b *wire.Resource) int { return cmp.Compare(a.Index, b.Index) })
	return c
}

// Advance begins a history of its own, for a state that is restored from a backup: see View.Advance.
func (c *Catalog) Advance(by uint64) { c.view.Advance(by) }
