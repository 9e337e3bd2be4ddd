package meshconfig

import (
	"bytes"
	"errors"
	"fmt"
	"hash/maphash"
	"math"
	"slices"

	"ivydeck/internal/pkg/msgpackreader"
)

// Parse decodes and validates a configuration in MessagePack that comes from outside. The error lists the errors with their
// positions, or names the bound that the configuration exceeds.
func Parse(body []byte) (*Config, error) { return ParseNext(body, nil) }

// ParseNext is Parse with a previously parsed base configuration, which may be nil. Routes whose bytes are equal to those in
// the base are shared with it, and are neither decoded nor validated again. The result retains body, which must not be
// modified.
func ParseNext(body []byte, base *Config) (*Config, error) {
	return parse(&parser{body: body, reader: msgpackreader.New(body), base: base, maxRoutes: maxRoutes, maxWeighted: maxWeighted})
}

// ParseAccepted is ParseNext for a configuration that a quorum has accepted, perhaps before the bounds on nested values and
// on the number of weighted backends were introduced. They don't apply to it. All replicas must parse an accepted
// configuration alike.
func ParseAccepted(body []byte, base *Config) (*Config, error) {
	return parse(&parser{body: body, reader: msgpackreader.NewUnlimited(body), base: base, maxRoutes: math.MaxInt, maxWeighted: math.MaxInt})
}

func parse(p *parser) (*Config, error) {
	if len(p.body) > MaxBytes {
		return nil, fmt.Errorf("configuration: %d bytes, the maximum is %d", len(p.body), MaxBytes)
	}
	p.config = &Config{}
	if p.base != nil {
		p.reused = make([]bool, len(p.base.rawRoutes))
	}
	if err := p.decode(); err != nil {
		return nil, fmt.Errorf("configuration: not readable: %w", err)
	}
	if p.reader.Remaining() > 0 {
		return nil, errors.New("configuration: there is more after its end")
	}
	c := p.config
	if err := c.checkRoutesAlone(p.decoded); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c.buildIndex(p.base)
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// parser decodes one body. It decodes the routes one by one, to reuse those of the base.
type parser struct {
	body   []byte
	reader *msgpackreader.Reader
	base   *Config
	config *Config

	// Bounds on all that the body contains, in tables and fields that it repeats as well.
	maxRoutes   int // of routes, and of backends
	maxWeighted int

	routes   int // number of routes decoded or shared so far
	backends int // number of backends decoded so far
	weighted int // number of weighted backends decoded so far

	nextBase int            // index of the base route to compare with the next route
	byHash   map[uint64]int // indexes of base routes by the hash of their bytes; created on first use
	seed     maphash.Seed
	sharing  bool   // routes of the base may be shared
	reused   []bool // whether each route of the base was reused, by index
	decoded  []int  // indexes of routes that were decoded
}

// decodeBackends decodes the services, or shares those of the base if the bytes are equal.
func (p *parser) decodeBackends() error {
	start := p.reader.Offset()
	if p.base != nil && len(p.base.rawBackends) > 0 && bytes.HasPrefix(p.body[start:], p.base.rawBackends) {
		p.config.Backends = p.base.Backends
		p.config.rawBackends = p.body[start : start+len(p.base.rawBackends)]
		p.reader.Seek(start + len(p.base.rawBackends))
		return nil
	}
	count, err := p.tableLength(&p.backends, "services")
	if err != nil {
		return err
	}
	p.config.Backends = make([]Backend, count)
	for i := range p.config.Backends {
		if err := decodeBackend(p.reader, &p.config.Backends[i]); err != nil {
			return fmt.Errorf("[%d]: %w", i, err)
		}
	}
	p.config.rawBackends = p.body[start:p.reader.Offset()]
	return nil
}

// tableLength reads the header of a table and adds the number of its elements to total. It returns an error that names the
// bound if the table has more than maxRoutes elements, or all of its kind have more than the parser accepts.
func (p *parser) tableLength(total *int, elements string) (int, error) {
	count, err := p.reader.ArrayLength()
	if err != nil {
		return 0, err
	}
	*total += count
	if count > maxRoutes || *total > p.maxRoutes {
		return 0, fmt.Errorf("more than %d %s", maxRoutes, elements)
	}
	return count, nil
}

func (p *parser) decodeRoutes() error {
	count, err := p.tableLength(&p.routes, "routes")
	if err != nil {
		return err
	}
	p.sharing = p.base != nil && p.config.rawRoutes == nil // a repeated table replaces the first, which may share the base's routes
	p.config.Routes, p.config.rawRoutes, p.decoded = make([]*Route, 0, count), make([][]byte, 0, count), nil
	for i := range count {
		route, raw, err := p.decodeRoute(i)
		if err != nil {
			return fmt.Errorf("[%d]: %w", i, err)
		}
		p.config.Routes = append(p.config.Routes, route)
		p.config.rawRoutes = append(p.config.rawRoutes, raw)
	}
	return nil
}

// decodeRoute decodes the route with the given index, or shares the base route with the same bytes. It returns its bytes as
// well.
func (p *parser) decodeRoute(index int) (route *Route, raw []byte, err error) {
	start := p.reader.Offset()
	if size, found := p.findRoute(); found {
		p.reader.Seek(start + size)
		return p.base.Routes[p.nextBase-1], p.body[start : start+size], nil
	}
	route = new(Route)
	if err := p.decodeFieldsOf(route); err != nil {
		return nil, nil, err
	}
	p.decoded = append(p.decoded, index)
	return route, p.body[start:p.reader.Offset()], nil
}

// findRoute looks for an unused base route with the same bytes as the next value, and marks it as used. It returns the size of
// the value in bytes, and sets nextBase to the index after that of the route.
func (p *parser) findRoute() (size int, found bool) {
	if !p.sharing {
		return 0, false
	}
	// MessagePack values are self-delimiting: if the body continues with the bytes of a base route, they are the whole route.
	rest := p.body[p.reader.Offset():]
	if p.nextBase < len(p.base.rawRoutes) && bytes.HasPrefix(rest, p.base.rawRoutes[p.nextBase]) {
		size = len(p.base.rawRoutes[p.nextBase])
		return size, p.reuse(p.nextBase)
	}
	size, err := p.reader.NextSize()
	if err != nil {
		return 0, false // decoding the route returns an error too
	}
	if index, found := p.findInBase(rest[:size]); found {
		return size, p.reuse(index)
	}
	p.nextBase++ // assume that the route was changed in place
	return 0, false
}

// reuse marks a route of the base as used, unless it was used before. The route is then a duplicate, which check reports.
func (p *parser) reuse(index int) bool {
	p.nextBase = index + 1
	if p.reused[index] {
		return false
	}
	p.reused[index] = true
	return true
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
