// Package catalog is the replicated state: the configuration in force and the registry of application servers. It is a pure
// state machine, driven by the committed entries of the log in their order, so that all replicas agree. (In Consul this is
// the FSM with its state store.)
//
// Each entry that changes the state is an update; updates have the same index on all replicas. View returns the changes
// since any index, which package relay delivers to the nodes: nodes keep a View too.
//
//	catalog.go   Catalog: commands and their errors
//	accept.go    which configuration is accepted; accepted.go remembers them
//	view.go      View: resources and their indexes; resource.go their keys
//	snapshot.go  the state as bytes; image.go a copy that any goroutine may encode
//	local.go     the part of one node's servers
package catalog

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// maxServers bounds the registry: twice the number of nodes that a mesh is designed for.
const maxServers = 60000

// The errors of a command, alike on all replicas. The texts of those of a configuration are in answers to operators.
var (
	// ErrStale says that the configuration builds on a revision that is not the current one.
	ErrStale = errors.New("another version is in place")
	// ErrInvalid says that the configuration can never be accepted.
	ErrInvalid = errors.New("invalid configuration")
	// ErrForgotten says that the configuration may have been accepted so long ago that this is no longer known.
	ErrForgotten = errors.New("not known any more whether this was accepted")
	// ErrFull says that no more servers can be registered.
	ErrFull = errors.New("too many servers")
)

// Catalog is the replicated state. It belongs to one goroutine; Image and Current are for others.
type Catalog struct {
	view     *View
	body     []byte // of the configuration, as the operator sent it; nil: none yet
	config   *meshconfig.Config
	accepted acceptedChanges
}

// New returns the state before the first entry.
func New() *Catalog { return &Catalog{view: NewView()} }

// Index is the index of the latest update.
func (c *Catalog) Index() uint64 { return c.view.Index() }

// Body is the configuration in force as the operator sent it; nil: none yet. The caller must not change it.
func (c *Catalog) Body() []byte { return c.body }

// Config is the configuration in force; nil: none yet.
func (c *Catalog) Config() *meshconfig.Config { return c.config }

// Servers are the registered servers, by name.
func (c *Catalog) Servers() []*wire.Server { return c.view.Servers() }

// MembersOn returns the names of the servers on nodes that match, in order.
func (c *Catalog) MembersOn(matches func(node string) bool) []string {
	var list []string
	for _, s := range c.view.ServersOn(matches) {
		list = append(list, s.Member)
	}
	return list
}

// FullChanges returns the state as changes that replace any other; nil before the first update.
func (c *Catalog) FullChanges() *wire.Changes { return c.view.Changes(0) }

// Revision is the revision of the configuration in force; 0: none yet.
func (c *Catalog) Revision() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Revision
}

// Apply applies the next command of the log, and returns what it has changed; nil: nothing. An error says that the command
// was rejected, as it is on all replicas.
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

// applyCommand applies a command to all but the view, and returns the changed resources.
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
	return changed, nil // a command of a later version changes nothing, on all replicas alike
}
