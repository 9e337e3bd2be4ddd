package server

import (
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

// manageLeadership logs the gain and loss of leadership. On the leader, it transfers leadership away from a slow disk
// and removes lost servers. The leader's membership changes are in membershipDriver.
func (srv *Server) manageLeadership() {
	if !srv.consensus.IsLeader() {
		if srv.wasLeader {
			srv.log.Info("leadership.lost", "term", srv.consensus.Term())
		}
		srv.wasLeader = false
		return
	}
	if !srv.wasLeader {
		srv.wasLeader, srv.leaderSince = true, srv.now()
		srv.log.Info("leadership.acquired", "term", srv.consensus.Term(), "members", len(srv.consensus.Peers()))
	}
	if srv.consensus.ShouldTransferLeadership() && srv.consensus.TransferLeadership(srv.now()) {
		srv.log.Warn("leadership.transferring", "term", srv.consensus.Term(), "reason", "the disk is far slower than another member's")
		return
	}
	srv.removeLostServers()
}

// removeLostServers proposes to deregister the servers on nodes that gossip reports as lost. It proposes nothing
// while commands of the request queue are in progress.
func (srv *Server) removeLostServers() {
	lost := srv.catalog.MembersOn(func(node string) bool { return srv.gossip.Lost(node, srv.now()-srv.leaderSince) })
	if len(lost) == 0 || len(srv.requests.proposed) > 0 {
		return
	}
	data, err := proto.Marshal(&wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: lost}}})
	if err != nil {
		return // unreachable: this command always marshals
	}
	if _, _, err := srv.consensus.Propose(srv.now(), data); err != nil {
		return // the next call proposes it again
	}
	srv.log.Info("registry.servers_removed", "members", lost)
}

// wantedVoters returns the target number of voters: enough for the tolerated losses, but at most one per seed.
func (srv *Server) wantedVoters() int {
	settings := srv.settings.Load()
	return raft.WantedVoters(settings.ToleratedLosses, len(settings.Seeds))
}

// minAckVoters returns the current minimum number of voters for an acknowledgement.
func (srv *Server) minAckVoters() int {
	return srv.ackGate.minVoters(srv.settings.Load(), raft.Voters(srv.consensus.Peers()))
}
