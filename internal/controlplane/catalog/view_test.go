package catalog

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// commandGenerator generates random commands of operators and nodes.
type commandGenerator struct {
	rng    *rand.Rand
	config meshconfig.Config
}

func newCommandGenerator(seed uint64) *commandGenerator {
	return &commandGenerator{rng: rand.New(rand.NewPCG(seed, 7)), config: meshconfig.Config{Backends: []meshconfig.Backend{{Name: "s0"}}}}
}

func (g *commandGenerator) route(i int) *meshconfig.Route {
	return &meshconfig.Route{Name: fmt.Sprint("r", i), Host: fmt.Sprint("H", i%3), Prefix: fmt.Sprintf("/%d/", i), Kind: meshconfig.NonIdempotent,
		TimeoutMs: 1 + g.rng.Float64(), Priority: g.rng.IntN(3), Backends: []meshconfig.Weighted{{Backend: "s0", Weight: 1 + g.rng.Float64()}}}
}

// change returns a command and the maximum number of resources that it changes.
func (g *commandGenerator) change(t *testing.T) (*wire.Command, int) {
	switch g.rng.IntN(5) {
	case 0, 1:
		s := &wire.Server{Member: fmt.Sprint("i", g.rng.IntN(40)), Service: "s0", Node: fmt.Sprint("n", g.rng.IntN(9)), Slots: uint32(g.rng.IntN(9))}
		return &wire.Command{Change: &wire.Command_Server{Server: s}}, 1
	case 2:
		removed := []string{fmt.Sprint("i", g.rng.IntN(40)), fmt.Sprint("i", g.rng.IntN(40))}
		return &wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: removed}}}, 2
	}
	base, touched := g.config.Revision, 1
	g.config.Revision += 1 + uint64(g.rng.IntN(3))
	routes := slices.Clone(g.config.Routes)
	for range 1 + g.rng.IntN(3) {
		touched += 2
		at := 0
		if len(routes) > 0 {
			at = g.rng.IntN(len(routes))
		}
		switch {
		case g.rng.IntN(4) == 0 && len(routes) > 1:
			routes = slices.Delete(routes, at, at+1)
		case g.rng.IntN(3) == 0 && len(routes) > 1:
			i, j := g.rng.IntN(len(routes)), g.rng.IntN(len(routes)) // the order of routes has no effect
			routes[i], routes[j] = routes[j], routes[i]
		default:
			r := g.route(g.rng.IntN(50))
			if i := slices.IndexFunc(routes, func(x *meshconfig.Route) bool { return x.Key() == r.Key() }); i >= 0 {
				routes[i] = r
			} else {
				routes = slices.Insert(routes, at, r)
			}
		}
	}
	if g.rng.IntN(4) == 0 {
		touched += 2
		if n := len(g.config.Backends); n > 3 {
			g.config.Backends = g.config.Backends[:n-1]
		} else {
			g.config.Backends = append(slices.Clone(g.config.Backends), meshconfig.Backend{Name: fmt.Sprint("s", n), MaxConns: g.rng.IntN(5)})
		}
	}
	g.config.Routes, g.config.Limits.HeaderBytes = routes, 1000+g.rng.IntN(3)
	body, err := msgpack.Marshal(&g.config)
	if err != nil {
		t.Fatal(err)
	}
	return put(base, body), touched
}

