package catalog

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/controlplane/departure"
	"ivydeck/internal/transport/wire"
)

// Snapshot encodes the whole state. It includes the index of each resource, so that a replica that restores it returns the
// same changes since any index as the others.
func (c *Catalog) Snapshot() ([]byte, error) {
	snapshot := &wire.Snapshot{State: c.state()}
	c.accepted.encode(snapshot)
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("catalog: %w", err)
	}
	return b, nil
}

// state returns the state for a snapshot. It stores the configuration as its body, and only the indexes of its resources.
func (c *Catalog) state() *wire.State {
	state := &wire.State{Index: c.view.index, Floor: c.view.floor, Config: c.body, Servers: c.Servers(), Departures: c.departures.All()}
	indexOf := func(k key) uint64 { return c.view.entries[k].resource.Index }
	for _, server := range state.Servers {
		state.ServerIndexes = append(state.ServerIndexes, indexOf(key{kind: kindServer, name: server.Member}))
	}
	if c.config != nil {
		state.ConfigIndex = indexOf(key{kind: kindConfig})
		for _, r := range c.config.Routes {
			state.RouteIndexes = append(state.RouteIndexes, indexOf(routeKey(r.Key().Host, r.Prefix)))
		}
		for _, b := range c.config.Backends {
			state.BackendIndexes = append(state.BackendIndexes, indexOf(key{kind: kindBackend, name: b.Name}))
		}
	}
	for e := c.view.order.next; e != c.view.order; e = e.next {
		if e.removed() {
			state.Removed = append(state.Removed, e.resource)
		}
	}
	return state
}

// Restore replaces the state by that of a snapshot.
func (c *Catalog) Restore(data []byte) error {
	var snapshot wire.Snapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return fmt.Errorf("catalog: %w", err)
	}
	state := snapshot.State
	if state == nil {
		state = &wire.State{}
	}
	var config *meshconfig.Config
	if len(state.Config) > 0 {
		var err error
		if config, err = meshconfig.ParseAccepted(state.Config, c.config); err != nil {
			return fmt.Errorf("catalog: %w", err)
		}
	}
	view := NewView()
	view.Apply(changesOf(state, config))
	c.view, c.config, c.body = view, config, nil
	c.accepted.decode(&snapshot)
	c.departures = *departure.NewSet(state.Departures)
	if config != nil {
		c.body = state.Config
	}
	return nil
}

// changesOf returns a snapshot's state as full changes. Snapshots of earlier versions lack the indexes of resources and the
// tombstones: each resource then gets the index of the latest update, which is also the floor.
func changesOf(state *wire.State, config *meshconfig.Config) *wire.Changes {
	changes := &wire.Changes{To: state.Index, Full: true, Floor: state.Floor, Resources: state.Removed}
	indexOf := func(indexes []uint64, i int) uint64 {
		if i < len(indexes) {
			return indexes[i]
		}
		changes.Floor = state.Index
		return state.Index
	}
	for i, server := range state.Servers {
		changes.Resources = append(changes.Resources, serverResource(indexOf(state.ServerIndexes, i), server))
	}
	if config != nil {
		headerIndexes := []uint64{state.ConfigIndex}
		if state.ConfigIndex == 0 {
			headerIndexes = nil
		}
		changes.Resources = append(changes.Resources, headerResource(indexOf(headerIndexes, 0), config))
		for i, b := range config.Backends {
			changes.Resources = append(changes.Resources, backendResource(indexOf(state.BackendIndexes, i), b))
		}
		for i, r := range config.Routes {
			changes.Resources = append(changes.Resources, routeResource(indexOf(state.RouteIndexes, i), r))
		}
	}
	slices.SortStableFunc(changes.Resources, func(a, b *wire.Resource) int { return cmp.Compare(a.Index, b.Index) })
	return changes
}

// Advance begins a new history of updates, for a state that is restored from a backup: see View.Advance.
func (c *Catalog) Advance(offset uint64) { c.view.Advance(offset) }
