package catalog

import (
	"slices"
	"strings"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// kind distinguishes resources of the same name.
type kind byte

const (
	kindServer kind = iota + 1
	kindRoute
	kindBackend
	kindConfig
)

// key names a resource. The prefix is a route's.
type key struct {
	kind         kind
	name, prefix string
}

// keyOf returns the key of a resource, and whether it says that this was removed. A resource of a later version has no
// kind.
func keyOf(r *wire.Resource) (k key, removed bool) {
	switch v := r.Value.(type) {
	case *wire.Resource_Server:
		return key{kind: kindServer, name: v.Server.GetMember()}, false
	case *wire.Resource_Route:
		return routeKey(strings.ToLower(v.Route.GetHost()), v.Route.GetPrefix()), false
	case *wire.Resource_Backend:
		return key{kind: kindBackend, name: v.Backend.GetName()}, false
	case *wire.Resource_Config:
		return key{kind: kindConfig}, false
	case *wire.Resource_RemovedServer:
		return key{kind: kindServer, name: v.RemovedServer}, true
	case *wire.Resource_RemovedRoute:
		return routeKey(v.RemovedRoute.GetHost(), v.RemovedRoute.GetPrefix()), true
	case *wire.Resource_RemovedBackend:
		return key{kind: kindBackend, name: v.RemovedBackend}, true
	}
	return key{}, false
}

func routeKey(host, prefix string) key { return key{kind: kindRoute, name: host, prefix: prefix} }

// ofConfig reports whether a resource is a part of the configuration.
func (k key) ofConfig() bool { return k.kind != 0 && k.kind != kindServer }

func serverResource(index uint64, s *wire.Server) *wire.Resource {
	return &wire.Resource{Index: index, Value: &wire.Resource_Server{Server: s}}
}

func removedServer(index uint64, member string) *wire.Resource {
	return &wire.Resource{Index: index, Value: &wire.Resource_RemovedServer{RemovedServer: member}}
}

func routeResource(index uint64, r *meshconfig.Route) *wire.Resource {
	route := &wire.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: string(r.Kind), TimeoutMs: r.TimeoutMs, TargetLatencyMs: r.TargetLatencyMs,
		Priority: int64(r.Priority), Backend: r.Backend, MaxAttempts: int64(r.MaxAttempts),
	}
	for _, w := range r.Backends {
		route.Backends = append(route.Backends, &wire.WeightedBackend{Backend: w.Backend, Weight: w.Weight})
	}
	return &wire.Resource{Index: index, Value: &wire.Resource_Route{Route: route}}
}

func routeOf(r *wire.Route) *meshconfig.Route {
	route := &meshconfig.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: meshconfig.Kind(r.Kind), TimeoutMs: r.TimeoutMs, TargetLatencyMs: r.TargetLatencyMs,
		Priority: int(r.Priority), Backend: r.Backend, MaxAttempts: int(r.MaxAttempts),
	}
	for _, w := range r.Backends {
		route.Backends = append(route.Backends, meshconfig.Weighted{Backend: w.Backend, Weight: w.Weight})
	}
	return route
}

func removedRoute(index uint64, r *meshconfig.Route) *wire.Resource {
	at := r.Key()
	return &wire.Resource{Index: index, Value: &wire.Resource_RemovedRoute{RemovedRoute: &wire.RouteKey{Host: at.Host, Prefix: at.Prefix}}}
}

func backendResource(index uint64, b meshconfig.Backend) *wire.Resource {
	return &wire.Resource{Index: index, Value: &wire.Resource_Backend{Backend: &wire.Backend{
		Name: b.Name, HealthPath: b.Health, MaxConnections: int64(b.MaxConns), Protocol: b.Protocol, Tls: b.TLS}}}
}

func backendOf(b *wire.Backend) meshconfig.Backend {
	return meshconfig.Backend{Name: b.Name, Health: b.HealthPath, MaxConns: int(b.MaxConnections), Protocol: b.Protocol, TLS: b.Tls}
}

func removedBackend(index uint64, name string) *wire.Resource {
	return &wire.Resource{Index: index, Value: &wire.Resource_RemovedBackend{RemovedBackend: name}}
}

func headerResource(index uint64, c *meshconfig.Config) *wire.Resource {
	return &wire.Resource{Index: index, Value: &wire.Resource_Config{Config: &wire.ConfigHeader{
		Revision: c.Revision, MaxHeaderBytes: int64(c.Limits.HeaderBytes), MaxBodyBytes: c.Limits.BodyBytes,
		HeaderTimeoutMs: c.Limits.HeaderMs, IdleTimeoutMs: c.Limits.IdleMs}}}
}

func limitsOf(h *wire.ConfigHeader) *meshconfig.Limits {
	return &meshconfig.Limits{HeaderBytes: int(h.MaxHeaderBytes), BodyBytes: h.MaxBodyBytes, HeaderMs: h.HeaderTimeoutMs, IdleMs: h.IdleTimeoutMs}
}

// configChanges are the resources in which two configurations differ, at an index. The old one may be nil.
func configChanges(index uint64, old, now *meshconfig.Config) (list []*wire.Resource) {
	if old == nil {
		old = &meshconfig.Config{}
	}
	if old.Revision != now.Revision || old.Limits != now.Limits {
		list = append(list, headerResource(index, now))
	}
	list = append(list, backendChanges(index, old, now)...)
	added, removed := meshconfig.Diff(old, now)
	for _, r := range added {
		list = append(list, routeResource(index, r))
	}
	for _, r := range removed {
		if at := r.Key(); now.At(at.Host, at.Prefix) == nil {
			list = append(list, removedRoute(index, r))
		}
	}
	return list
}

func backendChanges(index uint64, old, now *meshconfig.Config) (list []*wire.Resource) {
	if slices.Equal(old.Backends, now.Backends) {
		return nil
	}
	backends := make(map[string]meshconfig.Backend, len(old.Backends))
	for _, b := range old.Backends {
		backends[b.Name] = b
	}
	for _, b := range now.Backends {
		if was, known := backends[b.Name]; !known || was != b {
			list = append(list, backendResource(index, b))
		}
		delete(backends, b.Name)
	}
	for _, b := range old.Backends {
		if _, removed := backends[b.Name]; removed {
			list = append(list, removedBackend(index, b.Name))
		}
	}
	return list
}

// patchOf is what changes of resources mean for a configuration.
func patchOf(resources []*wire.Resource) (p meshconfig.Patch) {
	for _, r := range resources {
		switch v := r.Value.(type) {
		case *wire.Resource_Route:
			p.Routes = append(p.Routes, routeOf(v.Route))
		case *wire.Resource_RemovedRoute:
			p.RemovedRoutes = append(p.RemovedRoutes, meshconfig.Key{Host: v.RemovedRoute.GetHost(), Prefix: v.RemovedRoute.GetPrefix()})
		case *wire.Resource_Backend:
			p.Backends = append(p.Backends, backendOf(v.Backend))
		case *wire.Resource_RemovedBackend:
			p.RemovedBackends = append(p.RemovedBackends, v.RemovedBackend)
		case *wire.Resource_Config:
			p.Revision, p.Limits = v.Config.Revision, limitsOf(v.Config)
		}
	}
	return p
}
