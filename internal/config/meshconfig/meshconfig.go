// Package meshconfig parses and validates the operator's configuration, and finds the route of a request.
package meshconfig

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"ivydeck/internal/pkg/cowmap"
)

// Bounds on a configuration.
const (
	MaxBytes    = 8 << 20 // maximum size of the encoded configuration
	maxRoutes   = 100_000 // maximum number of routes, and of services
	maxWeighted = 500_000 // maximum number of weighted backends of all routes

	maxErrors      = 100 // maximum number of errors that are listed
	maxQuotedBytes = 100 // in bytes; longer strings are cut in errors
)

// Backend is a service, to which routes send requests.
type Backend struct {
	Name     string `msgpack:"name"`
	Health   string `msgpack:"health_path"`
	MaxConns int    `msgpack:"max_connections"`
	Protocol string `msgpack:"protocol"`
	TLS      bool   `msgpack:"tls"`
}

// Limits bound the size and the duration of client requests.
type Limits struct {
	HeaderBytes int     `msgpack:"max_header_bytes"`
	BodyBytes   int64   `msgpack:"max_body_bytes"`
	HeaderMs    float64 `msgpack:"header_timeout_ms"`
	IdleMs      float64 `msgpack:"idle_timeout_ms"`
}

// Config is a complete configuration. It is immutable. The order of routes and backends is not significant: the route with
// the longest matching prefix for the host applies, and no two routes have the same host and prefix.
type Config struct {
	Revision uint64    `msgpack:"revision"`
	Routes   []*Route  `msgpack:"route_table"`
	Backends []Backend `msgpack:"backend_table"`
	Limits   Limits    `msgpack:"request_limits"`

	rawBackends   []byte             // bytes from which Backends was decoded
	rawRoutes     [][]byte           // bytes from which each route was decoded
	index         cowmap.Map[*Route] // routes by Key.bytes
	longestPrefix int                // upper bound of the length of all prefixes, in bytes
}

// linearCheckLimit is the maximum number of references to services that are looked up without an index.
const linearCheckLimit = 8

// errMoreErrors is the last error of a configuration whose check ended at maxErrors.
var errMoreErrors = errors.New("more errors may follow")

// errorList collects the first maxErrors errors of a configuration.
type errorList struct {
	errors []error
	more   int // number of further errors
}

func (l *errorList) add(format string, args ...any) {
	if l.full() {
		l.more++
		return
	}
	l.errors = append(l.errors, fmt.Errorf(format, args...))
}

// full reports whether further errors would not be listed.
func (l *errorList) full() bool { return len(l.errors) == maxErrors }

// err returns the errors as one, or nil if there are none.
func (l *errorList) err() error {
	if l.more > 0 {
		return errors.Join(append(l.errors, fmt.Errorf("%d more errors", l.more))...)
	}
	return errors.Join(l.errors...)
}

// shorten returns at most maxQuotedBytes of a string, for an error.
func shorten[S ~string](s S) string {
	if len(s) <= maxQuotedBytes {
		return string(s)
	}
	return string(s[:maxQuotedBytes]) + "..."
}

// check validates the revision, the limits, the routes at the given indexes and, if backends is set, the services. It returns
// the first maxErrors errors.
func (c *Config) check(routes []int, backends bool) error {
	var list errorList
	if c.Revision == 0 {
		list.add("revision is 0 or missing")
	}
	if len(c.Routes) > maxRoutes || len(c.Backends) > maxRoutes {
		list.add("more than %d routes or services", maxRoutes)
	}
	known := func(service string) bool {
		return slices.ContainsFunc(c.Backends, func(b Backend) bool { return b.Name == service })
	}
	if backends || c.references(routes) > linearCheckLimit {
		services := c.checkBackends(list.add)
		known = func(service string) bool { return services[service] }
	}
	keys := make(map[Key]bool, len(routes))
	for _, i := range routes {
		if list.full() {
			return errors.Join(list.err(), errMoreErrors)
		}
		r, addRouteError := c.Routes[i], c.routeErrors(&list, i)
		if keys[r.Key()] {
			addRouteError(": another route has host %q and prefix %q", shorten(r.Host), shorten(r.Prefix))
		}
		keys[r.Key()] = true
		r.check(addRouteError)
		if service, ok := r.unknownService(known); ok {
			addRouteError(": no service %q", shorten(service))
		}
	}
	if c.Limits.HeaderBytes < 0 || c.Limits.BodyBytes < 0 || c.Limits.HeaderMs < 0 || c.Limits.IdleMs < 0 {
		list.add("request_limits: a negative number")
	}
	return list.err()
}

