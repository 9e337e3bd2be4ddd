package meshconfig

import (
	"fmt"

	"ivydeck/internal/pkg/msgpackreader"
)

// Names of the fields, in the order of the struct fields that they belong to.
var (
	configFields   = []string{"revision", "route_table", "backend_table", "request_limits"}
	routeFields    = []string{"name", "hostname", "path_prefix", "route_type", "timeout_ms", "target_latency_ms", "priority", "backend", "weighted_backends", "max_attempts"}
	weightedFields = []string{"backend", "weight"}
	backendFields  = []string{"name", "health_path", "max_connections", "protocol", "tls"}
	limitsFields   = []string{"max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"}
)

// decode decodes the body into the parser's configuration.
func (p *parser) decode() error {
	return p.reader.Struct(configFields, func(field int) (err error) {
		switch configFields[field] {
		case "revision":
			p.config.Revision, err = p.reader.Uint()
		case "route_table":
			err = p.decodeRoutes()
		case "backend_table":
			err = p.decodeBackends()
		case "request_limits":
			p.config.Limits, err = decodeLimits(p.reader)
		}
		return err
	})
}

// Revision returns the revision of a configuration that a quorum has received, without parsing the rest. The configuration may
// be invalid.
func Revision(body []byte) (revision uint64, err error) {
	r := msgpackreader.NewUnlimited(body)
	err = r.Struct(configFields, func(field int) (err error) {
		if configFields[field] == "revision" {
			revision, err = r.Uint()
			return err
		}
		return r.Skip()
	})
	if err != nil {
		return 0, fmt.Errorf("configuration: not readable: %w", err)
	}
	return revision, nil
}

// decodeFieldsOf decodes a route.
func (p *parser) decodeFieldsOf(route *Route) error {
	r := p.reader
	err := r.Struct(routeFields, func(field int) (err error) {
		switch routeFields[field] {
		case "name":
			route.Name, err = r.String()
		case "hostname":
			route.Host, err = r.String()
		case "path_prefix":
			route.Prefix, err = r.String()
		case "route_type":
			var kind string
			kind, err = r.String()
			route.Kind = Kind(kind)
		case "timeout_ms":
			route.TimeoutMs, err = r.Float()
		case "target_latency_ms":
			route.TargetLatencyMs, err = r.Float()
		case "priority":
			route.Priority, err = decodeInt(r)
		case "backend":
			route.Backend, err = r.String()
		case "weighted_backends":
			route.Backends, err = p.decodeWeighted()
		case "max_attempts":
			route.MaxAttempts, err = decodeInt(r)
		}
		return err
	})
	route.addWeights()
	return err
}

// decodeWeighted decodes the services of a route.
func (p *parser) decodeWeighted() ([]Weighted, error) {
	count, err := p.reader.ArrayLength()
	if err != nil {
		return nil, err
	}
	if p.weighted += count; p.weighted > p.maxWeighted {
		return nil, fmt.Errorf("more than %d weighted_backends in all routes", p.maxWeighted)
	}
	services := make([]Weighted, count)
	for i := range services {
		if err := decodeWeightedBackend(p.reader, &services[i]); err != nil {
			return nil, fmt.Errorf("[%d]: %w", i, err)
		}
	}
	return services, nil
}

func decodeWeightedBackend(r *msgpackreader.Reader, w *Weighted) error {
	return r.Struct(weightedFields, func(field int) (err error) {
		switch weightedFields[field] {
		case "backend":
			w.Backend, err = r.String()
		case "weight":
			w.Weight, err = r.Float()
		}
		return err
	})
}

func decodeBackend(r *msgpackreader.Reader, b *Backend) error {
	return r.Struct(backendFields, func(field int) (err error) {
		switch backendFields[field] {
		case "name":
			b.Name, err = r.String()
		case "health_path":
			b.Health, err = r.String()
		case "max_connections":
			b.MaxConns, err = decodeInt(r)
		case "protocol":
			b.Protocol, err = r.String()
		case "tls":
			b.TLS, err = r.Bool()
		}
		return err
	})
}

func decodeLimits(r *msgpackreader.Reader) (limits Limits, err error) {
	err = r.Struct(limitsFields, func(field int) (err error) {
		switch limitsFields[field] {
		case "max_header_bytes":
			limits.HeaderBytes, err = decodeInt(r)
		case "max_body_bytes":
			limits.BodyBytes, err = r.Int()
		case "header_timeout_ms":
			limits.HeaderMs, err = r.Float()
		case "idle_timeout_ms":
			limits.IdleMs, err = r.Float()
		}
		return err
	})
	return limits, err
}

func decodeInt(r *msgpackreader.Reader) (int, error) {
	n, err := r.Int()
	return int(n), err
}
