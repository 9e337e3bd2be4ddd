package catalog

import (
	"slices"
	"strings"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// maxTombstones bounds the removed resources that are remembered, for those who have not received the removal. Whoever is
// behind the oldest of them receives the full state.
const maxTombstones = 4096

// View is a state that is built from updates: resources, each with the index of the update that changed it last. Quorum
// members, relays and nodes all keep one. It shows states that its source had after single updates, never a mixture, and
// never goes back. The caller must not change what it returns. It belongs to one goroutine, or to the holder of a lock.
type View struct {
	index      uint64
	floor      uint64 // removals up to this index may have been forgotten
	entries    map[key]*entry
	order      *entry // the head of a ring, in the order of the last changes: oldest next, newest prev
	tombstones int
	servers    int

	config   *meshconfig.Config // as of configAt
	configAt uint64
}

// entry is a resource or a tombstone, in the ring of all. Its key is derived from the resource, to save memory: each node
// has an entry for each server of the mesh.
type entry struct {
	resource   *wire.Resource
	prev, next *entry
}

func (e *entry) removed() bool {
	_, removed := keyOf(e.resource)
	return removed
}

// NewView returns the state before the first update.
func NewView() *View {
	v := &View{entries: map[key]*entry{}, order: &entry{}}
	v.order.prev, v.order.next = v.order, v.order
	return v
}

// Index is the index of the latest update.
func (v *View) Index() uint64 { return v.index }

// Apply applies changes that begin at the view's index, or a newer full state. It reports false for changes that begin
// elsewhere, for which the missing ones have to be requested; old ones are ignored.
func (v *View) Apply(c *wire.Changes) bool {
	switch {
	case c.To <= v.index:
		return true
	case c.Full:
		*v = *NewView()
		v.floor = c.Floor
	case c.From != v.index:
		return false
	}
	for _, r := range c.Resources {
		v.set(r)
	}
	v.index = c.To
	v.dropTombstones()
	return true
}

// set puts a resource in place of an earlier one with the same key, as the newest of all.
func (v *View) set(r *wire.Resource) {
	k, _ := keyOf(r)
	if k.kind == 0 {
		return // of a later version
	}
	e := v.entries[k]
	if e == nil {
		e = new(entry)
		v.entries[k] = e
	} else {
		e.unlink()
		v.count(e, -1)
	}
	e.resource = r
	v.count(e, 1)
	e.prev, e.next = v.order.prev, v.order
	e.prev.next, e.next.prev = e, e
}

func (e *entry) unlink() { e.prev.next, e.next.prev = e.next, e.prev }

// count counts an entry that is added (1) or removed (-1).
func (v *View) count(e *entry, n int) {
	switch k, removed := keyOf(e.resource); {
	case removed:
		v.tombstones += n
	case k.kind == kindServer:
		v.servers += n
	}
}

// dropTombstones drops the older half of the tombstones if there are too many.
func (v *View) dropTombstones() {
	if v.tombstones <= maxTombstones {
		return
	}
	for e := v.order.next; v.tombstones > maxTombstones/2; e = e.next {
		if k, removed := keyOf(e.resource); removed {
			e.unlink()
			v.count(e, -1)
			delete(v.entries, k)
			v.floor = e.resource.Index
		}
	}
}

// Changes returns the changes from an index to the view's; nil: there are none. A later change of a resource replaces all
// earlier ones. From below the floor they are the full state.
func (v *View) Changes(since uint64) *wire.Changes {
	if since >= v.index {
		return nil
	}
	c := &wire.Changes{From: since, To: v.index}
	if since < v.floor || since == 0 {
		c.Full, c.From, c.Floor = true, 0, v.floor
		c.Resources = make([]*wire.Resource, 0, len(v.entries))
	}
	for e := v.order.prev; e != v.order && e.resource.Index > c.From; e = e.prev {
		c.Resources = append(c.Resources, e.resource)
	}
	slices.Reverse(c.Resources)
	return c
}

// Config returns the configuration; nil: there is none yet. It costs what has changed since the last call.
func (v *View) Config() *meshconfig.Config {
	if v.configAt == v.index {
		return v.config
	}
	base := v.config
	c := v.Changes(v.configAt)
	if c.Full {
		base = nil
	}
	v.configAt = v.index
	changed := slices.DeleteFunc(c.Resources, func(r *wire.Resource) bool {
		k, removed := keyOf(r)
		return !k.ofConfig() || c.Full && removed
	})
	if len(changed) > 0 {
		v.config = base.Apply(patchOf(changed))
	} else if c.Full {
		v.config = nil
	}
	return v.config
}

// Server returns a registered server; nil: it is not registered.
func (v *View) Server(member string) *wire.Server {
	if e := v.entries[key{kind: kindServer, name: member}]; e != nil && !e.removed() {
		return e.resource.GetServer()
	}
	return nil
}

// ServerCount is the number of registered servers.
func (v *View) ServerCount() int { return v.servers }

// Servers returns all registered servers, by name.
func (v *View) Servers() []*wire.Server {
	return v.ServersOn(func(string) bool { return true })
}

// ServersOn returns the servers on nodes that match, by name.
func (v *View) ServersOn(matches func(node string) bool) []*wire.Server {
	var list []*wire.Server
	for e := v.order.next; e != v.order; e = e.next {
		if s := e.resource.GetServer(); s != nil && matches(s.Node) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *wire.Server) int { return strings.Compare(a.Member, b.Member) })
	return list
}

// Advance begins a new history at a later index: whoever has the old one receives the full state.
func (v *View) Advance(by uint64) {
	v.index += by
	v.floor = v.index
}
