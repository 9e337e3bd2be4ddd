package router

import (
	"maps"
	"slices"
	"time"

	"ivydeck/decide"
	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/dataplane/budget"
	"ivydeck/internal/pkg/cowmap"
	"ivydeck/internal/transport/wire"
)

// Update takes a newer ClusterState, at the cost of what has changed: a change of the configuration touches no list of
// servers, and one of the servers only the lists of their services.
func (t *Table) Update(now time.Duration, w *ClusterState) {
	old := t.cluster
	t.cluster = w
	touched := t.updateServers(old, w)
	if position := t.newSubsetPosition(old, w); position != t.subsetPosition {
		t.subsetPosition = position
		for name := range t.services {
			touched[name] = true
		}
	}
	if w.Config != nil && w.Config != t.config {
		t.updateConfig(t.config, w.Config)
		t.config = w.Config
	}
	for name := range touched {
		if s := t.services[name]; s != nil {
			s.picker.SetTargets(now, t.targets[name], t.subsetPosition)
		}
	}
}

// newSubsetPosition is where this node's subsets begin.
func (t *Table) newSubsetPosition(old, w *ClusterState) float64 {
	nodes := w.Nodes[t.options.Zone]
	if slices.Equal(nodes, old.Nodes[t.options.Zone]) {
		return t.subsetPosition
	}
	return decide.SubsetPosition(t.options.Node, nodes)
}

// updateServers brings the lists of servers up to date, and returns the services whose lists have changed.
func (t *Table) updateServers(old, w *ClusterState) (touched map[string]bool) {
	touched = map[string]bool{}
	cowmap.Compare(old.Servers, w.Servers, func(c cowmap.Change[*wire.Server]) {
		if c.Had && c.Has && (c.Old == c.New || c.Old.Service == c.New.Service && c.Old.Zone == c.New.Zone) {
			return
		}
		if c.Had {
			t.unlist(c.Old)
			touched[c.Old.Service] = true
		}
		if c.Has {
			target := decide.Target{ID: c.New.Member, Local: c.New.Zone == t.options.Zone}
			t.targets[c.New.Service] = append(t.targets[c.New.Service], target)
			touched[c.New.Service] = true
		}
	})
	return touched
}

// unlist removes a server from those of its service.
func (t *Table) unlist(s *wire.Server) {
	list := t.targets[s.Service]
	i := slices.IndexFunc(list, func(x decide.Target) bool { return x.ID == s.Member })
	list[i] = list[len(list)-1]
	if list = list[:len(list)-1]; len(list) == 0 {
		delete(t.targets, s.Service)
		return
	}
	t.targets[s.Service] = list
}

// updateConfig takes what differs between two configurations; the old one may be nil.
func (t *Table) updateConfig(old, config *meshconfig.Config) {
	if old == nil {
		old = &meshconfig.Config{}
	}
	newLevels := t.updateRoutes(old, config)
	if !sameBackends(old.Backends, config.Backends) {
		t.updateServices(config)
	}
	if newLevels {
		levels := slices.Collect(maps.Keys(t.levels))
		for _, s := range t.services {
			s.gate.SetPriorities(levels)
		}
	}
}

// updateRoutes counts the routes of each priority and name. It reports whether there are other priorities than before.
func (t *Table) updateRoutes(old, config *meshconfig.Config) (newLevels bool) {
	added, removed := meshconfig.Diff(old, config)
	for _, r := range added {
		newLevels = newLevels || t.levels[r.Priority] == 0
		t.levels[r.Priority]++
		t.routes[r.Name]++
	}
	for _, r := range removed {
		if t.levels[r.Priority]--; t.levels[r.Priority] == 0 {
			delete(t.levels, r.Priority)
			newLevels = true
		}
		if t.routes[r.Name]--; t.routes[r.Name] == 0 {
			delete(t.routes, r.Name)
			delete(t.graphs, r.Name)
			delete(t.typicalLatency, r.Name)
		}
	}
	return newLevels
}

// sameBackends reports whether two lists have the same services, in their order.
func sameBackends(a, b []meshconfig.Backend) bool {
	return slices.EqualFunc(a, b, func(x, y meshconfig.Backend) bool { return x.Name == y.Name })
}

// updateServices drops the state of services that are no longer configured.
func (t *Table) updateServices(config *meshconfig.Config) {
	t.backends = make(map[string]bool, len(config.Backends))
	for _, b := range config.Backends {
		t.backends[b.Name] = true
	}
	maps.DeleteFunc(t.services, func(name string, _ *service) bool { return !t.backends[name] })
}

// newService begins the state of a service.
func (t *Table) newService(now time.Duration, name string) *service {
	s := &service{
		gate: decide.NewGate(t.rng.Uint64(), now), picker: decide.NewPicker(t.rng.Uint64()),
		budget: budget.New(t.options.RetryRatio, t.options.RetryWindow), hedgeTokens: maxHedgeTokens,
	}
	s.budget.SetSlack(t.retrySlack)
	s.gate.SetPriorities(slices.Collect(maps.Keys(t.levels)))
	s.picker.SetTargets(now, t.targets[name], t.subsetPosition)
	return s
}
