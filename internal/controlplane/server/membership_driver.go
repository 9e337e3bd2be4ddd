package server

import (
	"context"
	"errors"
	"time"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

const (
	joinCallTimeout   = 600 * time.Millisecond
	maxJoinCalls      = 8 // join requests in flight
	leaveCallTimeout  = 300 * time.Millisecond
	leaveInterval     = 50 * time.Millisecond // pause between two leave requests
	leaveGraceDivisor = 2                     // a graceful shutdown may take grace_s divided by this
)

var errNoIdentity = errors.New("a join request without identity or address")

// membershipDriver performs the I/O of raft.MembershipManager: it sends join requests, proposes the leader's membership
// changes, handles join and leave requests, and runs the graceful shutdown of this process. Only the loop may access
// manager and learners.
type membershipDriver struct {
	server    *Server
	manager   *raft.MembershipManager
	learners  map[uint64]learnerWait // by identity; empty unless this member leads
	joinQueue chan string            // addresses for join requests, consumed by the goroutines of run
}

// learnerWait records when the leader first observed a learner, and whether its late promotion was logged.
type learnerWait struct {
	since    time.Duration
	reported bool
}

func newMembershipDriver(srv *Server) *membershipDriver {
	return &membershipDriver{
		server: srv, manager: raft.NewMembershipManager(srv.consensus), learners: map[uint64]learnerWait{}, joinQueue: make(chan string, maxJoinCalls),
	}
}

// tick proposes the leader's next membership change and queues due join requests. The loop calls it after every event.
func (m *membershipDriver) tick() {
	srv := m.server
	actions := m.manager.Tick(srv.now(), srv.self(false), srv.wantedVoters(), m.knownAddresses)
	m.propose(actions.Propose)
	for _, address := range actions.JoinAt {
		m.enqueueJoin(address)
	}
	m.reportLateLearners()
}

// knownAddresses returns the addresses of possible quorum members: the seeds and the quorum members known to gossip.
func (m *membershipDriver) knownAddresses() []string {
	known := m.server.settings.Load().SeedNodes()
	for _, member := range m.server.gossip.Members() {
		if member.QuorumMember {
			known = append(known, member.Address)
		}
	}
	return known
}

// propose proposes a membership change, if there is one. It fails while another change is in progress. tick retries, as
// the manager returns its changes again.
func (m *membershipDriver) propose(change raft.MembershipChange) error {
	if change.Next == nil {
		return nil
	}
	srv := m.server
	if err := srv.consensus.ProposeMembership(srv.now(), change.Next); err != nil {
		return err
	}
	srv.log.Info(string(change.Event), "address", change.Peer.Address, "identity", formatIdentity(change.Peer.Id),
		"voters", raft.Voters(change.Next), "reason", string(change.Reason))
	return nil
}

// reportLateLearners logs each learner that was not promoted within sync_time_s, the time after which the quorum should
// tolerate another loss.
func (m *membershipDriver) reportLateLearners() {
	srv := m.server
	if !srv.consensus.IsLeader() {
		clear(m.learners)
		return
	}
	for _, p := range srv.consensus.Peers() {
		learner, tracked := m.learners[p.Id]
		switch {
		case p.Voter:
			delete(m.learners, p.Id)
		case !tracked:
			m.learners[p.Id] = learnerWait{since: srv.now()}
		case !learner.reported && srv.now()-learner.since > srv.settings.Load().Bounds.SyncTime:
			m.learners[p.Id] = learnerWait{since: learner.since, reported: true}
			srv.log.Warn("member.promotion_late", "address", p.Address, "identity", formatIdentity(p.Id), "duration_ms", (srv.now() - learner.since).Milliseconds())
		}
	}
}

// enqueueJoin queues an address for a join request. It drops the address if the queue is full; a later round retries.
func (m *membershipDriver) enqueueJoin(address string) {
	select {
	case m.joinQueue <- address:
	default:
	}
}

// run starts the goroutines that send join requests. They stop when ctx is done.
func (m *membershipDriver) run(ctx context.Context) {
	for range maxJoinCalls {
		m.server.workers.Go(func() {
			for {
				select {
				case address := <-m.joinQueue:
					m.sendJoin(ctx, address)
				case <-ctx.Done():
					return
				}
			}
		})
	}
}

func (m *membershipDriver) sendJoin(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, joinCallTimeout)
	defer cancel()
	response := new(wire.JoinResponse)
	if err := m.server.pool.Call(callCtx, address, "join", &wire.JoinRequest{Peer: m.server.self(false)}, response); err != nil {
		return
	}
	m.server.runInLoop(func() {
		if leader := m.manager.HandleJoinResponse(response); leader != "" {
			m.enqueueJoin(leader)
		}
	})
}