// content returns the sorted encodings of a view's resources, without tombstones.
func content(v *View) string {
	lines := make([]string, 0, len(v.entries))
	for _, e := range v.entries {
		if !e.removed() {
			lines = append(lines, lineOf(e.resource))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// lineCache caches the results of lineOf.
var lineCache = map[*wire.Resource]string{}

func lineOf(r *wire.Resource) string {
	if lineCache[r] == "" {
		text, _ := proto.MarshalOptions{Deterministic: true}.Marshal(r)
		lineCache[r] = fmt.Sprintf("%x", text)
	}
	return lineCache[r]
}

// sameConfig reports whether two configurations are equal except for the order of routes and backends.
func sameConfig(a, b *meshconfig.Config) bool {
	if a == nil || b == nil {
		return a == b
	}
	describe := func(c *meshconfig.Config) string {
		var lines []string
		for _, r := range c.Routes {
			lines = append(lines, fmt.Sprintf("%+v %v", *r, c.Find(r.Host, r.Prefix) == r))
		}
		for _, s := range c.Backends {
			lines = append(lines, fmt.Sprintf("%+v", s))
		}
		slices.Sort(lines)
		return fmt.Sprint(c.Revision, c.Limits, lines)
	}
	return describe(a) == describe(b)
}

// TestDifferencesMatchSource sends random changes down a tree in which children lag, restart and change parents. Each child
// equals the state that the source had at the child's index, and receives no more resources than have changed.
func TestDifferencesMatchSource(t *testing.T) {
	for seed := range uint64(12) {
		clear(lineCache)
		g := newCommandGenerator(seed)
		source := New()
		history := map[uint64]string{0: ""}
		configs := map[uint64]*meshconfig.Config{}
		touched := []int{0} // number of resources changed at each index
		views := make([]*View, 12)
		for i := range views {
			views[i] = NewView()
		}
		for range 250 {
			cmd, maxResources := g.change(t)
			changes, err := source.Apply(cmd)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if changes != nil {
				if len(changes.Resources) > maxResources {
					t.Fatalf("seed %d: command changed %d resources, want at most %d", seed, len(changes.Resources), maxResources)
				}
				touched = append(touched, len(changes.Resources))
				history[source.Index()], configs[source.Index()] = content(source.view), source.config
			}
			if g.rng.IntN(60) == 0 { // continue with a source restored from a snapshot
				data, err := source.Snapshot()
				source = New()
				if err = restoreSnapshot(source, data, err); err != nil {
					t.Fatal(err)
				}
			}
			for range g.rng.IntN(6) {
				i := g.rng.IntN(len(views))
				parent, child := source.view, views[i]
				if i > 0 && g.rng.IntN(4) > 0 {
					parent = views[g.rng.IntN(i)]
				}
				if g.rng.IntN(50) == 0 {
					*child = *NewView() // restart without state
				}
				before := child.Index()
				sent := parent.Changes(before)
				if sent == nil {
					continue
				}
				maxSent := 0
				for _, n := range touched[before+1 : sent.To+1] {
					maxSent += n
				}
				if len(sent.Resources) > maxSent {
					t.Fatalf("seed %d: %d resources in the changes from %d to %d, want at most %d", seed, len(sent.Resources), before, sent.To, maxSent)
				}
				if !child.Apply(sent) || child.Index() != sent.To || child.Index() < before {
					t.Fatalf("seed %d: child moved from index %d to %d by changes from %d to %d", seed, before, child.Index(), sent.From, sent.To)
				}
				if content(child) != history[child.Index()] {
					t.Fatalf("seed %d: at index %d a child has\n%s\nthe source had\n%s", seed, child.Index(), content(child), history[child.Index()])
				}
				if want := lastConfig(configs, child.Index()); g.rng.IntN(2) == 0 && !sameConfig(child.Config(), want) {
					t.Fatalf("seed %d: at index %d a child has the configuration %+v, want %+v", seed, child.Index(), child.Config(), want)
				}
			}
		}
	}
}

func restoreSnapshot(c *Catalog, data []byte, err error) error {
	if err != nil {
		return err
	}
	return c.Restore(data)
}

// lastConfig returns the configuration at an index, or nil if there was none.
func lastConfig(configs map[uint64]*meshconfig.Config, index uint64) *meshconfig.Config {
	for ; index > 0; index-- {
		if c, ok := configs[index]; ok {
			return c
		}
	}
	return nil
}

// TestApplyRejectsGapsAndOldChanges checks that changes with a gap before them are rejected, and that old changes and old
// full states are ignored.
func TestApplyRejectsGapsAndOldChanges(t *testing.T) {
	v := NewView()
	server := func(from, to uint64, slots uint32) *wire.Changes {
		return &wire.Changes{From: from, To: to, Resources: []*wire.Resource{serverResource(to, &wire.Server{Member: "i", Slots: slots})}}
	}
	if !v.Apply(server(0, 3, 3)) || v.Apply(server(4, 5, 5)) || v.Apply(server(2, 4, 4)) || !v.Apply(server(0, 2, 2)) || v.Index() != 3 || v.Server("i").Slots != 3 {
		t.Errorf("index %d and server %v after gaps and old changes, want index 3 and 3 slots", v.Index(), v.Server("i"))
	}
	old := server(0, 2, 2)
	old.Full = true
	if !v.Apply(old) || v.Server("i").Slots != 3 {
		t.Error("older full state was applied")
	}
}

// TestTombstonesAreBounded checks that the number of tombstones is bounded, and that a child below the floor receives the
// full state while one above it receives the changes alone. Both equal the source afterwards.
func TestTombstonesAreBounded(t *testing.T) {
	source, early, late := NewView(), NewView(), NewView()
	apply := func(r *wire.Resource) {
		source.Apply(&wire.Changes{From: source.Index(), To: source.Index() + 1, Resources: []*wire.Resource{r}})
	}
	for i := range maxTombstones + 10 {
		apply(serverResource(source.Index()+1, &wire.Server{Member: fmt.Sprint(i)}))
	}
	early.Apply(source.Changes(0))
	for i := range maxTombstones + 10 {
		apply(removedServer(source.Index()+1, fmt.Sprint(i)))
		if i == maxTombstones {
			late.Apply(source.Changes(0))
		}
		if source.tombstones > maxTombstones || source.tombstones != len(source.entries)-source.servers {
			t.Fatalf("%d tombstones among %d entries: above maxTombstones or miscounted", source.tombstones, len(source.entries))
		}
	}
	apply(serverResource(source.Index()+1, &wire.Server{Member: "last"}))
	for name, child := range map[string]*View{"early": early, "late": late} {
		sent := source.Changes(child.Index())
		if sent.Full != (name == "early") || !child.Apply(sent) || content(child) != content(source) || child.ServerCount() != 1 {
			t.Errorf("%s child: full state %v, %d servers, want 1", name, sent.Full, child.ServerCount())
		}
	}
	advanced := NewView()
	advanced.Apply(source.Changes(0))
	advanced.Advance(100)
	if c := advanced.Changes(source.Index()); !c.Full || c.To != source.Index()+100 {
		t.Errorf("changes after Advance are %v, want the full state", c)
	}
}

// TestSnapshotKeepsFloor checks that a member that was restored from a snapshot returns the same changes as the original,
// since any index.
func TestSnapshotKeepsFloor(t *testing.T) {
	c := New()
	c.Apply(&wire.Command{Change: &wire.Command_Server{Server: &wire.Server{Member: "i"}}})
	c.Apply(put(0, encodeConfig(t, 3, nil)))
	c.Apply(&wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: []string{"i"}}}})
	c.Advance(10)
	c.Apply(&wire.Command{Change: &wire.Command_Server{Server: &wire.Server{Member: "j"}}})
	restored := New()
	data, err := c.Snapshot()
	if err = restoreSnapshot(restored, data, err); err != nil {
		t.Fatal(err)
	}
	for since := range c.Index() + 1 {
		if got, want := restored.view.Changes(since), c.view.Changes(since); !proto.Equal(got, want) {
			t.Errorf("changes since %d: %v, want %v", since, got, want)
		}
	}
	if c.view.Changes(12).GetFull() != true || c.view.Changes(13).GetFull() {
		t.Errorf("want the full state since 12 and only the changes since 13, which are %v", c.view.Changes(13))
	}
}

