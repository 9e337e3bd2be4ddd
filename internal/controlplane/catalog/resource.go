package catalog

import (
	"slices"
	"strings"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// kind is the type of a resource. Zero is a type that this version does not support.
type kind byte

const (
	kindServer kind = iota + 1
	kindRoute
	kindBackend
	kindConfig
)

// key identifies a resource. Only routes have a prefix.
type key struct {
	kind         kind
	name, prefix string
}

// keyOf returns the key of a resource, and whether the resource is a tombstone. The key's kind is zero if only later
// versions support the resource's type.
func keyOf(r *wire.Resource) (k key, removed bool) {
	switch value := r.Value.(type) {
	case *wire.Resource_Server:
		return key{kind: kindServer, name: value.Server.GetMember()}, false
	case *wire.Resource_Route:
		return routeKey(strings.ToLower(value.Route.GetHost()), value.Route.GetPrefix()), false
	case *wire.Resource_Backend:
		return key{kind: kindBackend, name: value.Backend.GetName()}, false
	case *wire.Resource_Config:
		return key{kind: kindConfig}, false
	case *wire.Resource_RemovedServer:
		return key{kind: kindServer, name: value.RemovedServer}, true
	case *wire.Resource_RemovedRoute:
		return routeKey(value.RemovedRoute.GetHost(), value.RemovedRoute.GetPrefix()), true
	case *wire.Resource_RemovedBackend:
		return key{kind: kindBackend, name: value.RemovedBackend}, true
	}
	return key{}, false
}

func routeKey(host, prefix string) key { return key{kind: kindRoute, name: host, prefix: prefix} }

// isConfig reports whether the resource is part of the configuration.
func (k key) isConfig() bool { return k.kind != 0 && k.kind != kindServer }

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
	k := r.Key()
	return &wire.Resource{Index: index, Value: &wire.Resource_RemovedRoute{RemovedRoute: &wire.RouteKey{Host: k.Host, Prefix: k.Prefix}}}
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

// configChanges returns the resources, at the given index, that change the old configuration into the updated one. The old
// one may be nil.
func configChanges(index uint64, old, updated *meshconfig.Config) (list []*wire.Resource) {
	if old == nil {
		old = &meshconfig.Config{}
	}
	if old.Revision != updated.Revision || old.Limits != updated.Limits {
		list = append(list, headerResource(index, updated))
	}
	list = append(list, backendChanges(index, old, updated)...)
	added, removed := meshconfig.Diff(old, updated)
	for _, r := range added {
		list = append(list, routeResource(index, r))
	}
	for _, r := range removed {
		if k := r.Key(); updated.At(k.Host, k.Prefix) == nil {
			list = append(list, removedRoute(index, r))
		}
	}
	return list
}

func backendChanges(index uint64, old, updated *meshconfig.Config) (list []*wire.Resource) {
	if slices.Equal(old.Backends, updated.Backends) {
		return nil
	}
	backends := make(map[string]meshconfig.Backend, len(old.Backends))
	for _, b := range old.Backends {
		backends[b.Name] = b
	}
	for _, b := range updated.Backends {
		if previous, known := backends[b.Name]; !known || previous != b {
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

// patchOf returns the changes that resources make to a configuration.
func patchOf(resources []*wire.Resource) (patch meshconfig.Patch) {
	for _, r := range resources {
		switch value := r.Value.(type) {
		case *wire.Resource_Route:
			patch.Routes = append(patch.Routes, routeOf(value.Route))
		case *wire.Resource_RemovedRoute:
			patch.RemovedRoutes = append(patch.RemovedRoutes, meshconfig.Key{Host: value.RemovedRoute.GetHost(), Prefix: value.RemovedRoute.GetPrefix()})
		case *wire.Resource_Backend:
			patch.Backends = append(patch.Backends, backendOf(value.Backend))
		case *wire.Resource_RemovedBackend:
			patch.RemovedBackends = append(patch.RemovedBackends, value.RemovedBackend)
		case *wire.Resource_Config:
			patch.Revision, patch.Limits = value.Config.Revision, limitsOf(value.Config)
		}
	}
	return patch
}
