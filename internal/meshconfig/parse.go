package meshconfig

import (
	"bytes"
	"errors"
	"fmt"
	"hash/maphash"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Parse reads a configuration and checks all that can be checked of it alone.
// The error names every fault with its place.
func Parse(body []byte) (*Config, error) { return ParseNext(body, nil) }

// ParseNext is Parse where another configuration has been parsed before: routes with the same bytes are taken from there,
// without being decoded and checked again. The body is not to be changed afterwards.
func ParseNext(body []byte, base *Config) (*Config, error) {
	if len(body) > MostBytes {
		return nil, fmt.Errorf("configuration: %d bytes, at most %d are allowed", len(body), MostBytes)
	}
	p := parser{body: body, in: bytes.NewReader(body), base: base, config: &Config{}, reused: map[*Route]bool{}}
	p.dec = msgpack.NewDecoder(p.in)
	if err := p.decode(); err != nil {
		return nil, fmt.Errorf("configuration: not readable: %w", err)
	}
	if p.in.Len() > 0 {
		return nil, errors.New("configuration: more follows behind its end")
	}
	c := p.config
	if err := c.check(func(r *Route) bool { return p.reused[r] }); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c.index(base)
	return c, nil
}

// parser reads one body. The routes are taken one by one, so that those of the base can be used again.
type parser struct {
	body   []byte
	in     *bytes.Reader
	dec    *msgpack.Decoder
	base   *Config
	config *Config

	next   int            // route of the base that most likely comes next
	byHash map[uint64]int // routes of the base by their bytes; made when it is needed
	seed   maphash.Seed
	reused map[*Route]bool
}

func (p *parser) decode() error {
	code, err := p.dec.PeekCode()
	if err != nil {
		return err
	}
	if !isMap(code) {
		return p.decodePlain()
	}
	fields, err := p.dec.DecodeMapLen()
	if err != nil {
		return err
	}
	for range fields {
		name, err := p.dec.DecodeString()
		if err != nil {
			return err
		}
		if err := p.decodeField(name); err != nil {
			return err
		}
	}
	return nil
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

// decodePlain reads a body that is no map: the library also takes structures as arrays of their fields.
func (p *parser) decodePlain() error {
	var plain struct {
		Revision uint64    `msgpack:"revision"`
		Routes   []Route   `msgpack:"route_table"`
		Backends []Backend `msgpack:"backend_table"`
		Limits   Limits    `msgpack:"request_limits"`
	}
	if err := p.dec.Decode(&plain); err != nil {
		return err
	}
	p.config.Revision, p.config.Backends, p.config.Limits = plain.Revision, plain.Backends, plain.Limits
	for i := range plain.Routes {
		plain.Routes[i].addWeights()
		p.config.Routes = append(p.config.Routes, &plain.Routes[i])
	}
	return nil
}

func (p *parser) decodeField(name string) error {
	switch name {
	case "revision":
		return p.dec.Decode(&p.config.Revision)
	case "route_table":
		return p.decodeRoutes()
	case "backend_table":
		return p.dec.Decode(&p.config.Backends)
	case "request_limits":
		return p.dec.Decode(&p.config.Limits)
	}
	return p.dec.Skip()
}

func (p *parser) decodeRoutes() error {
	count, err := p.dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	p.config.Routes, p.config.raw = nil, nil
	for range count {
		begin := len(p.body) - p.in.Len()
		if err := p.dec.Skip(); err != nil {
			return err
		}
		raw := p.body[begin : len(p.body)-p.in.Len()]
		route := p.reuse(raw)
		if route == nil {
			route = new(Route)
			if err := msgpack.Unmarshal(raw, route); err != nil {
				return err
			}
			route.addWeights()
		}
		p.config.Routes = append(p.config.Routes, route)
		p.config.raw = append(p.config.raw, raw)
	}
	return nil
}

// reuse returns the route of the base with these bytes, or nil. Most stand where they stood before.
func (p *parser) reuse(raw []byte) *Route {
	if p.base == nil || len(p.base.raw) == 0 {
		return nil
	}
	at := p.next
	if at >= len(p.base.raw) || !bytes.Equal(p.base.raw[at], raw) {
		var found bool
		if at, found = p.lookUp(raw); !found {
			p.next++ // most likely this one was changed where it stands
			return nil
		}
	}
	p.next = at + 1
	route := p.base.Routes[at]
	if p.reused[route] {
		return nil // it is there twice, which the check will say
	}
	p.reused[route] = true
	return route
}

// lookUp finds a route of the base by its bytes.
func (p *parser) lookUp(raw []byte) (at int, found bool) {
	if p.byHash == nil {
		p.seed, p.byHash = maphash.MakeSeed(), make(map[uint64]int, len(p.base.raw))
		for i, r := range p.base.raw {
			p.byHash[maphash.Bytes(p.seed, r)] = i
		}
	}
	at, found = p.byHash[maphash.Bytes(p.seed, raw)]
	return at, found && bytes.Equal(p.base.raw[at], raw)
}
