package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// Bounds of the search.
const (
	searchHubs     = 2
	searchFlight   = 2 // feeds under way to one hub
	searchRestarts = 1
	searchDepth    = 8
)

// searchUpdates are the updates of the source: two servers, of which one goes and comes again.
func searchUpdates() (list []*wire.Changes) {
	for i, r := range []*wire.Resource{
		{Value: &wire.Resource_Server{Server: &wire.Server{Member: "a", Service: "x"}}},
		{Value: &wire.Resource_Server{Server: &wire.Server{Member: "b", Service: "x"}}},
		{Value: &wire.Resource_RemovedServer{RemovedServer: "a"}},
		{Value: &wire.Resource_Server{Server: &wire.Server{Member: "a", Service: "y"}}},
	} {
		r.Index = uint64(i + 1)
		list = append(list, &wire.Changes{From: uint64(i), To: uint64(i + 1), Resources: []*wire.Resource{r}})
	}
	return list
}

// content is what a hub shows to its node.
func content(h *Hub) string {
	changes, _ := h.State(0)
	text := ""
	for _, r := range changes.GetResources() {
		if s := r.GetServer(); s != nil {
			text += fmt.Sprintf("%s=%s@%d ", s.Member, s.Service, r.Index)
		}
	}
	return text
}

// copyHub returns a hub that stands where another does.
func copyHub(h *Hub) *Hub {
	c := NewHub(h.Age)
	changes, _ := h.State(0)
	c.Apply(changes)
	return c
}

// searchState is a source that has published some updates, hubs that follow it or each other, and feeds under way.
type searchState struct {
	published int
	restarts  int
	hubs      [searchHubs]*Hub
	flights   [searchHubs][]*wire.Feed
	trace     []string
}

func (s *searchState) key() string {
	key := fmt.Sprint(s.published, s.restarts)
	for i, h := range s.hubs {
		var feeds []string
		for _, f := range s.flights[i] {
			text, _ := proto.MarshalOptions{Deterministic: true}.Marshal(f)
			feeds = append(feeds, string(text))
		}
		slices.Sort(feeds)
		key += fmt.Sprintf("|%d %s %q", h.Index(), content(h), feeds)
	}
	return key
}

// next returns a copy of the state, behind an event.
func (s *searchState) next(event string, f func(n *searchState)) *searchState {
	n := &searchState{published: s.published, restarts: s.restarts, hubs: s.hubs, flights: s.flights, trace: append(slices.Clone(s.trace), event)}
	f(n)
	return n
}

// search is all histories of some hubs, in which feeds arrive in any order, late, twice or never, hubs turn from one
// parent to another, a child of their own among them, and one of them starts anew.
type search struct {
	t       *testing.T
	sources []*Hub // by how many updates are published
}

// successors are the states behind all events that may come next.
func (q *search) successors(s *searchState) (list []*searchState) {
	if s.published+1 < len(q.sources) {
		list = append(list, s.next("an update", func(n *searchState) { n.published++ }))
	}
	for child := range s.hubs {
		if s.restarts < searchRestarts {
			list = append(list, s.next(fmt.Sprintf("hub %d starts anew", child), func(n *searchState) {
				n.restarts++
				n.hubs[child] = NewHub(s.hubs[child].Age)
			}))
		}
		if len(s.flights[child]) < searchFlight {
			list = append(list, q.asks(s, child)...)
		}
		for place := range s.flights[child] {
			for _, keep := range []bool{false, true} {
				event := fmt.Sprintf("hub %d gets feed %v (again later: %v)", child, s.flights[child][place].Changes, keep)
				list = append(list, s.next(event, func(n *searchState) { q.deliver(n, child, place, keep) }))
			}
		}
	}
	return list
}

// asks are the states in which a child has asked one parent or another, and the parent has answered.
func (q *search) asks(s *searchState, child int) (list []*searchState) {
	parents := append([]*Hub{q.sources[s.published]}, s.hubs[:]...)
	for i, parent := range parents {
		if i == child+1 {
			continue
		}
		f, _ := parent.Feed(s.hubs[child].Index(), 0, 0)
		list = append(list, s.next(fmt.Sprintf("hub %d asks parent %d (0: the source)", child, i), func(n *searchState) {
			n.flights[child] = append(slices.Clone(n.flights[child]), f)
		}))
	}
	return list
}

// deliver hands a feed to its hub, and checks what that makes of it.
func (q *search) deliver(n *searchState, child, place int, keep bool) {
	f := n.flights[child][place]
	if !keep {
		n.flights[child] = slices.Delete(slices.Clone(n.flights[child]), place, place+1)
	}
	h := copyHub(n.hubs[child])
	n.hubs[child] = h
	before := h.Index()
	current, ok := h.Receive(f, func() {})
	index := h.Index()
	switch {
	case index < before:
		q.t.Fatalf("hub %d went back from update %d to %d:\n%q", child, before, index, n.trace)
	case index > uint64(n.published) || content(h) != content(q.sources[index]):
		q.t.Fatalf("hub %d shows %q at update %d:\n%q", child, content(h), index, n.trace)
	case !ok && index != before, current && index != f.Latest:
		q.t.Fatalf("hub %d at update %d takes a feed up to %d as ok %v, current %v:\n%q", child, index, f.Latest, ok, current, n.trace)
	}
}

