package router

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// stateSource makes up what a node is told.
type stateSource struct {
	rng     *rand.Rand
	index   uint64
	servers map[string]*wire.Server
	members map[string]*wire.Member
	gone    map[string]bool
	config  *meshconfig.Config
}

func newStateSource(seed uint64) *stateSource {
	return &stateSource{rng: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*wire.Server{}, members: map[string]*wire.Member{}, gone: map[string]bool{}}
}

func (s *stateSource) server(member string) *wire.Server {
	return &wire.Server{Member: member, Service: fmt.Sprint("s", s.rng.IntN(4)), Node: fmt.Sprint("n", s.rng.IntN(12)),
		Zone: fmt.Sprint("z", s.rng.IntN(2)), Draining: s.rng.IntN(6) == 0}
}

// change changes some servers, and at times the configuration.
func (s *stateSource) change() *wire.Changes {
	c := &wire.Changes{From: s.index, To: s.index + 1}
	s.index++
	for range s.rng.IntN(4) {
		member := fmt.Sprint("i", s.rng.IntN(30))
		if s.rng.IntN(3) == 0 {
			delete(s.servers, member)
			c.Resources = append(c.Resources, &wire.Resource{Index: s.index, Value: &wire.Resource_RemovedServer{RemovedServer: member}})
			continue
		}
		s.servers[member] = s.server(member)
		c.Resources = append(c.Resources, &wire.Resource{Index: s.index, Value: &wire.Resource_Server{Server: s.servers[member]}})
	}
	if s.rng.IntN(2) == 0 {
		p := meshconfig.Patch{Revision: s.index}
		name := fmt.Sprint("r", s.rng.IntN(5))
		if s.rng.IntN(3) == 0 {
			p.RemovedRoutes = []meshconfig.Key{{Host: "h", Prefix: "/" + name + "/"}}
		} else {
			p.Routes = []*meshconfig.Route{{Name: name, Host: "h", Prefix: "/" + name + "/", Priority: s.rng.IntN(4), Backend: "s0"}}
		}
		if s.rng.IntN(3) == 0 {
			p.RemovedBackends = []string{fmt.Sprint("s", s.rng.IntN(4))}
		} else {
			p.Backends = []meshconfig.Backend{{Name: fmt.Sprint("s", s.rng.IntN(4))}}
		}
		s.config = s.config.Apply(p)
	}
	return c
}

// whole is all that there is.
func (s *stateSource) whole() *wire.Changes {
	c := &wire.Changes{To: s.index, Full: true}
	for _, srv := range s.servers {
		c.Resources = append(c.Resources, &wire.Resource{Index: s.index, Value: &wire.Resource_Server{Server: srv}})
	}
	return c
}

// shuffle lets members come, fall silent and go.
func (s *stateSource) shuffle() {
	name := fmt.Sprint("n", s.rng.IntN(12))
	delete(s.gone, name)
	switch s.rng.IntN(4) {
	case 0:
		delete(s.members, name)
		s.gone[name] = true
	case 1:
		s.members[name] = &wire.Member{Name: name, Zone: "z0", State: wire.Member_SUSPECT}
	default:
		s.members[name] = &wire.Member{Name: name, Zone: "z0"}
	}
}

func (s *stateSource) tellMembers(b *ClusterStateBuilder) {
	members := slices.SortedFunc(maps.Values(s.members), func(a, b *wire.Member) int { return strings.Compare(a.Name, b.Name) })
	b.SetMembers(members, func(node string) bool { return s.gone[node] })
}

// reachable are the servers that a service's picker knows.
func (t *Table) reachable(service string) []string {
	var tried []string
	for {
		id, _, ok := t.service(0, service).picker.Pick(0, tried)
		if !ok {
			slices.Sort(tried)
			return tried
		}
		tried = append(tried, id)
	}
}

// TestUpdatesAddUp: a node that is told of changes one by one knows what one knows that is told of all at once.
func TestUpdatesAddUp(t *testing.T) {
	for seed := range uint64(20) {
		s := newStateSource(seed)
		var steady ClusterStateBuilder
		table := NewTable(Options{Node: "n0", Zone: "z0", RetryRatio: 1, RetryWindow: time.Second})
		for round := range 120 {
			if s.rng.IntN(3) == 0 {
				s.shuffle()
				s.tellMembers(&steady)
			}
			changes := s.change()
			if s.rng.IntN(25) == 0 {
				changes = s.whole()
			}
			steady.Apply(changes, s.config)
			table.Update(0, steady.ClusterState())

			var anew ClusterStateBuilder
			fresh := NewTable(Options{Node: "n0", Zone: "z0", RetryRatio: 1, RetryWindow: time.Second})
			s.tellMembers(&anew)
			anew.Apply(s.whole(), s.config)
			fresh.Update(0, anew.ClusterState())

			use := func() bool { return s.rng.IntN(40) == 0 || round == 119 }
			compareTables(t, fmt.Sprintf("seed %d, round %d", seed, round), table, fresh, use)
			if steady.Registered() != len(s.servers) || steady.Index() != s.index {
				t.Fatalf("seed %d: %d servers at %d, want %d at %d", seed, steady.Registered(), steady.Index(), len(s.servers), s.index)
			}
		}
	}
}

