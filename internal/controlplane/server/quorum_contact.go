package server

import (
	"log/slog"
	"time"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/distribution/relay"
)

// observeContact publishes the age of the state here, and logs when the member loses contact with the quorum and when it
// has it again. The loop calls it once what is committed is applied.
func (srv *Server) observeContact(now time.Duration) {
	age := srv.consensus.QuorumContactAge(now)
	srv.contactAt.Store(int64(now - age))
	lostContact := age > relay.Stale
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

// contactAge is an upper bound of the time since a quorum confirmed the state here. Any goroutine may call it.
func (srv *Server) contactAge() time.Duration {
	return min(srv.now()-time.Duration(srv.contactAt.Load()), raft.MaxContactAge)
}
