package server

import (
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

// manageLeadership notes and logs changes of the leadership, and carries out a leader's duties but for the membership,
// which is the membershipDriver's.
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

// removeLostServers deregisters the servers on machines that the cluster membership has lost.
func (srv *Server) removeLostServers() {
	lost := srv.catalog.MembersOn(func(node string) bool { return srv.gossip.Lost(node, srv.now()-srv.leaderSince) })
	if len(lost) == 0 || len(srv.requests.proposed) > 0 {
		return
	}
	data, err := proto.Marshal(&wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: lost}}})
	if err != nil {
		return // no message that this program builds fails to marshal
	}
	if _, _, err := srv.consensus.Propose(srv.now(), data); err != nil {
		return // it is proposed again at the next round
	}
	srv.log.Info("registry.servers_removed", "members", lost)
}

// wantedVoters is the number of voters for the tolerated losses.
func (srv *Server) wantedVoters() int {
	settings := srv.settings.Load()
	return raft.WantedVoters(settings.ToleratedLosses, len(settings.Seeds))
}

// minAckVoters is the number of voters below which nothing is acknowledged now.
func (srv *Server) minAckVoters() int {
	return srv.ackGate.minVoters(srv.settings.Load(), raft.Voters(srv.consensus.Peers()))
}