// TestSearchOfFeeds goes through all histories of two hubs within some bounds: a hub shows what the source showed at the
// same index, and never goes back.
func TestSearchOfFeeds(t *testing.T) {
	q := &search{t: t}
	fresh := func() *Hub { return NewHub(func() time.Duration { return 0 }) }
	source := fresh()
	q.sources = append(q.sources, copyHub(source))
	for _, c := range searchUpdates() {
		source.Apply(c)
		q.sources = append(q.sources, copyHub(source))
	}
	first := &searchState{}
	for i := range first.hubs {
		first.hubs[i] = fresh()
	}
	seen := map[string]bool{first.key(): true}
	level := []*searchState{first}
	for range searchDepth {
		var next []*searchState
		for _, s := range level {
			for _, n := range q.successors(s) {
				if key := n.key(); !seen[key] {
					seen[key] = true
					next = append(next, n)
				}
			}
		}
		level = next
	}
	if len(seen) < 10_000 {
		t.Errorf("%d states: hardly a search", len(seen))
	}
	t.Logf("%d states", len(seen))
}

// TestWalksOfFeeds plays long random histories of hubs that live on: a feed leads up to what its parent has, and brings a
// child there that takes it as the next.
func TestWalksOfFeeds(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0xfeed))
		hubs := make([]*Hub, 5) // the first is the source
		for i := range hubs {
			hubs[i] = NewHub(func() time.Duration { return 0 })
		}
		history := []string{content(hubs[0])}
		for range 400 {
			if rng.IntN(3) == 0 {
				at := hubs[0].Index()
				server := &wire.Server{Member: fmt.Sprint(rng.IntN(6)), Service: fmt.Sprint(rng.IntN(3))}
				hubs[0].Apply(&wire.Changes{From: at, To: at + 1, Resources: []*wire.Resource{{Index: at + 1, Value: &wire.Resource_Server{Server: server}}}})
				history = append(history, content(hubs[0]))
			}
			child := 1 + rng.IntN(len(hubs)-1)
			parent := hubs[rng.IntN(len(hubs))]
			have := hubs[child].Index()
			f, _ := parent.Feed(have, 0, 0)
			if rng.IntN(10) == 0 { // the parent is of another version
				f.Format = uint32(rng.IntN(4))
			}
			if err := CheckFormat("a parent", f.Format); (err == nil) != (f.Format == Format) {
				t.Fatalf("seed %d: a feed of format %d: %v", seed, f.Format, err)
			} else if err != nil {
				continue
			}
			if c := f.Changes; c != nil && c.To != f.Latest {
				t.Fatalf("seed %d: a parent at %d sends a difference up to %d", seed, f.Latest, c.To)
			}
			current, ok := hubs[child].Receive(f, func() {})
			if index := hubs[child].Index(); !ok || index != max(have, f.Latest) || current != (index == f.Latest) {
				t.Fatalf("seed %d: a child at %d is at %d behind a feed up to %d: ok %v, current %v", seed, have, index, f.Latest, ok, current)
			}
			if got, want := content(hubs[child]), history[hubs[child].Index()]; got != want {
				t.Fatalf("seed %d: a child shows %q, and its source showed %q", seed, got, want)
			}
		}
	}
}

// TestSearchOfParents draws members, their zones and states: who follows the best parents ends at the quorum, and suspected
// quorum members come behind all others.
func TestSearchOfParents(t *testing.T) {
	states := []wire.Member_State{wire.Member_ALIVE, wire.Member_ALIVE, wire.Member_SUSPECT}
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 0x9a7e))
		all := members(1+rng.IntN(60), 1+rng.IntN(4))
		byName := map[string]*wire.Member{}
		for _, m := range all {
			m.State = states[rng.IntN(len(states))]
			byName[m.Name] = m
		}
		for _, m := range all {
			if m.QuorumMember {
				continue
			}
			suspected := false
			for _, name := range Parents(m.Name, m.Zone, all) {
				p := byName[name]
				if p.QuorumMember && p.State == wire.Member_ALIVE && suspected {
					t.Fatalf("seed %d: %s turns to a suspected quorum member before %s", seed, m.Name, name)
				}
				suspected = suspected || p.QuorumMember && p.State != wire.Member_ALIVE
			}
			at, hops := m, 0
			for ; !at.QuorumMember && hops <= len(all); hops++ {
				at = byName[Parents(at.Name, at.Zone, all)[0]]
			}
			if !at.QuorumMember {
				t.Fatalf("seed %d: %s follows parents that follow each other", seed, m.Name)
			}
		}
	}
}

// TestSearchOfAges draws clocks that differ in time and rate, and the time that a request and a feed are on their way: a
// child never takes a contact for a later one than it was.
func TestSearchOfAges(t *testing.T) {
	for seed := range uint64(20_000) {
		rng := rand.New(rand.NewPCG(seed, 0xa6e))
		draw := func(most time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(most))) }
		clock := func() func(time.Duration) time.Duration {
			offset, drift := draw(time.Hour), rng.Float64()*2-1
			return func(at time.Duration) time.Duration {
				return offset + at + time.Duration(drift*float64(at)/(2*maxClockDriftDivisor))
			}
		}
		parent, child := clock(), clock()
		asked := draw(time.Minute)
		received := asked + draw(2*time.Second)
		contact := received - draw(time.Minute) + draw(3*time.Minute)
		sent := max(received, contact) + draw(time.Second)
		taken := sent + draw(5*time.Second)
		f := &wire.Feed{}
		SetAge(f, parent(sent), parent(contact), parent(received))
		if got := (Subscription{RequestedAt: child(asked)}).ContactAt(child(taken), f); got > child(contact)+time.Microsecond {
			t.Fatalf("seed %d: a contact at %v of the child's clock is taken for one at %v", seed, child(contact), got)
		}
	}
}
