package meshconfig

import (
	"bytes"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Parse decodes and validates a configuration in MessagePack. The error lists all errors with their positions.
func Parse(body []byte) (*Config, error) { return ParseNext(body, nil) }

// ParseNext is Parse with a previously parsed base configuration, which may be nil. Routes whose bytes are equal to those in
// the base are shared with it, and are neither decoded nor validated again. The result retains body, which must not be
// modified.
func ParseNext(body []byte, base *Config) (*Config, error) {
	if len(body) > MaxBytes {
		return nil, fmt.Errorf("configuration: %d bytes, the maximum is %d", len(body), MaxBytes)
	}
	p := parser{body: body, reader: bytes.NewReader(body), base: base, config: &Config{}}
	if base != nil {
		p.reused = make([]bool, len(base.rawRoutes))
	}
	p.dec = msgpack.NewDecoder(p.reader)
	if err := p.decode(); err != nil {
		return nil, fmt.Errorf("configuration: not readable: %w", err)
	}
	if p.reader.Len() > 0 {
		return nil, errors.New("configuration: there is more after its end")
	}
	c := p.config
	c.buildIndex(base)
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// parser decodes one body. It decodes the routes one by one, to reuse those of the base.
type parser struct {
	body   []byte
	reader *bytes.Reader
	dec    *msgpack.Decoder
	base   *Config
	config *Config

	nextBase int            // index of the base route to compare with the next route
	byHash   map[uint64]int // indexes of base routes by the hash of their bytes; created on first use
	seed     maphash.Seed
	reused   []bool // whether each route of the base was reused, by index
	decoded  []int  // indexes of routes that were decoded
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

// decodePlain decodes a body that is not a map. The library also accepts structs encoded as arrays of their fields.
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
		return p.decodeBackends()
	case "request_limits":
		return p.dec.Decode(&p.config.Limits)
	}
	return p.dec.Skip()
}

// decodeBackends decodes the services, or shares those of the base if the bytes are equal.
func (p *parser) decodeBackends() error {
	start := p.offset()
	if p.base != nil && len(p.base.rawBackends) > 0 && bytes.HasPrefix(p.body[start:], p.base.rawBackends) {
		p.config.Backends = p.base.Backends
		p.config.rawBackends = p.body[start : start+len(p.base.rawBackends)]
		return p.seek(start + len(p.base.rawBackends))
	}
	p.config.Backends = nil
	err := p.dec.Decode(&p.config.Backends)
	p.config.rawBackends = p.body[start:p.offset()]
	return err
}

// offset returns the number of bytes that were read from the body.
func (p *parser) offset() int { return len(p.body) - p.reader.Len() }

func (p *parser) seek(offset int) error {
	_, err := p.reader.Seek(int64(offset), io.SeekStart)
	return err
}

func (p *parser) decodeRoutes() error {
	count, err := p.dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	p.config.Routes, p.config.rawRoutes, p.decoded = nil, nil, nil
	clear(p.reused)
	p.nextBase = 0
	for i := range count {
		route, raw, err := p.decodeRoute()
		if err != nil {
			return err
		}
		if route == nil {
			route = new(Route)
			if err := msgpack.Unmarshal(raw, route); err != nil {
				return err
			}
			route.addWeights()
			p.decoded = append(p.decoded, i)
		}
		p.config.Routes = append(p.config.Routes, route)
		p.config.rawRoutes = append(p.config.rawRoutes, raw)
	}
	return nil
}

// decodeRoute reads the bytes of a route and returns the base route with the same bytes. The route is nil if there is none.
func (p *parser) decodeRoute() (route *Route, raw []byte, err error) {
	start := p.offset()
	// MessagePack values are self-delimiting: if the body continues with the bytes of a base route, they are the whole route.
	if p.base != nil && p.nextBase < len(p.base.rawRoutes) && bytes.HasPrefix(p.body[start:], p.base.rawRoutes[p.nextBase]) {
		end := start + len(p.base.rawRoutes[p.nextBase])
		return p.reuse(p.nextBase), p.body[start:end], p.seek(end)
	}
	if err := p.dec.Skip(); err != nil {
		return nil, nil, err
	}
	raw = p.body[start:p.offset()]
	if p.base == nil {
		return nil, raw, nil
	}
	if index, found := p.findInBase(raw); found {
		return p.reuse(index), raw, nil
	}
	p.nextBase++ // assume that the route was changed in place
	return nil, raw, nil
}

// reuse returns a route of the base, or nil if it was already reused. The route is then a duplicate, which check reports.
func (p *parser) reuse(index int) *Route {
	p.nextBase = index + 1
	if p.reused[index] {
		return nil
	}
	p.reused[index] = true
	return p.base.Routes[index]
}

// check validates the configuration. If the services are equal to those of the base and no two routes have the same key, only
// the decoded routes need validation.
func (p *parser) check() error {
	c := p.config
	if p.base != nil && slices.Equal(p.base.Backends, c.Backends) && c.index.Len() == len(c.Routes) {
		return c.check(p.decoded, false)
	}
	all := make([]int, len(c.Routes))
	for i := range all {
		all[i] = i
	}
	return c.check(all, true)
}

// findInBase returns the index of the base route with the given bytes.
func (p *parser) findInBase(raw []byte) (index int, found bool) {
	if p.byHash == nil {
		p.seed, p.byHash = maphash.MakeSeed(), make(map[uint64]int, len(p.base.rawRoutes))
		for i, r := range p.base.rawRoutes {
			p.byHash[maphash.Bytes(p.seed, r)] = i
		}
	}
	index, found = p.byHash[maphash.Bytes(p.seed, raw)]
	return index, found && bytes.Equal(p.base.rawRoutes[index], raw)
}
