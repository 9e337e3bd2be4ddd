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

// stateSource generates random changes of servers, members and configuration.
type stateSource struct {
	rng     *rand.Rand
	index   uint64
	servers map[string]*wire.Server
	members map[string]*wire.Member
	dead    map[string]bool // names of removed members
	config  *meshconfig.Config
}

func newStateSource(seed uint64) *stateSource {
	return &stateSource{rng: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*wire.Server{}, members: map[string]*wire.Member{}, dead: map[string]bool{}}
}

func (s *stateSource) server(member string) *wire.Server {
	return &wire.Server{Member: member, Service: fmt.Sprint("s", s.rng.IntN(4)), Node: fmt.Sprint("n", s.rng.IntN(12)),
		Zone: fmt.Sprint("z", s.rng.IntN(2)), Draining: s.rng.IntN(6) == 0}
}

// change changes up to three servers and, half of the time, the configuration. It returns the changes of servers.
func (s *stateSource) change() *wire.Changes {
	changes := &wire.Changes{From: s.index, To: s.index + 1}
	s.index++
	for range s.rng.IntN(4) {
		member := fmt.Sprint("i", s.rng.IntN(30))
		if s.rng.IntN(3) == 0 {
			delete(s.servers, member)
			changes.Resources = append(changes.Resources, &wire.Resource{Index: s.index, Value: &wire.Resource_RemovedServer{RemovedServer: member}})
			continue
		}
		s.servers[member] = s.server(member)
		changes.Resources = append(changes.Resources, &wire.Resource{Index: s.index, Value: &wire.Resource_Server{Server: s.servers[member]}})
	}
	if s.rng.IntN(2) == 0 {
		patch := meshconfig.Patch{Revision: s.index}
		name := fmt.Sprint("r", s.rng.IntN(5))
		if s.rng.IntN(3) == 0 {
			patch.RemovedRoutes = []meshconfig.Key{{Host: "h", Prefix: "/" + name + "/"}}
		} else {
			patch.Routes = []*meshconfig.Route{{Name: name, Host: "h", Prefix: "/" + name + "/", Priority: s.rng.IntN(4), Backend: "s0"}}
		}
		if s.rng.IntN(3) == 0 {
			patch.RemovedBackends = []string{fmt.Sprint("s", s.rng.IntN(4))}
		} else {
			patch.Backends = []meshconfig.Backend{{Name: fmt.Sprint("s", s.rng.IntN(4))}}
		}
		s.config = s.config.Apply(patch)
	}
	return changes
}

// fullState returns all servers as a full state.
func (s *stateSource) fullState() *wire.Changes {
	full := &wire.Changes{To: s.index, Full: true}
	for _, server := range s.servers {
		full.Resources = append(full.Resources, &wire.Resource{Index: s.index, Value: &wire.Resource_Server{Server: server}})
	}
	return full
}

// changeMember makes a random member alive, suspect or dead.
func (s *stateSource) changeMember() {
	name := fmt.Sprint("n", s.rng.IntN(12))
	delete(s.dead, name)
	switch s.rng.IntN(4) {
	case 0:
		delete(s.members, name)
		s.dead[name] = true
	case 1:
		s.members[name] = &wire.Member{Name: name, Zone: "z0", State: wire.Member_SUSPECT}
	default:
		s.members[name] = &wire.Member{Name: name, Zone: "z0"}
	}
}

func (s *stateSource) setMembers(b *ClusterStateBuilder) {
	members := slices.SortedFunc(maps.Values(s.members), func(a, b *wire.Member) int { return strings.Compare(a.Name, b.Name) })
	b.SetMembers(members, func(node string) bool { return s.dead[node] })
}

// reachable returns the servers that a service's picker may pick, sorted by ID.
func (t *Table) reachable(service string) []string {
	var picked []string
	for {
		id, _, ok := t.service(0, service).picker.Pick(0, picked)
		if !ok {
			slices.Sort(picked)
			return picked
		}
		picked = append(picked, id)
	}
}

// TestIncrementalUpdates applies random changes incrementally and compares the result with that of applying the full state.
func TestIncrementalUpdates(t *testing.T) {
	for seed := range uint64(20) {
		s := newStateSource(seed)
		var incremental ClusterStateBuilder
		table := NewTable(Options{Node: "n0", Zone: "z0", RetryRatio: 1, RetryWindow: time.Second})
		for round := range 120 {
			if s.rng.IntN(3) == 0 {
				s.changeMember()
				s.setMembers(&incremental)
			}
			changes := s.change()
			if s.rng.IntN(25) == 0 {
				changes = s.fullState()
			}
			incremental.Apply(changes, s.config)
			table.Update(0, incremental.ClusterState())

			var full ClusterStateBuilder
			want := NewTable(Options{Node: "n0", Zone: "z0", RetryRatio: 1, RetryWindow: time.Second})
			s.setMembers(&full)
			full.Apply(s.fullState(), s.config)
			want.Update(0, full.ClusterState())

			use := func() bool { return s.rng.IntN(40) == 0 || round == 119 }
			compareTables(t, fmt.Sprintf("seed %d, round %d", seed, round), table, want, use)
			if incremental.Registered() != len(s.servers) || incremental.Index() != s.index {
				t.Fatalf("seed %d: %d registered servers at index %d, want %d at index %d", seed, incremental.Registered(), incremental.Index(), len(s.servers), s.index)
			}
		}
	}
}

