package server

import (
	"log/slog"
	"time"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/distribution/relay"
)

// observeContact publishes the time of the last quorum contact, and logs when contact is lost or restored. The loop
// calls it after it has applied all committed entries.
func (srv *Server) observeContact(now time.Duration) {
	age := srv.consensus.QuorumContactAge(now)
	srv.contactAt.Store(int64(now - age))
	lostContact := age > relay.StaleAfter
	if lostContact == srv.lostContact {
		return
	}
	srv.lostContact = lostContact
	level, event := slog.LevelInfo, "quorum.contact_restored"
	if lostContact {
		level, event = slog.LevelWarn, "quorum.contact_lost"
	}
	srv.log.Log(srv.ctx, level, event, "age_ms", age.Milliseconds(), "term", srv.consensus.Term(), "leader", srv.leader().GetAddress())
}

// contactAge returns an upper bound of the time since a quorum confirmed this member's state. It is safe for concurrent
// use.
func (srv *Server) contactAge() time.Duration {
	return min(srv.now()-time.Duration(srv.contactAt.Load()), raft.MaxContactAge)
}
