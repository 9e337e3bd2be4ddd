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

// operatorState makes up changes as operators and nodes send them.
type operatorState struct {
	rng    *rand.Rand
	config meshconfig.Config
}

func newOperatorState(seed uint64) *operatorState {
	return &operatorState{rng: rand.New(rand.NewPCG(seed, 7)), config: meshconfig.Config{Backends: []meshconfig.Backend{{Name: "s0"}}}}
}

func (o *operatorState) route(i int) *meshconfig.Route {
	return &meshconfig.Route{Name: fmt.Sprint("r", i), Host: fmt.Sprint("H", i%3), Prefix: fmt.Sprintf("/%d/", i), Kind: meshconfig.NonIdempotent,
		TimeoutMs: 1 + o.rng.Float64(), Priority: o.rng.IntN(3), Backends: []meshconfig.Weighted{{Backend: "s0", Weight: 1 + o.rng.Float64()}}}
}

// change returns a command, and how many resources it touches at most.
func (o *operatorState) change(t *testing.T) (*wire.Command, int) {
	switch o.rng.IntN(5) {
	case 0, 1:
		s := &wire.Server{Member: fmt.Sprint("i", o.rng.IntN(40)), Service: "s0", Node: fmt.Sprint("n", o.rng.IntN(9)), Slots: uint32(o.rng.IntN(9))}
		return &wire.Command{Change: &wire.Command_Server{Server: s}}, 1
	case 2:
		gone := []string{fmt.Sprint("i", o.rng.IntN(40)), fmt.Sprint("i", o.rng.IntN(40))}
		return &wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: gone}}}, 2
	}
	base, touched := o.config.Revision, 1
	o.config.Revision += 1 + uint64(o.rng.IntN(3))
	routes := slices.Clone(o.config.Routes)
	for range 1 + o.rng.IntN(3) {
		touched += 2
		at := 0
		if len(routes) > 0 {
			at = o.rng.IntN(len(routes))
		}
		switch {
		case o.rng.IntN(4) == 0 && len(routes) > 1:
			routes = slices.Delete(routes, at, at+1)
		case o.rng.IntN(3) == 0 && len(routes) > 1:
			i, j := o.rng.IntN(len(routes)), o.rng.IntN(len(routes)) // the order says nothing
			routes[i], routes[j] = routes[j], routes[i]
		default:
			r := o.route(o.rng.IntN(50))
			if i := slices.IndexFunc(routes, func(x *meshconfig.Route) bool { return x.Key() == r.Key() }); i >= 0 {
				routes[i] = r
			} else {
				routes = slices.Insert(routes, at, r)
			}
		}
	}
	if o.rng.IntN(4) == 0 {
		touched += 2
		if n := len(o.config.Backends); n > 3 {
			o.config.Backends = o.config.Backends[:n-1]
		} else {
			o.config.Backends = append(slices.Clone(o.config.Backends), meshconfig.Backend{Name: fmt.Sprint("s", n), MaxConns: o.rng.IntN(5)})
		}
	}
	o.config.Routes, o.config.Limits.HeaderBytes = routes, 1000+o.rng.IntN(3)
	body, err := msgpack.Marshal(&o.config)
	if err != nil {
		t.Fatal(err)
	}
	return put(base, body), touched
}

// content is all that a view shows, in an order of its own.
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

// lines are those of resources that were looked at before.
var lines = map[*wire.Resource]string{}

func lineOf(r *wire.Resource) string {
	if lines[r] == "" {
		text, _ := proto.MarshalOptions{Deterministic: true}.Marshal(r)
		lines[r] = fmt.Sprintf("%x", text)
	}
	return lines[r]
}

