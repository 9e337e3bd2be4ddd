package meshconfig

import "slices"

// Patch is the difference between two configurations. Routes and Backends hold what was added or changed.
type Patch struct {
	Revision        uint64   // zero if unchanged
	Limits          *Limits  // nil if unchanged
	Routes          []*Route // owned by the patched Config after Apply
	RemovedRoutes   []Key
	Backends        []Backend
	RemovedBackends []string
}

// Apply returns a copy of c with the patch applied; c may be nil. It does not validate the result, as patches are computed
// from valid configurations.
func (c *Config) Apply(p Patch) *Config {
	if c == nil {
		c = &Config{}
	}
	next := &Config{Revision: c.Revision, Routes: c.Routes, Backends: c.Backends, Limits: c.Limits}
	if p.Revision > 0 {
		next.Revision = p.Revision
	}
	if p.Limits != nil {
		next.Limits = *p.Limits
	}
	if len(p.Routes) > 0 || len(p.RemovedRoutes) > 0 {
		next.Routes = c.patchedRoutes(p)
	}
	if len(p.Backends) > 0 || len(p.RemovedBackends) > 0 {
		next.Backends = c.patchedBackends(p)
	}
	next.buildIndex(c)
	return next
}

// patchedRoutes replaces changed routes in place, appends new ones, and fills the positions of removed ones from the end.
func (c *Config) patchedRoutes(p Patch) []*Route {
	routes := slices.Grow(slices.Clone(c.Routes), len(p.Routes))
	index := make(map[*Route]int)
	for _, r := range p.Routes {
		index[c.At(r.Key().Host, r.Prefix)] = 0
	}
	for _, k := range p.RemovedRoutes {
		index[c.At(k.Host, k.Prefix)] = 0
	}
	delete(index, nil)
	for i, r := range routes {
		if _, changed := index[r]; changed {
			index[r] = i
		}
	}
	for _, r := range p.Routes {
		r.addWeights()
		if old := c.At(r.Key().Host, r.Prefix); old != nil {
			routes[index[old]] = r
		} else {
			routes = append(routes, r)
		}
	}
	var removed []int
	for _, k := range p.RemovedRoutes {
		if old := c.At(k.Host, k.Prefix); old != nil {
			removed = append(removed, index[old])
		}
	}
	slices.Sort(removed)
	for _, i := range slices.Backward(removed) {
		last := len(routes) - 1
		routes[i] = routes[last]
		routes = routes[:last]
	}
	return routes
}

// patchedBackends replaces changed services in place, appends new ones and deletes removed ones.
func (c *Config) patchedBackends(p Patch) []Backend {
	backends := slices.Clone(c.Backends)
	index := make(map[string]int, len(backends))
	for i, b := range backends {
		index[b.Name] = i
	}
	for _, b := range p.Backends {
		if i, known := index[b.Name]; known {
			backends[i] = b
		} else {
			backends = append(backends, b)
		}
	}
	if len(p.RemovedBackends) == 0 {
		return backends
	}
	removed := make(map[string]bool, len(p.RemovedBackends))
	for _, name := range p.RemovedBackends {
		removed[name] = true
	}
	return slices.DeleteFunc(backends, func(b Backend) bool { return removed[b.Name] })
}
