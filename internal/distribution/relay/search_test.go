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

// Bounds of the exhaustive search.
const (
	searchedHubs      = 2
	maxSearchFeeds    = 2 // feeds in transit to one hub
	maxSearchRestarts = 1
	maxSearchDepth    = 8 // number of events
)

// searchUpdates returns the updates of the source: two servers are added, and one is removed and added again.
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

// content returns the servers in a hub's state as text.
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

// copyHub returns a hub with the same state.
func copyHub(h *Hub) *Hub {
	c := NewHub(h.Age)
	changes, _ := h.State(0)
	c.Apply(changes)
	return c
}

// searchState is a state of the search: the number of published updates and restarts, the hubs, and the feeds in transit to
// each of them. trace lists the events that led to it.
type searchState struct {
	published int
	restarts  int
	hubs      [searchedHubs]*Hub
	inTransit [searchedHubs][]*wire.Feed
	trace     []string
}

// key returns an identifier of the state, without its trace.
func (s *searchState) key() string {
	key := fmt.Sprint(s.published, s.restarts)
	for i, h := range s.hubs {
		var feeds []string
		for _, f := range s.inTransit[i] {
			text, _ := proto.MarshalOptions{Deterministic: true}.Marshal(f)
			feeds = append(feeds, string(text))
		}
		slices.Sort(feeds)
		key += fmt.Sprintf("|%d %s %q", h.Index(), content(h), feeds)
	}
	return key
}

// next returns a copy of the state to which apply has applied an event.
func (s *searchState) next(event string, apply func(n *searchState)) *searchState {
	n := &searchState{published: s.published, restarts: s.restarts, hubs: s.hubs, inTransit: s.inTransit, trace: append(slices.Clone(s.trace), event)}
	apply(n)
	return n
}

// search explores all histories in which feeds are reordered, delayed, duplicated or lost, hubs change between parents,
// which may be their own children, and one hub restarts.
type search struct {
	t       *testing.T
	sources []*Hub // by number of published updates
}

// successors returns the states after every possible next event.
func (q *search) successors(s *searchState) (list []*searchState) {
	if s.published+1 < len(q.sources) {
		list = append(list, s.next("update", func(n *searchState) { n.published++ }))
	}
	for child := range s.hubs {
		if s.restarts < maxSearchRestarts {
			list = append(list, s.next(fmt.Sprintf("hub %d restarts", child), func(n *searchState) {
				n.restarts++
				n.hubs[child] = NewHub(s.hubs[child].Age)
			}))
		}
		if len(s.inTransit[child]) < maxSearchFeeds {
			list = append(list, q.subscriptions(s, child)...)
		}
		for index := range s.inTransit[child] {
			for _, duplicate := range []bool{false, true} {
				event := fmt.Sprintf("hub %d receives feed %v (duplicated: %v)", child, s.inTransit[child][index].Changes, duplicate)
				list = append(list, s.next(event, func(n *searchState) { q.deliver(n, child, index, duplicate) }))
			}
		}
	}
	return list
}

// subscriptions returns the states in which a child has subscribed to each possible parent, and the parent has sent a feed.
func (q *search) subscriptions(s *searchState, child int) (list []*searchState) {
	parents := append([]*Hub{q.sources[s.published]}, s.hubs[:]...)
	for i, parent := range parents {
		if i == child+1 {
			continue
		}
		feed, _ := parent.Feed(s.hubs[child].Index(), 0, 0)
		list = append(list, s.next(fmt.Sprintf("hub %d subscribes to parent %d (0: the source)", child, i), func(n *searchState) {
			n.inTransit[child] = append(slices.Clone(n.inTransit[child]), feed)
		}))
	}
	return list
}

// deliver applies a feed in transit to its hub, and checks the result.
func (q *search) deliver(state *searchState, child, position int, duplicate bool) {
	feed := state.inTransit[child][position]
	if !duplicate {
		state.inTransit[child] = slices.Delete(slices.Clone(state.inTransit[child]), position, position+1)
	}
	hub := copyHub(state.hubs[child])
	state.hubs[child] = hub
	before := hub.Index()
	current, ok := hub.Receive(feed, func() {})
	index := hub.Index()
	switch {
	case index < before:
		q.t.Fatalf("the index of hub %d decreased from %d to %d:\n%q", child, before, index, state.trace)
	case index > uint64(state.published) || content(hub) != content(q.sources[index]):
		q.t.Fatalf("hub %d has the wrong content %q at index %d:\n%q", child, content(hub), index, state.trace)
	case !ok && index != before, current && index != feed.Latest:
		q.t.Fatalf("hub %d at index %d received a feed up to %d with ok %v, current %v:\n%q", child, index, feed.Latest, ok, current, state.trace)
	}
}

