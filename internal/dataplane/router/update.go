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

// Update replaces the ClusterState. A change of the configuration rebuilds no server lists, and a change of servers rebuilds
// only the lists of their services.
func (t *Table) Update(now time.Duration, cluster *ClusterState) {
	old := t.cluster
	t.cluster = cluster
	changed := t.updateServers(old, cluster)
	if position := t.newSubsetPosition(old, cluster); position != t.subsetPosition {
		t.subsetPosition = position
		for name := range t.services {
			changed[name] = true
		}
	}
	if cluster.Config != nil && cluster.Config != t.config {
		t.updateConfig(t.config, cluster.Config)
		t.config = cluster.Config
	}
	for name := range changed {
		if s := t.services[name]; s != nil {
			s.picker.SetTargets(now, t.targets[name], t.subsetPosition)
		}
	}
}

// newSubsetPosition returns the position at which this node's subsets begin. It changes only with the nodes of this zone.
func (t *Table) newSubsetPosition(old, cluster *ClusterState) float64 {
	nodes := cluster.Nodes[t.options.Zone]
	if slices.Equal(nodes, old.Nodes[t.options.Zone]) {
		return t.subsetPosition
	}
	return decide.SubsetPosition(t.options.Node, nodes)
}

// updateServers updates the lists of servers and returns the services whose lists have changed.
func (t *Table) updateServers(old, cluster *ClusterState) (changed map[string]bool) {
	changed = map[string]bool{}
	cowmap.Compare(old.Servers, cluster.Servers, func(c cowmap.Change[*wire.Server]) {
		if c.InOld && c.InNew && (c.Old == c.New || c.Old.Service == c.New.Service && c.Old.Zone == c.New.Zone) {
			return
		}
		if c.InOld {
			t.removeTarget(c.Old)
			changed[c.Old.Service] = true
		}
		if c.InNew {
			target := decide.Target{ID: c.New.Member, Local: c.New.Zone == t.options.Zone}
			t.targets[c.New.Service] = append(t.targets[c.New.Service], target)
			changed[c.New.Service] = true
		}
	})
	return changed
}

// removeTarget removes a server from the list of its service. It does not keep the order of the list.
func (t *Table) removeTarget(s *wire.Server) {
	list := t.targets[s.Service]
	i := slices.IndexFunc(list, func(x decide.Target) bool { return x.ID == s.Member })
	list[i] = list[len(list)-1]
	if list = list[:len(list)-1]; len(list) == 0 {
		delete(t.targets, s.Service)
		return
	}
	t.targets[s.Service] = list
}

// updateConfig applies the differences between two configurations; old may be nil.
func (t *Table) updateConfig(old, config *meshconfig.Config) {
	if old == nil {
		old = &meshconfig.Config{}
	}
	prioritiesChanged := t.updateRoutes(old, config)
	if !sameBackends(old.Backends, config.Backends) {
		t.updateServices(config)
	}
	if prioritiesChanged {
		priorities := slices.Collect(maps.Keys(t.routesPerPriority))
		for _, s := range t.services {
			s.gate.SetPriorities(priorities)
		}
	}
}

// updateRoutes updates the number of routes of each priority and name, and drops the statistics of removed routes. It reports
// whether the set of priorities has changed.
func (t *Table) updateRoutes(old, config *meshconfig.Config) (prioritiesChanged bool) {
	added, removed := meshconfig.Diff(old, config)
	for _, r := range added {
		prioritiesChanged = prioritiesChanged || t.routesPerPriority[r.Priority] == 0
		t.routesPerPriority[r.Priority]++
		t.routesPerName[r.Name]++
	}
	for _, r := range removed {
		if t.routesPerPriority[r.Priority]--; t.routesPerPriority[r.Priority] == 0 {
			delete(t.routesPerPriority, r.Priority)
			prioritiesChanged = true
		}
		if t.routesPerName[r.Name]--; t.routesPerName[r.Name] == 0 {
			delete(t.routesPerName, r.Name)
			delete(t.meanCalls, r.Name)
			delete(t.typicalLatency, r.Name)
		}
	}
	return prioritiesChanged
}

// sameBackends reports whether two lists have the same names in the same order.
func sameBackends(a, b []meshconfig.Backend) bool {
	return slices.EqualFunc(a, b, func(x, y meshconfig.Backend) bool { return x.Name == y.Name })
}

// updateServices sets the configured services, and drops the state of all others.
func (t *Table) updateServices(config *meshconfig.Config) {
	t.backends = make(map[string]bool, len(config.Backends))
	for _, b := range config.Backends {
		t.backends[b.Name] = true
	}
	maps.DeleteFunc(t.services, func(name string, _ *service) bool { return !t.backends[name] })
}

// newService returns the initial state of a service. The caller adds it to t.services.
func (t *Table) newService(now time.Duration, name string) *service {
	s := &service{
		gate: decide.NewGate(t.rng.Uint64(), now), picker: decide.NewPicker(t.rng.Uint64()),
		budget: budget.New(t.options.RetryRatio, t.options.RetryWindow), hedgeTokens: maxHedgeTokens,
	}
	s.budget.SetSlack(t.retrySlack)
	s.gate.SetPriorities(slices.Collect(maps.Keys(t.routesPerPriority)))
	s.picker.SetTargets(now, t.targets[name], t.subsetPosition)
	return s
}