// checkRoutesAlone returns the errors that the routes at the given indexes have by themselves if there are more than can be
// listed, and nil otherwise. It is cheaper than check, and needs no index.
func (c *Config) checkRoutesAlone(routes []int) error {
	var list errorList
	for _, i := range routes {
		c.Routes[i].check(c.routeErrors(&list, i))
		if list.full() {
			return errors.Join(list.err(), errMoreErrors)
		}
	}
	return nil
}

// routeErrors returns a function that adds an error of the route at an index to a list.
func (c *Config) routeErrors(list *errorList, index int) func(format string, args ...any) {
	return func(format string, args ...any) {
		list.add("route_table[%d] (%s)"+format, append([]any{index, shorten(c.Routes[index].Name)}, args...)...)
	}
}

// references returns the number of services that the routes at the given indexes name, repeated ones included.
func (c *Config) references(routes []int) (n int) {
	for _, i := range routes {
		n += 1 + len(c.Routes[i].Backends)
	}
	return n
}

// checkBackends reports the errors of the services and returns the set of their names.
func (c *Config) checkBackends(addError func(format string, args ...any)) (services map[string]bool) {
	services = make(map[string]bool, len(c.Backends))
	for i, b := range c.Backends {
		if b.Name == "" {
			addError("backend_table[%d] has no name", i)
		}
		if services[b.Name] {
			addError("backend_table[%d]: %q is there twice", i, shorten(b.Name))
		}
		services[b.Name] = true
	}
	return services
}

// check reports the errors of a route that do not depend on the rest of the configuration.
func (r *Route) check(addError func(format string, args ...any)) {
	if r.Host == "" {
		addError(" has no hostname")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		addError(": path_prefix %q does not start and end with a slash", shorten(r.Prefix))
	}
	if r.Kind != Idempotent && r.Kind != NonIdempotent {
		addError(": route_type is %q", shorten(r.Kind))
	}
	if !(r.TimeoutMs > 0) {
		addError(": timeout_ms is %g", r.TimeoutMs)
	}
	if r.TargetLatencyMs < 0 || r.Priority < 0 || r.MaxAttempts < 0 {
		addError(": a negative number")
	}
	if r.Backend != "" {
		if len(r.Backends) > 0 {
			addError(": both backend and weighted_backends")
		}
		return
	}
	for _, w := range r.Backends {
		if !(w.Weight >= 0) || w.Weight > 1e9 {
			addError(": weight %g", w.Weight)
		}
	}
	if !(r.total > 0) {
		addError(": its weights add up to 0")
	}
}

// unknownService returns the first service of a route that the configuration does not contain.
func (r *Route) unknownService(known func(service string) bool) (service string, ok bool) {
	if r.Backend != "" {
		return r.Backend, !known(r.Backend)
	}
	for _, w := range r.Backends {
		if !known(w.Backend) {
			return w.Backend, true
		}
	}
	return "", false
}

// buildIndex builds the index for Find from the index of base, which may be nil. The cost depends on the difference.
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

// Find returns the route with the longest matching prefix for a Host header and a path, or nil.
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

// At returns the route with exactly this host, in lower case, and prefix, or nil.
func (c *Config) At(host, prefix string) *Route {
	var buffer [128]byte
	r, _ := c.index.GetBytes(appendKey(buffer[:0], host, prefix))
	return r
}

// Diff returns the routes that only one of two configurations has, compared by pointer. A changed route is in both lists. It
// is cheap if most routes have the same index in both configurations.
func Diff(old, updated *Config) (added, removed []*Route) {
	common := min(len(old.Routes), len(updated.Routes))
	for i := range common {
		if old.Routes[i] != updated.Routes[i] {
			removed = append(removed, old.Routes[i])
			added = append(added, updated.Routes[i])
		}
	}
	removed = append(removed, old.Routes[common:]...)
	added = append(added, updated.Routes[common:]...)
	if len(added) == 0 || len(removed) == 0 {
		return added, removed
	}
	return difference(added, removed), difference(removed, added)
}

// difference returns the routes of list that are not in others.
func difference(list, others []*Route) (rest []*Route) {
	excluded := make(map[*Route]bool, len(others))
	for _, r := range others {
		excluded[r] = true
	}
	for _, r := range list {
		if !excluded[r] {
			rest = append(rest, r)
		}
	}
	return rest
}