// handleJoin adds a process as a learner, which has no vote until it has caught up with the log.
func (m *membershipDriver) handleJoin(ctx context.Context, request *wire.JoinRequest) (*wire.JoinResponse, error) {
	peer := request.GetPeer()
	if peer.GetId() == 0 || peer.GetAddress() == "" {
		return nil, errNoIdentity
	}
	return callInLoop(ctx, m.server, func() *wire.JoinResponse {
		change, response := m.manager.HandleJoin(m.server.now(), peer)
		m.propose(change)
		return response
	})
}

// handleLeave handles the request of a member that is shutting down.
func (m *membershipDriver) handleLeave(ctx context.Context, request *wire.LeaveRequest) (*wire.LeaveResponse, error) {
	return callInLoop(ctx, m.server, func() *wire.LeaveResponse {
		return m.manager.HandleLeave(m.server.now(), request, m.server.wantedVoters())
	})
}

// remove proposes the removal of a member for an operator. See raft.Node.RemovalChange for the errors.
func (m *membershipDriver) remove(ctx context.Context, id uint64) error {
	srv := m.server
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return callErrInLoop(ctx, srv, func() error {
		change, err := srv.consensus.RemovalChange(srv.now(), id, srv.wantedVoters())
		if err != nil {
			return err
		}
		return m.propose(change)
	})
}

// beginLeave starts the graceful shutdown of this process. finished is closed once the process may exit; see
// leaveAction and raft.LeaveStatus.
func (m *membershipDriver) beginLeave() (finished <-chan struct{}) {
	m.manager.Leave()
	done := make(chan struct{})
	m.server.workers.Go(func() {
		if m.awaitLeave(m.server.ctx) {
			close(done)
		}
	})
	return done
}

// awaitLeave transfers leadership and sends leave requests until this process may exit. It returns false once ctx is
// done.
func (m *membershipDriver) awaitLeave(ctx context.Context) bool {
	for ctx.Err() == nil {
		action, err := callInLoop(ctx, m.server, m.nextLeaveAction)
		if err == nil && action.done {
			return true
		}
		if err == nil && action.leader != "" && m.sendLeave(ctx, action) {
			return true
		}
		m.server.sleep(leaveInterval)
	}
	return false
}

// leaveAction is the next step of a graceful shutdown.
type leaveAction struct {
	done    bool   // this process may exit: it is not a voter, or is the only one
	leader  string // destination of request; empty if this process leads or no leader is known
	request *wire.LeaveRequest
}

func (m *membershipDriver) nextLeaveAction() leaveAction {
	srv := m.server
	isVoter := false
	otherVoters := 0
	for _, p := range srv.consensus.Peers() {
		if p.Id == srv.store.ID {
			isVoter = p.Voter
		} else if p.Voter {
			otherVoters++
		}
	}
	if !isVoter || otherVoters == 0 {
		return leaveAction{done: true}
	}
	if srv.consensus.IsLeader() {
		srv.consensus.TransferLeadership(srv.now())
		return leaveAction{}
	}
	index, term := srv.consensus.LastEntry()
	return leaveAction{leader: srv.leader().GetAddress(), request: &wire.LeaveRequest{Id: srv.store.ID, Index: index, LogTerm: term}}
}

func (m *membershipDriver) sendLeave(ctx context.Context, action leaveAction) (done bool) {
	callCtx, cancel := context.WithTimeout(ctx, leaveCallTimeout)
	defer cancel()
	response := new(wire.LeaveResponse)
	if err := m.server.pool.Call(callCtx, action.leader, "leave", action.request, response); err != nil {
		return false
	}
	return raft.LeaveStatus{Replicated: response.Replicated, Removed: response.Removed, KeepsVote: response.KeepsVote}.Done()
}

// self returns this process as a peer with its current addresses.
func (srv *Server) self(voter bool) *wire.Peer {
	settings := srv.settings.Load()
	return &wire.Peer{Id: srv.store.ID, Address: settings.Internal(), ControlAddress: settings.Control, Voter: voter}
}
