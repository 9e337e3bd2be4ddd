package catalog

import (
	"slices"
	"strings"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// maxTombstones bounds the removed resources that are kept to be sent as changes. Views with an index below the floor
// receive the full state.
const maxTombstones = 4096

// View is a state built from updates: resources, each with the index of the update that changed it last. Quorum members,
// relays and nodes each keep one. A view always equals the state of its source after some update, and its index never
// decreases. Callers must not modify the returned values. A View is not safe for concurrent use.
type View struct {
	index      uint64
	floor      uint64 // tombstones up to this index may have been dropped
	entries    map[key]*entry
	order      *entry // sentinel of a ring ordered by index: next is the oldest entry, prev the newest
	tombstones int
	servers    int

	config      *meshconfig.Config // result of Config at configIndex
	configIndex uint64
}

// entry is a resource or a tombstone, linked in View.order. It does not store its key, to save memory: each node has an
// entry for each server of the mesh.
type entry struct {
	resource   *wire.Resource
	prev, next *entry
}

func (e *entry) removed() bool {
	_, removed := keyOf(e.resource)
	return removed
}

// NewView returns an empty view, before the first update.
func NewView() *View {
	v := &View{entries: map[key]*entry{}, order: &entry{}}
	v.order.prev, v.order.next = v.order, v.order
	return v
}

// Index returns the index of the latest update.
func (v *View) Index() uint64 { return v.index }

// Apply applies changes that begin at the view's index, or a newer full state. It ignores changes that end at or before that
// index, and returns true. It returns false for changes that begin at another index: the caller must request all changes
// since the view's index.
func (v *View) Apply(changes *wire.Changes) bool {
	switch {
	case changes.To <= v.index:
		return true
	case changes.Full:
		*v = *NewView()
		v.floor = changes.Floor
	case changes.From != v.index:
		return false
	}
	for _, r := range changes.Resources {
		v.set(r)
	}
	v.index = changes.To
	v.dropTombstones()
	return true
}

// set inserts a resource as the newest entry, in place of any other with the same key.
func (v *View) set(r *wire.Resource) {
	k, _ := keyOf(r)
	if k.kind == 0 {
		return // only later versions support this type
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

// count adds n, which is 1 or -1, to the number of tombstones or servers, depending on the entry's type.
func (v *View) count(e *entry, n int) {
	switch k, removed := keyOf(e.resource); {
	case removed:
		v.tombstones += n
	case k.kind == kindServer:
		v.servers += n
	}
}

// dropTombstones drops the older half of the tombstones once there are more than maxTombstones.
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

// Changes returns the changes after an index, or nil if there are none. They contain only the latest change of each
// resource. They are the full state if the index is 0 or below the floor.
func (v *View) Changes(since uint64) *wire.Changes {
	if since >= v.index {
		return nil
	}
	changes := &wire.Changes{From: since, To: v.index}
	if since < v.floor || since == 0 {
		changes.Full, changes.From, changes.Floor = true, 0, v.floor
		changes.Resources = make([]*wire.Resource, 0, len(v.entries))
	}
	for e := v.order.prev; e != v.order && e.resource.Index > changes.From; e = e.prev {
		changes.Resources = append(changes.Resources, e.resource)
	}
	slices.Reverse(changes.Resources)
	return changes
}

// Config returns the configuration, or nil if there is none yet. It caches the configuration and applies only the changes
// since the last call.
func (v *View) Config() *meshconfig.Config {
	if v.configIndex == v.index {
		return v.config
	}
	base := v.config
	changes := v.Changes(v.configIndex)
	if changes.Full {
		base = nil
	}
	v.configIndex = v.index
	changed := slices.DeleteFunc(changes.Resources, func(r *wire.Resource) bool {
		k, removed := keyOf(r)
		return !k.isConfig() || changes.Full && removed
	})
	if len(changed) > 0 {
		v.config = base.Apply(patchOf(changed))
	} else if changes.Full {
		v.config = nil
	}
	return v.config
}

// Server returns a server, or nil if it is not registered.
func (v *View) Server(member string) *wire.Server {
	if e := v.entries[key{kind: kindServer, name: member}]; e != nil && !e.removed() {
		return e.resource.GetServer()
	}
	return nil
}

// ServerCount returns the number of registered servers.
func (v *View) ServerCount() int { return v.servers }

// Servers returns all registered servers, sorted by name.
func (v *View) Servers() []*wire.Server {
	return v.ServersOn(func(string) bool { return true })
}

// ServersOn returns the servers on matching nodes, sorted by name.
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

// Advance begins a new history by raising the index and the floor: views with an index of the old history then receive the
// full state. The offset must raise the index above all indexes of the old history.
func (v *View) Advance(offset uint64) {
	v.index += offset
	v.floor = v.index
}
