package server

import (
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/transport/wire"
)

// apply applies a committed entry to the state, passes the changes on to the nodes and answers whoever proposed it.
func (srv *Server) apply(e *wire.Entry) {
	srv.applied = e.Index
	changes, verdict := applyEntry(srv.catalog, e)
	if changes != nil {
		srv.hub.Apply(changes)
		if current := srv.catalog.Current(); srv.config.Load().Revision() != current.Revision() {
			srv.publishConfig()
			srv.log.Info("config.accepted", "revision", current.Revision(), "index", changes.To, "resources", len(changes.Resources))
		}
	}
	srv.requests.applied(e, changes != nil, verdict)
}

// applyEntry applies an entry to the state. An entry that can't be decoded is skipped, by all replicas alike.
func applyEntry(state *catalog.Catalog, e *wire.Entry) (*wire.Changes, error) {
	if e.Kind != wire.Entry_COMMAND {
		return nil, nil
	}
	cmd := new(wire.Command)
	if err := proto.Unmarshal(e.Data, cmd); err != nil {
		return nil, err
	}
	return state.Apply(cmd)
}

// publishFullState passes a state that was restored on to the nodes.
func (srv *Server) publishFullState() {
	srv.hub.Apply(srv.catalog.FullChanges())
	srv.publishConfig()
}

// publishConfig makes the configuration visible to the operators' calls.
func (srv *Server) publishConfig() {
	current := srv.catalog.Current()
	srv.config.Store(&current)
}