// compareTables compares the state of two tables. It compares the servers and gates of the services that got has used, and of
// those for which use returns true.
func compareTables(t *testing.T, where string, got, want *Table, use func() bool) {
	t.Helper()
	if !maps.Equal(got.routesPerPriority, want.routesPerPriority) || !maps.Equal(got.routesPerName, want.routesPerName) || got.subsetPosition != want.subsetPosition {
		t.Fatalf("%s: priorities, routes and subset position are %v, %v, %v, want %v, %v, %v", where, got.routesPerPriority, got.routesPerName, got.subsetPosition, want.routesPerPriority, want.routesPerName, want.subsetPosition)
	}
	if !maps.Equal(got.backends, want.backends) {
		t.Fatalf("%s: configured services are %v, want %v", where, got.backends, want.backends)
	}
	for name := range got.services {
		if !want.backends[name] {
			t.Fatalf("%s: state of removed service %s is kept", where, name)
		}
	}
	for name := range want.backends {
		if got.services[name] == nil && !use() {
			continue
		}
		if g, w := got.reachable(name), want.reachable(name); !slices.Equal(g, w) {
			t.Fatalf("%s: service %s has servers %v, want %v", where, name, g, w)
		}
		if g, w := got.service(0, name).gate.Probability(0, 3), want.service(0, name).gate.Probability(0, 3); g != w {
			t.Fatalf("%s: service %s admits priority 3 with probability %v, want %v", where, name, g, w)
		}
	}
}

// BenchmarkUpdate measures the cost of one change at a node with 2,000 routes, 2,000 services and 28,000 servers.
func BenchmarkUpdate(b *testing.B) {
	const routes, services, servers, nodes = 2000, 2000, 28000, 28000
	var members []*wire.Member
	for i := range nodes {
		members = append(members, &wire.Member{Name: fmt.Sprintf("node-%05d", i), Zone: fmt.Sprint("z", i%4)})
	}
	isDead := func(string) bool { return false }
	prepare := func() (*ClusterStateBuilder, *Table, *meshconfig.Config) {
		patch := meshconfig.Patch{Revision: 1}
		for i := range services {
			patch.Backends = append(patch.Backends, meshconfig.Backend{Name: fmt.Sprint("s", i)})
		}
		for i := range routes {
			patch.Routes = append(patch.Routes, benchRoute(i, 0))
		}
		var config *meshconfig.Config
		config = config.Apply(patch)
		full := &wire.Changes{To: 1, Full: true}
		for i := range servers {
			full.Resources = append(full.Resources, benchServer(i, services, nodes, 1))
		}
		builder := new(ClusterStateBuilder)
		builder.SetMembers(members, isDead)
		builder.Apply(full, config)
		table := NewTable(Options{Node: "node-00000", Zone: "z0", RetryRatio: 0.2, RetryWindow: 10 * time.Second})
		table.Update(0, builder.ClusterState())
		return builder, table, config
	}
	b.Run("route", func(b *testing.B) {
		builder, table, config := prepare()
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			n++
			config = config.Apply(meshconfig.Patch{Revision: uint64(n + 1), Routes: []*meshconfig.Route{benchRoute(n%routes, n)}})
			builder.Apply(&wire.Changes{From: builder.Index(), To: builder.Index() + 1}, config)
			table.Update(0, builder.ClusterState())
		}
	})
	b.Run("member", func(b *testing.B) { // a member of another zone becomes suspect
		builder, table, _ := prepare()
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			n++
			changed := slices.Clone(members)
			i := n*4%nodes + 1
			changed[i] = &wire.Member{Name: changed[i].Name, Zone: changed[i].Zone, State: wire.Member_SUSPECT}
			builder.SetMembers(changed, isDead)
			table.Update(0, builder.ClusterState())
		}
	})
	b.Run("server", func(b *testing.B) {
		builder, table, config := prepare()
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			n++
			server := benchServer(n%servers, services, nodes, uint32(n))
			server.GetServer().Draining = n/servers%2 == 0
			builder.Apply(&wire.Changes{From: builder.Index(), To: builder.Index() + 1, Resources: []*wire.Resource{server}}, config)
			table.Update(0, builder.ClusterState())
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