// TestSearchOfFeeds explores all histories of two hubs within the bounds. It guards against a hub whose state differs from the
// source's at the same index, or whose index decreases.
func TestSearchOfFeeds(t *testing.T) {
	q := &search{t: t}
	newHub := func() *Hub { return NewHub(func() time.Duration { return 0 }) }
	source := newHub()
	q.sources = append(q.sources, copyHub(source))
	for _, changes := range searchUpdates() {
		source.Apply(changes)
		q.sources = append(q.sources, copyHub(source))
	}
	first := &searchState{}
	for i := range first.hubs {
		first.hubs[i] = newHub()
	}
	seen := map[string]bool{first.key(): true}
	level := []*searchState{first}
	for range maxSearchDepth {
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
		t.Errorf("explored %d states, want at least 10000", len(seen))
	}
	t.Logf("explored %d states", len(seen))
}

// TestWalksOfFeeds runs long random histories without restarts. It guards against feeds that do not bring a child to its
// parent's index, and against a child whose state differs from the source's.
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
				index := hubs[0].Index()
				server := &wire.Server{Member: fmt.Sprint(rng.IntN(6)), Service: fmt.Sprint(rng.IntN(3))}
				hubs[0].Apply(&wire.Changes{From: index, To: index + 1, Resources: []*wire.Resource{{Index: index + 1, Value: &wire.Resource_Server{Server: server}}}})
				history = append(history, content(hubs[0]))
			}
			child := 1 + rng.IntN(len(hubs)-1)
			parent := hubs[rng.IntN(len(hubs))]
			have := hubs[child].Index()
			feed, _ := parent.Feed(have, 0, 0)
			if rng.IntN(10) == 0 { // the parent may use another format
				feed.Format = uint32(rng.IntN(4))
			}
			if err := CheckFormat("a parent", feed.Format); (err == nil) != (feed.Format == Format) {
				t.Fatalf("seed %d: CheckFormat of format %d returned %v", seed, feed.Format, err)
			} else if err != nil {
				continue
			}
			if changes := feed.Changes; changes != nil && changes.To != feed.Latest {
				t.Fatalf("seed %d: a parent at index %d sends changes up to %d", seed, feed.Latest, changes.To)
			}
			current, ok := hubs[child].Receive(feed, func() {})
			if index := hubs[child].Index(); !ok || index != max(have, feed.Latest) || current != (index == feed.Latest) {
				t.Fatalf("seed %d: a child at index %d is at %d after a feed up to %d: ok %v, current %v", seed, have, index, feed.Latest, ok, current)
			}
			if got, want := content(hubs[child]), history[hubs[child].Index()]; got != want {
				t.Fatalf("seed %d: the child's content is %q, the source's was %q", seed, got, want)
			}
		}
	}
}

// TestSearchOfParents generates members with random zones and states. It guards against cycles of preferred parents, and
// against suspected quorum members that are preferred to live ones.
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
				parent := byName[name]
				if parent.QuorumMember && parent.State == wire.Member_ALIVE && suspected {
					t.Fatalf("seed %d: %s prefers a suspected quorum member to %s", seed, m.Name, name)
				}
				suspected = suspected || parent.QuorumMember && parent.State != wire.Member_ALIVE
			}
			node, hops := m, 0
			for ; !node.QuorumMember && hops <= len(all); hops++ {
				node = byName[Parents(node.Name, node.Zone, all)[0]]
			}
			if !node.QuorumMember {
				t.Fatalf("seed %d: the parents of %s form a cycle", seed, m.Name)
			}
		}
	}
}

// TestSearchOfAges generates clocks that differ in time and rate, and transit times of a request and a feed. It guards against
// a contact that looks later to the child than it was.
func TestSearchOfAges(t *testing.T) {
	for seed := range uint64(20_000) {
		rng := rand.New(rand.NewPCG(seed, 0xa6e))
		random := func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit))) }
		clock := func() func(time.Duration) time.Duration {
			offset, drift := random(time.Hour), rng.Float64()*2-1
			return func(at time.Duration) time.Duration {
				return offset + at + time.Duration(drift*float64(at)/(2*maxClockDriftDivisor))
			}
		}
		parent, child := clock(), clock()
		requested := random(time.Minute)
		received := requested + random(2*time.Second)
		contact := received - random(time.Minute) + random(3*time.Minute)
		sent := max(received, contact) + random(time.Second)
		delivered := sent + random(5*time.Second)
		feed := &wire.Feed{}
		SetAge(feed, parent(sent), parent(contact), parent(received))
		if got := (Subscription{RequestedAt: child(requested)}).ContactAt(child(delivered), feed); got > child(contact)+time.Microsecond {
			t.Fatalf("seed %d: contact at %v on the child's clock computed as %v", seed, child(contact), got)
		}
	}
}
