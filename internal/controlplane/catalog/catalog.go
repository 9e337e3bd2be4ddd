// Package catalog implements the replicated state: the configuration in force, the registry of application servers and their
// departures. It
// is a deterministic state machine that applies the committed log entries in order, so that all replicas reach the same
// state. (It corresponds to Consul's FSM and state store.)
//
// Each entry that changes the state is an update, and an update has the same index on all replicas. View returns the changes
// since a given index. Package relay sends them to the nodes, which keep a View as well.
//
//	catalog.go   Catalog: commands and their errors
//	accept.go    validation of configurations; accepted.go the record of accepted ones
//	view.go      View: resources and their indexes; resource.go their keys
//	snapshot.go  encoding of the state; image.go a copy that any goroutine may encode
//	local.go     the servers of one node
package catalog

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/controlplane/departure"
	"ivydeck/internal/transport/wire"
)

// maxServers bounds the number of registered servers, and with it the size of the state.
const maxServers = 60000

// maxDepartures bounds the departures that are kept. The oldest is dropped after as many servers as can be registered have left
// since, when no heartbeat of it can still be under way. Replicas drop the same ones.
const maxDepartures = maxServers

// Errors of Apply. Answers to operators contain the texts of configuration errors.
var (
	// ErrStale is returned for a configuration whose base is not the current revision or body.
	ErrStale = errors.New("another version is in place")
	// ErrInvalid is returned for a configuration that can never be accepted.
	ErrInvalid = errors.New("invalid configuration")
	// ErrOutcomeUnknown is returned for a configuration that may have been accepted and evicted from the record since.
	ErrOutcomeUnknown = errors.New("not known any more whether this was accepted")
	// ErrFull is returned for a new server if maxServers are registered.
	ErrFull = errors.New("too many servers")
)

// Catalog is the replicated state. It is not safe for concurrent use; other goroutines may use an Image or a Current.
type Catalog struct {
	view     *View
	body     []byte // encoding of config, as received from the operator; nil if there is none yet
	config   *meshconfig.Config
	accepted acceptedChanges

	departures departure.Set
}

// New returns the empty state, before the first log entry.
func New() *Catalog { return &Catalog{view: NewView()} }

// Index returns the index of the latest update.
func (c *Catalog) Index() uint64 { return c.view.Index() }

// Body returns the encoding of the configuration in force, as received from the operator, or nil if there is none yet. The
// caller must not modify it.
func (c *Catalog) Body() []byte { return c.body }

// Config returns the configuration in force, or nil if there is none yet.
func (c *Catalog) Config() *meshconfig.Config { return c.config }

// Departure returns the phase of a server's departure.
func (c *Catalog) Departure(member string) wire.Departure_Phase { return c.departures.Phase(member) }

// Servers returns the registered servers, sorted by name.
func (c *Catalog) Servers() []*wire.Server { return c.view.Servers() }

// MembersOn returns the sorted names of the servers on matching nodes.
func (c *Catalog) MembersOn(matches func(node string) bool) []string {
	var list []string
	for _, s := range c.view.ServersOn(matches) {
		list = append(list, s.Member)
	}
	return list
}

// FullChanges returns the whole state as changes that replace any other state, or nil before the first update.
func (c *Catalog) FullChanges() *wire.Changes { return c.view.Changes(0) }

// Revision returns the revision of the configuration in force, or 0 if there is none yet.
func (c *Catalog) Revision() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Revision
}

// Apply applies the next command of the log. It returns the changes, or nil if the command changes nothing. An error means
// that the command was rejected, as it is on all replicas.
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

// applyCommand updates the configuration and returns the changed resources, without applying them to the view.
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
	case *wire.Command_Departures:
		c.addDepartures(change.Departures.GetDepartures())
	}
	return changed, nil // commands that only later versions support change nothing
}

// addDepartures records departures. They are no resources: members and nodes ask for them by name.
func (c *Catalog) addDepartures(departures []*wire.Departure) {
	for _, d := range departures {
		c.departures.Add(d)
	}
	if excess := c.departures.Len() - maxDepartures; excess > 0 {
		c.departures.DropOldest(max(excess, maxDepartures/8)) // several at once, because it copies the list
	}
}