// compareTables compares what two tables know, of the services that one of them has used or uses now.
func compareTables(t *testing.T, where string, got, want *Table, use func() bool) {
	t.Helper()
	if !maps.Equal(got.levels, want.levels) || !maps.Equal(got.routes, want.routes) || got.subsetPosition != want.subsetPosition {
		t.Fatalf("%s: %v, %v, %v, want %v, %v, %v", where, got.levels, got.routes, got.subsetPosition, want.levels, want.routes, want.subsetPosition)
	}
	if !maps.Equal(got.backends, want.backends) {
		t.Fatalf("%s: services %v, want %v", where, got.backends, want.backends)
	}
	for name := range got.services {
		if !want.backends[name] {
			t.Fatalf("%s: %s is kept, which is gone", where, name)
		}
	}
	for name := range want.backends {
		if got.services[name] == nil && !use() {
			continue
		}
		if g, w := got.reachable(name), want.reachable(name); !slices.Equal(g, w) {
			t.Fatalf("%s: %s has the servers %v, want %v", where, name, g, w)
		}
		if g, w := got.service(0, name).gate.Probability(0, 3), want.service(0, name).gate.Probability(0, 3); g != w {
			t.Fatalf("%s: %s admits %v of the last priority, want %v", where, name, g, w)
		}
	}
}

// BenchmarkUpdate measures what one change costs a node that knows 2,000 routes and 2,000 services with 28,000 servers.
func BenchmarkUpdate(b *testing.B) {
	const routes, services, servers, nodes = 2000, 2000, 28000, 28000
	var members []*wire.Member
	for i := range nodes {
		members = append(members, &wire.Member{Name: fmt.Sprintf("node-%05d", i), Zone: fmt.Sprint("z", i%4)})
	}
	gone := func(string) bool { return false }
	prepare := func() (*ClusterStateBuilder, *Table, *meshconfig.Config) {
		p := meshconfig.Patch{Revision: 1}
		for i := range services {
			p.Backends = append(p.Backends, meshconfig.Backend{Name: fmt.Sprint("s", i)})
		}
		for i := range routes {
			p.Routes = append(p.Routes, benchRoute(i, 0))
		}
		var config *meshconfig.Config
		config = config.Apply(p)
		whole := &wire.Changes{To: 1, Full: true}
		for i := range servers {
			whole.Resources = append(whole.Resources, benchServer(i, services, nodes, 1))
		}
		w := new(ClusterStateBuilder)
		w.SetMembers(members, gone)
		w.Apply(whole, config)
		table := NewTable(Options{Node: "node-00000", Zone: "z0", RetryRatio: 0.2, RetryWindow: 10 * time.Second})
		table.Update(0, w.ClusterState())
		return w, table, config
	}
	b.Run("route", func(b *testing.B) {
		w, table, config := prepare()
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			n++
			config = config.Apply(meshconfig.Patch{Revision: uint64(n + 1), Routes: []*meshconfig.Route{benchRoute(n%routes, n)}})
			w.Apply(&wire.Changes{From: w.Index(), To: w.Index() + 1}, config)
			table.Update(0, w.ClusterState())
		}
	})
	b.Run("member", func(b *testing.B) { // of another zone
		w, table, _ := prepare()
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			n++
			now := slices.Clone(members)
			i := n*4%nodes + 1
			now[i] = &wire.Member{Name: now[i].Name, Zone: now[i].Zone, State: wire.Member_SUSPECT}
			w.SetMembers(now, gone)
			table.Update(0, w.ClusterState())
		}
	})
	b.Run("server", func(b *testing.B) {
		w, table, config := prepare()
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			n++
			r := benchServer(n%servers, services, nodes, uint32(n))
			r.GetServer().Draining = n/servers%2 == 0
			w.Apply(&wire.Changes{From: w.Index(), To: w.Index() + 1, Resources: []*wire.Resource{r}}, config)
			table.Update(0, w.ClusterState())
		}
	})
}

func benchRoute(i, version int) *meshconfig.Route {
	return &meshconfig.Route{Name: fmt.Sprint("r", i), Host: fmt.Sprintf("h%d.example", i%100), Prefix: fmt.Sprintf("/%d/", i),
		Kind: meshconfig.NonIdempotent, TimeoutMs: float64(1000 + version%1000), TargetLatencyMs: 100, Priority: i % 3, Backend: fmt.Sprint("s", i)}
}

func benchServer(i, services, nodes int, slots uint32) *wire.Resource {
	return &wire.Resource{Value: &wire.Resource_Server{Server: &wire.Server{Member: fmt.Sprintf("i-%08x", i*7919), Service: fmt.Sprint("s", i%services),
		Node: fmt.Sprintf("node-%05d", i%nodes), Zone: fmt.Sprint("z", i%4), Slots: slots}}}
}
