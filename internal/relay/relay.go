// Package relay brings the news of the core to all nodes, down a tree that the
// nodes form among themselves: in each zone one node follows a core machine, and
// the others follow nodes of their zone. Every node can work out its place from
// the members that it knows; where views differ for a while, the age of what
// comes down shows a parent that is cut off or follows its own child, and the
// node turns to the core.
package relay

import (
	"cmp"
	"errors"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"ivydeck/internal/catalog"
	"ivydeck/internal/rpc"
	"ivydeck/internal/wire"
)

// Timing and shape of the tree.
const (
	Fanout  = 6                      // children of one node
	Beat    = 400 * time.Millisecond // between signs of life to a child
	Stale   = 1500 * time.Millisecond
	Silence = 1200 * time.Millisecond // after which a parent is given up

	// MostChildren is how many a node feeds at most. Until the tree stands, nodes turn to the core: of a few hundred that
	// start at once each core machine feeds its share; of thousands, the first, which feed the others.
	MostChildren = 64
)

// rank orders the nodes of a zone, alike everywhere.
func rank(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Place keeps what Parents says, as long as the members stay.
type Place struct {
	Self, Zone string

	version uint64
	parents []string
}

// Parents returns what Parents does for a version of the members.
func (p *Place) Parents(version uint64, members func() []*wire.Member) []string {
	if p.version != version || p.parents == nil {
		p.version, p.parents = version, Parents(p.Self, p.Zone, members())
	}
	return p.parents
}

// Parents returns the addresses that a node should follow, the best first: its
// place in the zone's tree, then the core machines, those of its zone first.
func Parents(self string, zone string, members []*wire.Member) []string {
	type place struct {
		rank uint64
		m    *wire.Member
	}
	byRank := func(a, b place) int {
		if a.rank != b.rank {
			return cmp.Compare(a.rank, b.rank)
		}
		return cmp.Compare(a.m.Name, b.m.Name)
	}
	var mates, core []place
	own := rank(self)
	for _, m := range members {
		switch {
		case m.Core:
			// Each zone begins with another core machine, where none stands in it.
			core = append(core, place{rank(m.Name) ^ own, m})
		case m.Zone == zone && (m.State == wire.Member_ALIVE || m.Name == self):
			mates = append(mates, place{rank(m.Name), m})
		}
	}
	slices.SortFunc(mates, byRank)
	slices.SortFunc(core, byRank)
	slices.SortStableFunc(core, func(a, b place) int {
		far := func(p place) int {
			if p.m.Zone == zone {
				return 0
			}
			return 1
		}
		return cmp.Compare(far(a), far(b))
	})
	var out []string
	if i := slices.IndexFunc(mates, func(p place) bool { return p.m.Name == self }); i > 0 {
		out = append(out, mates[(i-1)/Fanout].m.Address)
	}
	for _, p := range core {
		out = append(out, p.m.Address)
	}
	return out
}

// Hub holds what a node has been told, and passes it on to its children.
type Hub struct {
	// Age is an upper bound of the time since a quorum confirmed the state here.
	Age func() time.Duration

	mu      sync.Mutex
	view    *catalog.View
	news    catalog.News
	changed chan struct{} // closed and replaced at each change
	depth   uint32
	fed     int // children
}

// NewHub returns a hub that has been told nothing.
func NewHub(age func() time.Duration) *Hub {
	return &Hub{Age: age, view: catalog.NewView(), changed: make(chan struct{})}
}

func (h *Hub) poke() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (h *Hub) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Number of the newest item of news.
func (h *Hub) Number() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Number
}

// Server returns what the news say of a server; nil: it is not listed.
func (h *Hub) Server(member string) *wire.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Servers[member]
}

// State returns all that the news add up to.
func (h *Hub) State() *wire.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.State()
}

// Load replaces everything, unless that would be a step back.
func (h *Hub) Load(s *wire.State) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.GetNumber() <= h.view.Number {
		return false
	}
	h.view.Load(s)
	h.news.Clear()
	h.poke()
	return true
}

// Add takes items. It reports false at a gap, whose items are to be asked for;
// old items are passed over.
func (h *Hub) Add(items ...*wire.Item) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	told := false
	for _, item := range items {
		if item.Number <= h.view.Number {
			continue
		}
		if !h.view.Follow(item) {
			return false
		}
		h.news.Add(item, len(h.view.Servers))
		told = true
	}
	if told {
		h.poke()
	}
	return true
}

// Take takes in what a parent has sent. It reports false where items are missing:
// the subscription has to be renewed. fresh tells that the parent knows nothing
// newer than what is here, so that its age is the age of this node's news too.
func (h *Hub) Take(f *wire.Feed) (fresh, ok bool) {
	if f.Whole != nil {
		h.Load(f.Whole)
	}
	ok = h.Add(f.Items...)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.depth = f.Depth + 1
	return ok && f.Head == h.view.Number, ok
}

// Depth is this node's place below the core, whose machines are at 0.
func (h *Hub) Depth() uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.depth
}

// Since returns what a child lacks, and a channel that is closed at the next
// change.
func (h *Hub) Since(have uint64) (*wire.Feed, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := &wire.Feed{Head: h.view.Number, Depth: h.depth}
	if have < h.view.Number {
		if items, ok := h.news.Since(have, h.view.Number); ok {
			f.Items = slices.Clone(items)
		} else {
			f.Whole = h.view.State()
		}
	}
	return f, h.changed
}

// Feed is Since with the age of the state, for a child whose request was received at a moment of the caller's clock. The
// age is read before the state that it speaks of: news that come in between make it no older.
func (h *Hub) Feed(have uint64, now, subscribedAt time.Duration) (*wire.Feed, <-chan struct{}) {
	contactAt := now - h.Age()
	f, changed := h.Since(have)
	SetAge(f, now, contactAt, subscribedAt)
	return f, changed
}

// ErrFull is the end of a subscription to a node that feeds enough children.
var ErrFull = errors.New("relay: no room for another child")

// enter takes a child in, unless there are too many.
func (h *Hub) enter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fed >= MostChildren {
		return false
	}
	h.fed++
	return true
}

func (h *Hub) exit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fed--
}

// Serve feeds one child until it leaves.
func (h *Hub) Serve(s *rpc.Stream) error {
	ask := new(wire.Subscribe)
	if err := s.Recv(ask); err != nil {
		return err
	}
	subscribedAt := time.Now()
	if !h.enter() {
		return ErrFull
	}
	defer h.exit()
	have := ask.Have
	tick := time.NewTicker(Beat)
	defer tick.Stop()
	for {
		f, changed := h.Feed(have, time.Since(subscribedAt), 0)
		if err := s.Send(f); err != nil {
			return err
		}
		have = max(have, f.Head)
		select {
		case <-changed:
		case <-tick.C:
		case <-s.Context().Done():
			return s.Context().Err()
		}
	}
}
