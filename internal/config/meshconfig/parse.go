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

// Parse reads a configuration and checks all that does not depend on other state.
// The error names every fault with its place.
func Parse(body []byte) (*Config, error) { return ParseNext(body, nil) }

// ParseNext is Parse where another configuration has been parsed before: routes with the same bytes are taken from there,
// without being decoded and checked again. The body is not to be changed afterwards.
func ParseNext(body []byte, base *Config) (*Config, error) {
	if len(body) > MaxBytes {
		return nil, fmt.Errorf("configuration: %d bytes, the maximum is %d", len(body), MaxBytes)
	}
	p := parser{body: body, in: bytes.NewReader(body), base: base, config: &Config{}}
	if base != nil {
		p.used = make([]bool, len(base.raw))
	}
	p.dec = msgpack.NewDecoder(p.in)
	if err := p.decode(); err != nil {
		return nil, fmt.Errorf("configuration: not readable: %w", err)
	}
	if p.in.Len() > 0 {
		return nil, errors.New("configuration: there is more after its end")
	}
	c := p.config
	c.buildIndex(base)
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
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
	used   []bool // by place in the base: the route is a part of this configuration too
	fresh  []int  // places of routes that were decoded
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
		return p.decodeBackends()
	case "request_limits":
		return p.dec.Decode(&p.config.Limits)
	}
	return p.dec.Skip()
}

// decodeBackends reads the services, which are those of the base where the bytes are.
func (p *parser) decodeBackends() error {
	begin := p.offset()
	if p.base != nil && len(p.base.rawBackends) > 0 && bytes.HasPrefix(p.body[begin:], p.base.rawBackends) {
		p.config.Backends = p.base.Backends
		p.config.rawBackends = p.body[begin : begin+len(p.base.rawBackends)]
		return p.seek(begin + len(p.base.rawBackends))
	}
	p.config.Backends = nil
	err := p.dec.Decode(&p.config.Backends)
	p.config.rawBackends = p.body[begin:p.offset()]
	return err
}

// offset is how far the body has been read.
func (p *parser) offset() int { return len(p.body) - p.in.Len() }

func (p *parser) seek(offset int) error {
	_, err := p.in.Seek(int64(offset), io.SeekStart)
	return err
}

func (p *parser) decodeRoutes() error {
	count, err := p.dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	p.config.Routes, p.config.raw, p.fresh = nil, nil, nil
	clear(p.used)
	p.next = 0
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
			p.fresh = append(p.fresh, i)
		}
		p.config.Routes = append(p.config.Routes, route)
		p.config.raw = append(p.config.raw, raw)
	}
	return nil
}

// decodeRoute reads one route's bytes. The route is the one of the base that has them; nil: there is none.
func (p *parser) decodeRoute() (route *Route, raw []byte, err error) {
	begin := p.offset()
	// A value's bytes say where it ends: those of a known route are that route.
	if p.base != nil && p.next < len(p.base.raw) && bytes.HasPrefix(p.body[begin:], p.base.raw[p.next]) {
		end := begin + len(p.base.raw[p.next])
		return p.reuse(p.next), p.body[begin:end], p.seek(end)
	}
	if err := p.dec.Skip(); err != nil {
		return nil, nil, err
	}
	raw = p.body[begin:p.offset()]
	if p.base == nil {
		return nil, raw, nil
	}
	if at, found := p.findUnchanged(raw); found {
		return p.reuse(at), raw, nil
	}
	p.next++ // most likely this one was changed where it stands
	return nil, raw, nil
}

// reuse returns a route of the base, unless it has been used before: it occurs twice then, which the check reports.
func (p *parser) reuse(at int) *Route {
	p.next = at + 1
	if p.used[at] {
		return nil
	}
	p.used[at] = true
	return p.base.Routes[at]
}

// check finds all faults. Where the services are those of the base, and no place is taken twice, only what is new can have
// any.
func (p *parser) check() error {
	c := p.config
	if p.base != nil && slices.Equal(p.base.Backends, c.Backends) && c.index.Len() == len(c.Routes) {
		return c.check(p.fresh, false)
	}
	all := make([]int, len(c.Routes))
	for i := range all {
		all[i] = i
	}
	return c.check(all, true)
}

// findUnchanged finds a route of the base by its bytes.
func (p *parser) findUnchanged(raw []byte) (at int, found bool) {
	if p.byHash == nil {
		p.seed, p.byHash = maphash.MakeSeed(), make(map[uint64]int, len(p.base.raw))
		for i, r := range p.base.raw {
			p.byHash[maphash.Bytes(p.seed, r)] = i
		}
	}
	at, found = p.byHash[maphash.Bytes(p.seed, raw)]
	return at, found && bytes.Equal(p.base.raw[at], raw)
}