// sameConfig reports whether two configurations say the same.
func sameConfig(a, b *meshconfig.Config) bool {
	if a == nil || b == nil {
		return a == b
	}
	list := func(c *meshconfig.Config) string {
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
	return list(a) == list(b)
}

// TestDifferencesMatchSource plays random changes down a random tree, in which links lose and hold back what is sent
// and nodes turn to other parents: each child shows a state that the source had, at that index, and what it is sent is
// bounded by what has changed.
func TestDifferencesMatchSource(t *testing.T) {
	for seed := range uint64(12) {
		clear(lines)
		o := newOperatorState(seed)
		source := New()
		history := map[uint64]string{0: ""}
		configs := map[uint64]*meshconfig.Config{}
		touched := []int{0} // by index
		views := make([]*View, 12)
		for i := range views {
			views[i] = NewView()
		}
		for range 250 {
			cmd, most := o.change(t)
			changes, err := source.Apply(cmd)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if changes != nil {
				if len(changes.Resources) > most {
					t.Fatalf("seed %d: %d resources for a change of %d", seed, len(changes.Resources), most)
				}
				touched = append(touched, len(changes.Resources))
				history[source.Index()], configs[source.Index()] = content(source.view), source.config
			}
			if o.rng.IntN(60) == 0 { // a member that begins by a snapshot goes on alike
				data, err := source.Snapshot()
				source = New()
				if err = joinRestore(source, data, err); err != nil {
					t.Fatal(err)
				}
			}
			for range o.rng.IntN(6) {
				i := o.rng.IntN(len(views))
				parent, child := source.view, views[i]
				if i > 0 && o.rng.IntN(4) > 0 {
					parent = views[o.rng.IntN(i)]
				}
				if o.rng.IntN(50) == 0 {
					*child = *NewView() // it starts anew
				}
				before := child.Index()
				sent := parent.Changes(before)
				if sent == nil {
					continue
				}
				bound := 0
				for _, n := range touched[before+1 : sent.To+1] {
					bound += n
				}
				if len(sent.Resources) > bound {
					t.Fatalf("seed %d: %d resources from %d to %d, in which %d changed", seed, len(sent.Resources), before, sent.To, bound)
				}
				if !child.Apply(sent) || child.Index() != sent.To || child.Index() < before {
					t.Fatalf("seed %d: a child went from %d to %d by %d to %d", seed, before, child.Index(), sent.From, sent.To)
				}
				if content(child) != history[child.Index()] {
					t.Fatalf("seed %d: at %d a child shows\n%s\nand the source had\n%s", seed, child.Index(), content(child), history[child.Index()])
				}
				if want := lastConfig(configs, child.Index()); o.rng.IntN(2) == 0 && !sameConfig(child.Config(), want) {
					t.Fatalf("seed %d: at %d a child has the configuration %+v, want %+v", seed, child.Index(), child.Config(), want)
				}
			}
		}
	}
}

func joinRestore(c *Catalog, data []byte, err error) error {
	if err != nil {
		return err
	}
	return c.Restore(data)
}

// lastConfig is the configuration at an index.
func lastConfig(configs map[uint64]*meshconfig.Config, index uint64) *meshconfig.Config {
	for ; index > 0; index-- {
		if c, ok := configs[index]; ok {
			return c
		}
	}
	return nil
}

// TestApplyRejectsGapsAndOldChanges: changes that begin elsewhere are refused, old ones change nothing.
func TestApplyRejectsGapsAndOldChanges(t *testing.T) {
	v := NewView()
	server := func(from, to uint64, slots uint32) *wire.Changes {
		return &wire.Changes{From: from, To: to, Resources: []*wire.Resource{serverResource(to, &wire.Server{Member: "i", Slots: slots})}}
	}
	if !v.Apply(server(0, 3, 3)) || v.Apply(server(4, 5, 5)) || v.Apply(server(2, 4, 4)) || !v.Apply(server(0, 2, 2)) || v.Index() != 3 || v.Server("i").Slots != 3 {
		t.Errorf("at %d: %v", v.Index(), v.Server("i"))
	}
	old := server(0, 2, 2)
	old.Full = true
	if !v.Apply(old) || v.Server("i").Slots != 3 {
		t.Error("an older state was taken")
	}
}

// TestTombstonesAreBounded: who has heard of nothing since the oldest removal that is known gets the whole state, and ends
// with what the source has; who has heard of it gets a difference.
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
			t.Fatalf("%d tombstones are kept, %d entries", source.tombstones, len(source.entries))
		}
	}
	apply(serverResource(source.Index()+1, &wire.Server{Member: "last"}))
	for name, child := range map[string]*View{"early": early, "late": late} {
		sent := source.Changes(child.Index())
		if sent.Full != (name == "early") || !child.Apply(sent) || content(child) != content(source) || child.ServerCount() != 1 {
			t.Errorf("the %s child got a whole state: %v, and has %d servers", name, sent.Full, child.ServerCount())
		}
	}
	advanced := NewView()
	advanced.Apply(source.Changes(0))
	advanced.Advance(100)
	if c := advanced.Changes(source.Index()); !c.Full || c.To != source.Index()+100 {
		t.Errorf("after a restore a node is sent %v", c)
	}
}

// TestSnapshotKeepsFloor: a member that begins by a snapshot sends a difference to nobody to whom the others
// would not.
func TestSnapshotKeepsFloor(t *testing.T) {
	c := New()
	c.Apply(&wire.Command{Change: &wire.Command_Server{Server: &wire.Server{Member: "i"}}})
	c.Apply(put(0, config(t, 3, nil)))
	c.Apply(&wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: []string{"i"}}}})
	c.Advance(10)
	c.Apply(&wire.Command{Change: &wire.Command_Server{Server: &wire.Server{Member: "j"}}})
	d := New()
	data, err := c.Snapshot()
	if err = joinRestore(d, data, err); err != nil {
		t.Fatal(err)
	}
	for since := range c.Index() + 1 {
		if got, want := d.view.Changes(since), c.view.Changes(since); !proto.Equal(got, want) {
			t.Errorf("since %d: %v, want %v", since, got, want)
		}
	}
	if c.view.Changes(12).GetFull() != true || c.view.Changes(13).GetFull() {
		t.Errorf("a new history begins with %v", c.view.Changes(13))
	}
}

// TestRestorePreviousVersion have no indexes.
func TestRestorePreviousVersion(t *testing.T) {
	body := config(t, 3, nil)
	data, err := proto.Marshal(&wire.Snapshot{State: &wire.State{Index: 40, Config: body, Servers: []*wire.Server{{Member: "i"}}}})
	if err != nil {
		t.Fatal(err)
	}
	c := New()
	if err := c.Restore(data); err != nil || c.Index() != 40 || c.Revision() != 3 || len(c.Servers()) != 1 || !bytes.Equal(c.Body(), body) {
		t.Fatalf("at %d: %v", c.Index(), err)
	}
	if sent := c.view.Changes(39); !sent.Full {
		t.Error("a difference is made up from what has no indexes")
	}
}

// TestLocalServers: a node's own servers, as changes come.
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
				t.Fatalf("%v, want %v", local.Servers(), want)
			}
		}
	}
}
