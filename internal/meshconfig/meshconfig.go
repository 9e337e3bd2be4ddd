// Package meshconfig reads the operator's configuration, says what is wrong
// with it, and finds the route of a request in it.
package meshconfig

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Bounds on what an operator may send.
const (
	MostBytes  = 8 << 20
	mostRoutes = 100_000
)

// Kind says how often a request may run.
type Kind string

// The kinds of requests.
const (
	Repeatable Kind = "idempotent"
	Once       Kind = "non_idempotent"
)

// Weighted is one of the services that share a route.
type Weighted struct {
	Backend string  `msgpack:"backend"`
	Weight  float64 `msgpack:"weight"`
}

// Route sends requests of one host below one path to services.
type Route struct {
	Name        string     `msgpack:"name"`
	Host        string     `msgpack:"hostname"`
	Prefix      string     `msgpack:"path_prefix"`
	Kind        Kind       `msgpack:"route_type"`
	TimeoutMs   float64    `msgpack:"timeout_ms"`
	AimMs       float64    `msgpack:"target_latency_ms"`
	Priority    int        `msgpack:"priority"` // 0 is the highest
	Backend     string     `msgpack:"backend"`  // empty: the weighted ones
	Backends    []Weighted `msgpack:"weighted_backends"`
	MaxAttempts int        `msgpack:"max_attempts"`

	total float64
}

// Timeout is the longest that the operator wants a request held.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMs * float64(time.Millisecond))
}

// Aim is the time within which an answer earns its full worth.
func (r *Route) Aim() time.Duration { return time.Duration(r.AimMs * float64(time.Millisecond)) }

// Service picks the service for one request; x lies in [0, 1).
func (r *Route) Service(x float64) string {
	if r.Backend != "" {
		return r.Backend
	}
	x *= r.total
	for _, w := range r.Backends {
		if x -= w.Weight; x < 0 {
			return w.Backend
		}
	}
	for i := len(r.Backends) - 1; i >= 0; i-- { // rounding
		if r.Backends[i].Weight > 0 {
			return r.Backends[i].Backend
		}
	}
	return ""
}

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

// Config is a whole configuration. It is not changed once parsed.
type Config struct {
	Revision uint64    `msgpack:"revision"`
	Routes   []Route   `msgpack:"route_table"`
	Backends []Backend `msgpack:"backend_table"`
	Limits   Limits    `msgpack:"request_limits"`

	hosts map[string][]*Route // longest prefix first
}

// Parse reads a configuration and checks all that can be checked of it alone.
// The error names every fault with its place.
func Parse(body []byte) (*Config, error) {
	if len(body) > MostBytes {
		return nil, fmt.Errorf("configuration: %d bytes, at most %d are allowed", len(body), MostBytes)
	}
	c := new(Config)
	dec := msgpack.NewDecoder(strings.NewReader(string(body)))
	if err := dec.Decode(c); err != nil {
		return nil, fmt.Errorf("configuration: not readable: %w", err)
	}
	if _, err := dec.PeekCode(); err == nil {
		return nil, errors.New("configuration: more follows behind its end")
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c.index()
	return c, nil
}

func (c *Config) check() error {
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	if c.Revision == 0 {
		fault("revision is 0 or missing")
	}
	if len(c.Routes) > mostRoutes || len(c.Backends) > mostRoutes {
		fault("more than %d routes or services", mostRoutes)
	}
	known := map[string]bool{}
	for i, b := range c.Backends {
		if b.Name == "" {
			fault("backend_table[%d] has no name", i)
		}
		if known[b.Name] {
			fault("backend_table[%d]: %q is there twice", i, b.Name)
		}
		known[b.Name] = true
	}
	places := map[[2]string]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		where := fmt.Sprintf("route_table[%d] (%s)", i, r.Name)
		if r.Host == "" {
			fault("%s has no hostname", where)
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			fault("%s: path_prefix %q does not start and end with a slash", where, r.Prefix)
		}
		place := [2]string{strings.ToLower(r.Host), r.Prefix}
		if places[place] {
			fault("%s: another route has host %q and prefix %q", where, r.Host, r.Prefix)
		}
		places[place] = true
		if r.Kind != Repeatable && r.Kind != Once {
			fault("%s: route_type is %q", where, r.Kind)
		}
		if !(r.TimeoutMs > 0) {
			fault("%s: timeout_ms is %g", where, r.TimeoutMs)
		}
		if r.AimMs < 0 || r.Priority < 0 || r.MaxAttempts < 0 {
			fault("%s: a negative number", where)
		}
		if r.Backend != "" {
			if !known[r.Backend] {
				fault("%s: no service %q", where, r.Backend)
			}
			if len(r.Backends) > 0 {
				fault("%s: both backend and weighted_backends", where)
			}
			continue
		}
		for _, w := range r.Backends {
			if !known[w.Backend] {
				fault("%s: no service %q", where, w.Backend)
			}
			if !(w.Weight >= 0) || w.Weight > 1e9 {
				fault("%s: weight %g", where, w.Weight)
			}
			r.total += w.Weight
		}
		if !(r.total > 0) {
			fault("%s: its weights add up to 0", where)
		}
	}
	if c.Limits.HeaderBytes < 0 || c.Limits.BodyBytes < 0 || c.Limits.HeaderMs < 0 || c.Limits.IdleMs < 0 {
		fault("request_limits: a negative number")
	}
	return errors.Join(faults...)
}

// index orders the routes for Find.
func (c *Config) index() {
	c.hosts = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, routes := range c.hosts {
		slices.SortFunc(routes, func(x, y *Route) int { return cmp.Compare(len(y.Prefix), len(x.Prefix)) })
	}
}

// Find returns the route for a Host header and a path, or nil.
func (c *Config) Find(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	routes, ok := c.hosts[host]
	if !ok {
		routes = c.hosts[strings.ToLower(host)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