// TestRestorePreviousVersion restores a snapshot without indexes of resources.
func TestRestorePreviousVersion(t *testing.T) {
	body := encodeConfig(t, 3, nil)
	data, err := proto.Marshal(&wire.Snapshot{State: &wire.State{Index: 40, Config: body, Servers: []*wire.Server{{Member: "i"}}}})
	if err != nil {
		t.Fatal(err)
	}
	c := New()
	if err := c.Restore(data); err != nil || c.Index() != 40 || c.Revision() != 3 || len(c.Servers()) != 1 || !bytes.Equal(c.Body(), body) {
		t.Fatalf("restored state has index %d, error %v; want index 40, revision 3, one server and the same body", c.Index(), err)
	}
	if sent := c.view.Changes(39); !sent.Full {
		t.Error("changes below the snapshot's index are not the full state")
	}
}

// TestLocalServers checks that NodeServers equals the node's servers in the source after each batch of changes.
func TestLocalServers(t *testing.T) {
	source, local := NewView(), NodeServers{Node: "n1"}
	rng := rand.New(rand.NewPCG(3, 4))
	for range 500 {
		r := serverResource(source.Index()+1, &wire.Server{Member: fmt.Sprint(rng.IntN(9)), Node: fmt.Sprint("n", rng.IntN(3))})
		if rng.IntN(3) == 0 {
			r = removedServer(source.Index()+1, fmt.Sprint(rng.IntN(9)))
		}
		source.Apply(&wire.Changes{From: source.Index(), To: source.Index() + 1, Resources: []*wire.Resource{r}})
		if rng.IntN(3) == 0 {
			local.Apply(source.Changes(local.Index()))
			want := source.ServersOn(func(node string) bool { return node == "n1" })
			if !slices.Equal(local.Servers(), want) {
				t.Fatalf("servers of the node are %v, want %v", local.Servers(), want)
			}
		}
	}
}
