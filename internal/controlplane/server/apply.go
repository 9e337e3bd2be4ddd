package server

import (
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/transport/wire"
)

// apply applies a committed entry to the state, publishes the changes to the nodes and completes the entry's request.
func (srv *Server) apply(entry *wire.Entry) {
	srv.appliedIndex = entry.Index
	changes, applyErr := applyEntry(srv.catalog, entry)
	if changes != nil {
		srv.hub.Apply(changes)
		if current := srv.catalog.Current(); srv.config.Load().Revision() != current.Revision() {
			srv.publishConfig()
			srv.log.Info("config.accepted", "revision", current.Revision(), "index", changes.To, "resources", len(changes.Resources))
		}
	}
	srv.departures.Applied()
	srv.requests.completeCommand(entry, changes != nil, applyErr)
}

// applyEntry applies an entry to the state. It returns nil changes if the state is unchanged. All replicas skip an
// entry that can't be decoded.
func applyEntry(state *catalog.Catalog, entry *wire.Entry) (*wire.Changes, error) {
	if entry.Kind != wire.Entry_COMMAND {
		return nil, nil
	}
	cmd := new(wire.Command)
	if err := proto.Unmarshal(entry.Data, cmd); err != nil {
		return nil, err
	}
	return state.Apply(cmd)
}

// publishFullState publishes the whole state after it was restored.
func (srv *Server) publishFullState() {
	srv.hub.Apply(srv.catalog.FullChanges())
	srv.publishConfig()
}

// publishConfig makes the current configuration available to HTTP handlers.
func (srv *Server) publishConfig() {
	current := srv.catalog.Current()
	srv.config.Store(&current)
}
