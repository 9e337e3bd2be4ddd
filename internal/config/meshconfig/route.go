package meshconfig

import (
	"encoding/binary"
	"strings"
	"time"
)

// Kind determines whether a request may be executed more than once.
type Kind string

// The request kinds.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
)

// Weighted is a service that receives a share of a route's requests, in proportion to its weight.
type Weighted struct {
	Backend string  `msgpack:"backend"`
	Weight  float64 `msgpack:"weight"`
}

// Route sends the requests for a host and a path prefix to services. It is immutable once it is part of a Config, so that
// configurations can share it.
type Route struct {
	Name            string     `msgpack:"name"`
	Host            string     `msgpack:"hostname"`
	Prefix          string     `msgpack:"path_prefix"`
	Kind            Kind       `msgpack:"route_type"`
	TimeoutMs       float64    `msgpack:"timeout_ms"`
	TargetLatencyMs float64    `msgpack:"target_latency_ms" json:"AimMs"` // printed by ivydeckctl config read under this JSON name
	Priority        int        `msgpack:"priority"`                       // 0 is the highest
	Backend         string     `msgpack:"backend"`                        // if empty, Backends applies
	Backends        []Weighted `msgpack:"weighted_backends"`
	MaxAttempts     int        `msgpack:"max_attempts"`

	total float64 // sum of the weights; zero if Backend is set
}

// Timeout returns the maximum duration of a request.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMs * float64(time.Millisecond))
}

// TargetLatency returns the latency up to which a response has its full value.
func (r *Route) TargetLatency() time.Duration {
	return time.Duration(r.TargetLatencyMs * float64(time.Millisecond))
}

// Service selects the service for a request, in proportion to the weights. x is in [0, 1).
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
	for i := len(r.Backends) - 1; i >= 0; i-- { // rounding errors may leave x at 0 or above
		if r.Backends[i].Weight > 0 {
			return r.Backends[i].Backend
		}
	}
	return ""
}

// addWeights sets total.
func (r *Route) addWeights() {
	r.total = 0
	if r.Backend != "" {
		return
	}
	for _, w := range r.Backends {
		r.total += w.Weight
	}
}

// Key identifies a route within a configuration.
type Key struct{ Host, Prefix string }

// Key returns the key of the route, with the host in lower case.
func (r *Route) Key() Key { return Key{strings.ToLower(r.Host), r.Prefix} }

// appendKey appends an encoding of a key that is unique to it.
func appendKey(b []byte, host, prefix string) []byte {
	b = binary.AppendUvarint(b, uint64(len(host)))
	b = append(b, host...)
	return append(b, prefix...)
}

// bytes returns the encoding of the key.
func (k Key) bytes() string { return string(appendKey(nil, k.Host, k.Prefix)) }
