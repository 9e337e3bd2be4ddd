// Package meshconfig reads the operator's configuration, says what is wrong
// with it, and finds the route of a request in it.
package meshconfig

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"ivydeck/internal/pkg/cowmap"
)

// Bounds on what an operator may send.
const (
	MaxBytes  = 8 << 20
	maxRoutes = 100_000
)

// Backend is a service.
type Backend struct {
	Name     string `msgpack:"name"`
	Health   string `msgpack:"health_path"`
	MaxConns int    `msgpack:"max_connections"`
	Protocol string `msgpack:"protocol"`
	TLS      bool   `msgpack:"tls"`
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes int     `msgpack:"max_header_bytes"`
	BodyBytes   int64   `msgpack:"max_body_bytes"`
	HeaderMs    float64 `msgpack:"header_timeout_ms"`
	IdleMs      float64 `msgpack:"idle_timeout_ms"`
}

// Config is a whole configuration. It is not changed once made. The order of routes and backends says nothing: a request
// goes by the longest prefix of its host, and no two routes have the same one.
type Config struct {
	Revision uint64    `msgpack:"revision"`
	Routes   []*Route  `msgpack:"route_table"`
	Backends []Backend `msgpack:"backend_table"`
	Limits   Limits    `msgpack:"request_limits"`

	rawBackends   []byte             // as they were parsed
	raw           [][]byte           // of each route, as it was parsed; nil: it was not
	index         cowmap.Map[*Route] // by Key.bytes
	longestPrefix int                // of any route, or more
}

// fewRoutes are checked without an index of the services.
const fewRoutes = 8

// check finds all errors. Of the routes it checks only those at some indexes, and the services if asked to.
func (c *Config) check(routes []int, backends bool) error {
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	if c.Revision == 0 {
		fault("revision is 0 or missing")
	}
	if len(c.Routes) > maxRoutes || len(c.Backends) > maxRoutes {
		fault("more than %d routes or services", maxRoutes)
	}
	known := func(service string) bool {
		return slices.ContainsFunc(c.Backends, func(b Backend) bool { return b.Name == service })
	}
	if backends || len(routes) > fewRoutes {
		services := c.checkBackends(fault)
		known = func(service string) bool { return services[service] }
	}
	keys := make(map[Key]bool, len(routes))
	for _, i := range routes {
		r := c.Routes[i]
		faultOf := func(format string, args ...any) {
			fault("route_table[%d] (%s)"+format, append([]any{i, r.Name}, args...)...)
		}
		if keys[r.Key()] {
			faultOf(": another route has host %q and prefix %q", r.Host, r.Prefix)
		}
		keys[r.Key()] = true
		r.check(faultOf)
		r.checkServices(known, faultOf)
	}
	if c.Limits.HeaderBytes < 0 || c.Limits.BodyBytes < 0 || c.Limits.HeaderMs < 0 || c.Limits.IdleMs < 0 {
		fault("request_limits: a negative number")
	}
	return errors.Join(faults...)
}

// checkBackends finds the faults of the services, and returns their names.
func (c *Config) checkBackends(fault func(format string, args ...any)) (services map[string]bool) {
	services = make(map[string]bool, len(c.Backends))
	for i, b := range c.Backends {
		if b.Name == "" {
			fault("backend_table[%d] has no name", i)
		}
		if services[b.Name] {
			fault("backend_table[%d]: %q is there twice", i, b.Name)
		}
		services[b.Name] = true
	}
	return services
}

// check finds the errors within a route.
func (r *Route) check(fault func(format string, args ...any)) {
	if r.Host == "" {
		fault(" has no hostname")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		fault(": path_prefix %q does not start and end with a slash", r.Prefix)
	}
	if r.Kind != Idempotent && r.Kind != NonIdempotent {
		fault(": route_type is %q", r.Kind)
	}
	if !(r.TimeoutMs > 0) {
		fault(": timeout_ms is %g", r.TimeoutMs)
	}
	if r.TargetLatencyMs < 0 || r.Priority < 0 || r.MaxAttempts < 0 {
		fault(": a negative number")
	}
	if r.Backend != "" {
		if len(r.Backends) > 0 {
			fault(": both backend and weighted_backends")
		}
		return
	}
	for _, w := range r.Backends {
		if !(w.Weight >= 0) || w.Weight > 1e9 {
			fault(": weight %g", w.Weight)
		}
	}
	if !(r.total > 0) {
		fault(": its weights add up to 0")
	}
}

// checkServices finds services that a route names and the configuration lacks.
func (r *Route) checkServices(known func(service string) bool, fault func(format string, args ...any)) {
	if r.Backend != "" {
		if !known(r.Backend) {
			fault(": no service %q", r.Backend)
		}
		return
	}
	for _, w := range r.Backends {
		if !known(w.Backend) {
			fault(": no service %q", w.Backend)
		}
	}
}

// buildIndex orders the routes for Find, beginning with the index of a configuration that may share most of them.
func (c *Config) buildIndex(base *Config) {
	if base == nil {
		base = &Config{}
	}
	c.longestPrefix = base.longestPrefix
	added, removed := Diff(base, c)
	c.index = base.index
	if len(added) == 0 && len(removed) == 0 {
		return
	}
	edit := base.index.Edit()
	for _, r := range removed {
		edit.Delete(r.Key().bytes())
	}
	for _, r := range added {
		edit.Set(r.Key().bytes(), r)
		c.longestPrefix = max(c.longestPrefix, len(r.Prefix))
	}
	c.index = edit.Map()
}

// Find returns the route for a Host header and a path, or nil.
func (c *Config) Find(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	host = strings.ToLower(host)
	path = path[:min(len(path), c.longestPrefix)]
	for {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil
		}
		if r := c.At(host, path[:slash+1]); r != nil {
			return r
		}
		path = path[:slash]
	}
}

// At returns the route of a place, or nil. The host is in lower case.
func (c *Config) At(host, prefix string) *Route {
	var buffer [128]byte
	r, _ := c.index.GetBytes(appendKey(buffer[:0], host, prefix))
	return r
}

// Diff returns the routes that only one of two configurations has. One that was changed is in both lists. It costs little
// where most routes stand at the same places.
func Diff(old, now *Config) (added, removed []*Route) {
	common := min(len(old.Routes), len(now.Routes))
	for i := range common {
		if old.Routes[i] != now.Routes[i] {
			removed = append(removed, old.Routes[i])
			added = append(added, now.Routes[i])
		}
	}
	removed = append(removed, old.Routes[common:]...)
	added = append(added, now.Routes[common:]...)
	if len(added) == 0 || len(removed) == 0 {
		return added, removed
	}
	return without(added, removed), without(removed, added)
}

// without returns the routes of one list that are not in another.
func without(list, others []*Route) (rest []*Route) {
	there := make(map[*Route]bool, len(others))
	for _, r := range others {
		there[r] = true
	}
	for _, r := range list {
		if !there[r] {
			rest = append(rest, r)
		}
	}
	return rest
}
