// Package catalog is the state that the core replicates: the configuration in
// force, and the servers that there are. It is a pure state machine, driven by
// the entries of the log in their order, so that all replicas agree; what
// changes in it is told as numbered news, alike everywhere.
package catalog

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/meshconfig"
	"ivydeck/internal/wire"
)

const (
	mostServers = 20000    // registered at a time
	leastNews   = 256      // items kept for those who missed some, or as many as there are servers ...
	newsBytes   = 16 << 20 // ... and so much of them
)

// Verdicts on a command.
var (
	// ErrStale: the configuration builds on a revision that is not the current one.
	ErrStale = errors.New("another version is in place")
	// ErrInvalid: the configuration can never be accepted.
	ErrInvalid = errors.New("invalid configuration")
	// ErrForgotten: the configuration may have been accepted so long ago that this is no longer known.
	ErrForgotten = errors.New("not known any more whether this was accepted")
	// ErrFull: no more servers can be registered.
	ErrFull = errors.New("too many servers")
)

// View is a state that news add up to. Both worlds use it: the core's replicas
// and every node that is told.
type View struct {
	Number  uint64
	Config  []byte // as the operator sent it; nil: none yet
	Servers map[string]*wire.Server
}

// NewView returns the state before all news.
func NewView() *View { return &View{Servers: map[string]*wire.Server{}} }

// Load replaces the state by a whole one.
func (v *View) Load(s *wire.State) {
	v.Number, v.Config, v.Servers = s.GetNumber(), nil, make(map[string]*wire.Server, len(s.GetServers()))
	if len(s.GetConfig()) > 0 {
		v.Config = s.Config
	}
	for _, srv := range s.GetServers() {
		v.Servers[srv.Member] = srv
	}
}

// State returns the whole state.
func (v *View) State() *wire.State {
	s := &wire.State{Number: v.Number, Config: v.Config}
	for _, srv := range v.Servers {
		s.Servers = append(s.Servers, srv)
	}
	slices.SortFunc(s.Servers, func(a, b *wire.Server) int { return strings.Compare(a.Member, b.Member) })
	return s
}

// On returns the members that stand on nodes of which a function holds, in order.
func (v *View) On(holds func(node string) bool) []string {
	var list []string
	for id, s := range v.Servers {
		if holds(s.Node) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Follow takes the next item of news. It reports false for one that is not the
// next: an old one changes nothing, and a gap is to be asked for.
func (v *View) Follow(item *wire.Item) bool {
	if item.Number != v.Number+1 {
		return false
	}
	v.Number++
	switch what := item.What.(type) {
	case *wire.Item_Config:
		v.Config = what.Config
	case *wire.Item_Server:
		v.Servers[what.Server.Member] = what.Server
	case *wire.Item_Remove:
		for _, m := range what.Remove.Members {
			delete(v.Servers, m)
		}
	}
	return true
}

// News keeps the last items, for those that are some items behind.
type News struct {
	items []*wire.Item
	bytes int
}

// Add keeps an item, of a state with so many servers. Who has missed fewer items than there are servers gets less by
// them than by the whole state: when all machines of a large mesh start, every node is some hundred items behind.
func (n *News) Add(item *wire.Item, servers int) {
	n.items = append(n.items, item)
	n.bytes += proto.Size(item)
	drop := 0
	if most := max(leastNews, servers); len(n.items) > most {
		drop = most / 2
	}
	for i, old := range n.items {
		if i >= drop && n.bytes <= newsBytes || i == len(n.items)-1 {
			break
		}
		n.bytes -= proto.Size(old)
		drop = max(drop, i+1)
	}
	n.items = slices.Delete(n.items, 0, drop)
}

// Clear forgets all items, where the state was replaced as a whole.
func (n *News) Clear() { n.items, n.bytes = nil, 0 }

// Since returns the items after a number up to the newest; ok is false where
// some of them are no longer kept.
func (n *News) Since(have, newest uint64) (items []*wire.Item, ok bool) {
	if have == newest {
		return nil, true
	}
	if have > newest || len(n.items) == 0 || n.items[0].Number > have+1 {
		return nil, false
	}
	return n.items[have+1-n.items[0].Number:], true
}

// Catalog is the replicated state.
type Catalog struct {
	View
	accepted acceptedChanges
	config   *meshconfig.Config
}

// New returns the state before all entries.
func New() *Catalog { return &Catalog{View: *NewView()} }

// Revision of the configuration in force; 0: none yet.
func (c *Catalog) Revision() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Revision
}

// Apply takes the next command of the log. The item is nil where nothing has
// changed. The error is the verdict on the command.
func (c *Catalog) Apply(cmd *wire.Command) (*wire.Item, error) {
	item := &wire.Item{Number: c.Number + 1}
	switch what := cmd.What.(type) {
	case *wire.Command_Config:
		config, err := c.judge(what.Config)
		if config == nil || err != nil {
			return nil, err
		}
		c.config = config
		item.What = &wire.Item_Config{Config: what.Config.Body}
	case *wire.Command_Server:
		old := c.Servers[what.Server.Member]
		if proto.Equal(old, what.Server) {
			return nil, nil
		}
		if old == nil && len(c.Servers) >= mostServers {
			return nil, ErrFull
		}
		item.What = &wire.Item_Server{Server: what.Server}
	case *wire.Command_Remove:
		var there []string
		for _, m := range what.Remove.Members {
			if c.Servers[m] != nil {
				there = append(there, m)
			}
		}
		if len(there) == 0 {
			return nil, nil
		}
		item.What = &wire.Item_Remove{Remove: &wire.RemoveServers{Members: there}}
	default:
		return nil, nil // of a later version; all replicas pass over it alike
	}
	c.Follow(item)
	return item, nil
}

// judge decides on a configuration. It returns neither a configuration nor an
// error for one that has been taken before.
func (c *Catalog) judge(put *wire.PutConfig) (*meshconfig.Config, error) {
	config, err := meshconfig.Parse(put.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	change := acceptedChange{revision: config.Revision, digest: sha256.Sum256(put.Body)}
	switch {
	case c.accepted.contains(change):
		return nil, nil
	case c.accepted.mayHaveForgotten(put.Base, config.Revision):
		return nil, ErrForgotten
	case put.Base != c.Revision():
		return nil, ErrStale
	case config.Revision <= c.Revision():
		return nil, fmt.Errorf("%w: revision %d is not above the current one, %d", ErrInvalid, config.Revision, c.Revision())
	}
	c.accepted.add(change)
	return config, nil
}

// Snapshot returns the whole state as bytes.
func (c *Catalog) Snapshot() ([]byte, error) {
	s := &wire.Snapshot{State: c.State()}
	c.accepted.encode(s)
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("catalog: %w", err)
	}
	return b, nil
}

// Restore replaces the state by a snapshot's.
func (c *Catalog) Restore(data []byte) error {
	var s wire.Snapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("catalog: %w", err)
	}
	var config *meshconfig.Config
	if len(s.GetState().GetConfig()) > 0 {
		var err error
		if config, err = meshconfig.Parse(s.State.Config); err != nil {
			return fmt.Errorf("catalog: %w", err)
		}
	}
	c.Load(s.State)
	c.accepted, c.config = decodeAccepted(&s), config
	return nil
}
