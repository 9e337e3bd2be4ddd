package meshconfig

import (
	"encoding/binary"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind string

// The kinds of requests.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
)

// Weighted is one of the services that share a route.
type Weighted struct {
	Backend string  `msgpack:"backend"`
	Weight  float64 `msgpack:"weight"`
}

// Route sends requests of one host below one path to services. It is not changed once it is part of a Config, so that
// configurations share the routes that they have in common.
type Route struct {
	Name            string     `msgpack:"name"`
	Host            string     `msgpack:"hostname"`
	Prefix          string     `msgpack:"path_prefix"`
	Kind            Kind       `msgpack:"route_type"`
	TimeoutMs       float64    `msgpack:"timeout_ms"`
	TargetLatencyMs float64    `msgpack:"target_latency_ms" json:"AimMs"` // the JSON name is that of ivydeckctl config read
	Priority        int        `msgpack:"priority"`                       // 0 is the highest
	Backend         string     `msgpack:"backend"`                        // empty: the weighted ones
	Backends        []Weighted `msgpack:"weighted_backends"`
	MaxAttempts     int        `msgpack:"max_attempts"`

	total float64
}

// Timeout is the longest that the operator wants a request held.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMs * float64(time.Millisecond))
}

// TargetLatency is the time within which an answer earns its full worth.
func (r *Route) TargetLatency() time.Duration {
	return time.Duration(r.TargetLatencyMs * float64(time.Millisecond))
}

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

// addWeights sets the sum by which Service picks.
func (r *Route) addWeights() {
	r.total = 0
	if r.Backend != "" {
		return
	}
	for _, w := range r.Backends {
		r.total += w.Weight
	}
}

// Key is the place that a route has to itself.
type Key struct{ Host, Prefix string }

// Key returns the route's place.
func (r *Route) Key() Key { return Key{strings.ToLower(r.Host), r.Prefix} }

// appendKey appends a key's bytes, of which no two keys have the same.
func appendKey(b []byte, host, prefix string) []byte {
	b = binary.AppendUvarint(b, uint64(len(host)))
	b = append(b, host...)
	return append(b, prefix...)
}

func (k Key) bytes() string { return string(appendKey(nil, k.Host, k.Prefix)) }
