package meshconfig

import "slices"

// Patch is what leads from one configuration to another: what is new or has changed, and what is gone.
type Patch struct {
	Revision        uint64 // 0: unchanged
	Limits          *Limits
	Routes          []*Route // not to be used otherwise afterwards
	RemovedRoutes   []Key
	Backends        []Backend
	RemovedBackends []string
}

// Apply returns a configuration with a patch in it; c may be nil. Nothing is checked: the patch comes from
// configurations that were.
func (c *Config) Apply(p Patch) *Config {
	if c == nil {
		c = &Config{}
	}
	now := &Config{Revision: c.Revision, Routes: c.Routes, Backends: c.Backends, Limits: c.Limits}
	if p.Revision > 0 {
		now.Revision = p.Revision
	}
	if p.Limits != nil {
		now.Limits = *p.Limits
	}
	if len(p.Routes) > 0 || len(p.RemovedRoutes) > 0 {
		now.Routes = c.patchedRoutes(p)
	}
	if len(p.Backends) > 0 || len(p.RemovedBackends) > 0 {
		now.Backends = c.patchedBackends(p)
	}
	now.buildIndex(c)
	return now
}

// patchedRoutes replaces routes where they stand, adds new ones at the end, and fills holes from there.
func (c *Config) patchedRoutes(p Patch) []*Route {
	routes := slices.Grow(slices.Clone(c.Routes), len(p.Routes))
	at := make(map[*Route]int)
	for _, r := range p.Routes {
		at[c.At(r.Key().Host, r.Prefix)] = 0
	}
	for _, k := range p.RemovedRoutes {
		at[c.At(k.Host, k.Prefix)] = 0
	}
	delete(at, nil)
	for i, r := range routes {
		if _, wanted := at[r]; wanted {
			at[r] = i
		}
	}
	for _, r := range p.Routes {
		r.addWeights()
		if old := c.At(r.Key().Host, r.Prefix); old != nil {
			routes[at[old]] = r
		} else {
			routes = append(routes, r)
		}
	}
	var holes []int
	for _, k := range p.RemovedRoutes {
		if old := c.At(k.Host, k.Prefix); old != nil {
			holes = append(holes, at[old])
		}
	}
	slices.Sort(holes)
	for _, hole := range slices.Backward(holes) {
		last := len(routes) - 1
		routes[hole] = routes[last]
		routes = routes[:last]
	}
	return routes
}

func (c *Config) patchedBackends(p Patch) []Backend {
	backends := slices.Clone(c.Backends)
	at := make(map[string]int, len(backends))
	for i, b := range backends {
		at[b.Name] = i
	}
	for _, b := range p.Backends {
		if i, known := at[b.Name]; known {
			backends[i] = b
		} else {
			backends = append(backends, b)
		}
	}
	if len(p.RemovedBackends) == 0 {
		return backends
	}
	return slices.DeleteFunc(backends, func(b Backend) bool { return slices.Contains(p.RemovedBackends, b.Name) })
}
