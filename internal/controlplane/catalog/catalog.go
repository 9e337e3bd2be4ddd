// Package catalog is the state that the core replicates: the configuration in
// force, and the servers that there are. It is a pure state machine, driven by
// the entries of the log in their order, so that all replicas agree. Each entry that
// changes it is an update; updates are numbered alike everywhere, and View says what
// has changed since any of them.
package catalog

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

const maxServers = 60000 // registered at a time

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

// Catalog is the replicated state.
type Catalog struct {
	view     *View
	body     []byte // of the configuration, as the operator sent it; nil: none yet
	config   *meshconfig.Config
	accepted acceptedChanges
}

// New returns the state before all entries.
func New() *Catalog { return &Catalog{view: NewView()} }

// Index of the latest update.
func (c *Catalog) Index() uint64 { return c.view.Index() }

// Body is the configuration in force as the operator sent it; nil: none yet. It is not to be changed.
func (c *Catalog) Body() []byte { return c.body }

// Config is the configuration in force; nil: none yet.
func (c *Catalog) Config() *meshconfig.Config { return c.config }

// Servers are those that are registered, by name.
func (c *Catalog) Servers() []*wire.Server { return c.view.Servers() }

// MembersOn returns the members that stand on nodes of which a function holds, in order.
func (c *Catalog) MembersOn(matches func(node string) bool) []string {
	var list []string
	for _, s := range c.view.ServersOn(matches) {
		list = append(list, s.Member)
	}
	return list
}

// FullChanges returns the state as changes that lead to it from anywhere; nil before the first update.
func (c *Catalog) FullChanges() *wire.Changes { return c.view.Changes(0) }

// Revision of the configuration in force; 0: none yet.
func (c *Catalog) Revision() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Revision
}

// Apply takes the next command of the log. It returns what the command has changed; nil: nothing. The error is the verdict
// on the command.
func (c *Catalog) Apply(cmd *wire.Command) (*wire.Changes, error) {
	index := c.Index() + 1
	resources, err := c.applyCommand(index, cmd)
	if err != nil || len(resources) == 0 {
		return nil, err
	}
	changes := &wire.Changes{From: index - 1, To: index, Resources: resources}
	c.view.Apply(changes)
	return changes, nil
}

// applyCommand carries a command out on all but the view.
func (c *Catalog) applyCommand(index uint64, cmd *wire.Command) (changed []*wire.Resource, err error) {
	switch change := cmd.Change.(type) {
	case *wire.Command_Config:
		accepted, err := c.acceptConfig(change.Config)
		if accepted == nil || err != nil {
			return nil, err
		}
		changed = configChanges(index, c.config, accepted.Config)
		c.config, c.body = accepted.Config, accepted.Body
	case *wire.Command_Server:
		old := c.view.Server(change.Server.GetMember())
		if proto.Equal(old, change.Server) {
			return nil, nil
		}
		if old == nil && c.view.ServerCount() >= maxServers {
			return nil, ErrFull
		}
		changed = append(changed, serverResource(index, change.Server))
	case *wire.Command_Remove:
		for _, m := range change.Remove.GetMembers() {
			if c.view.Server(m) != nil {
				changed = append(changed, removedServer(index, m))
			}
		}
	}
	return changed, nil // a command of a later version changes nothing; all replicas pass over it alike
}
