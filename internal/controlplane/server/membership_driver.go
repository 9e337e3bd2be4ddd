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
	joinCalls         = 8 // join requests in flight
	leaveCallTimeout  = 300 * time.Millisecond
	leaveInterval     = 50 * time.Millisecond // between two leave requests
	leaveGraceDivisor = 2                     // a graceful shutdown may wait for the log during a half of grace_s
)

var errNoIdentity = errors.New("a join request without identity or address")

// membershipDriver does the input and output of raft.MembershipManager: it sends join requests, proposes the leader's
// changes, answers the processes that join and leave, and carries out the graceful shutdown of this one. It belongs to
// the loop, but for joinQueue.
type membershipDriver struct {
	server    *Server
	manager   *raft.MembershipManager
	learners  map[uint64]learnerWait // on the leader
	joinQueue chan string            // addresses for join requests; read by the goroutines of run
}

// learnerWait is how long a leader has waited for a learner to become a voter.
type learnerWait struct {
	since    time.Duration
	reported bool
}

func newMembershipDriver(srv *Server) *membershipDriver {
	return &membershipDriver{
		server: srv, manager: raft.NewMembershipManager(srv.consensus), learners: map[uint64]learnerWait{}, joinQueue: make(chan string, joinCalls),
	}
}

// tick is called by the loop after every event.
func (m *membershipDriver) tick() {
	srv := m.server
	actions := m.manager.Tick(srv.now(), srv.self(false), srv.wantedVoters(), m.knownAddresses)
	m.propose(actions.Propose)
	for _, address := range actions.JoinAt {
		m.enqueueJoin(address)
	}
	m.reportLateLearners()
}

// knownAddresses are the addresses of processes that may be members: the seeds, and the quorum members that the cluster
// membership knows.
func (m *membershipDriver) knownAddresses() []string {
	known := m.server.settings.Load().SeedNodes()
	for _, member := range m.server.gossip.Members() {
		if member.QuorumMember {
			known = append(known, member.Address)
		}
	}
	return known
}

// propose proposes a change. If another one is in progress, the manager asks for it again.
func (m *membershipDriver) propose(change raft.MembershipChange) error {
	if change.Next == nil {
		return nil
	}
	srv := m.server
	if err := srv.consensus.ProposeMembership(srv.now(), change.Next); err != nil {
		return err
	}
	srv.log.Info(string(change.Event), "address", change.Peer.Address, "identity", identityText(change.Peer.Id),
		"voters", raft.Voters(change.Next), "reason", string(change.Reason))
	return nil
}

// reportLateLearners logs each learner that was not promoted within sync_time_s, after which the quorum has to tolerate
// the next loss.
func (m *membershipDriver) reportLateLearners() {
	srv := m.server
	if !srv.consensus.IsLeader() {
		clear(m.learners)
		return
	}
	for _, p := range srv.consensus.Peers() {
		learner, known := m.learners[p.Id]
		switch {
		case p.Voter:
			delete(m.learners, p.Id)
		case !known:
			m.learners[p.Id] = learnerWait{since: srv.now()}
		case !learner.reported && srv.now()-learner.since > srv.settings.Load().Bounds.SyncTime:
			m.learners[p.Id] = learnerWait{since: learner.since, reported: true}
			srv.log.Warn("member.promotion_late", "address", p.Address, "identity", identityText(p.Id), "duration_ms", (srv.now() - learner.since).Milliseconds())
		}
	}
}

// enqueueJoin passes an address to run; if too many wait, a later round has it again.
func (m *membershipDriver) enqueueJoin(address string) {
	select {
	case m.joinQueue <- address:
	default:
	}
}

// run starts the goroutines that send join requests, until ctx ends.
func (m *membershipDriver) run(ctx context.Context) {
	for range joinCalls {
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
	call, cancel := context.WithTimeout(ctx, joinCallTimeout)
	defer cancel()
	answer := new(wire.JoinResponse)
	if err := m.server.pool.Call(call, address, "join", &wire.JoinRequest{Peer: m.server.self(false)}, answer); err != nil {
		return
	}
	m.server.runInLoop(func() {
		if leader := m.manager.HandleJoinResponse(answer); leader != "" {
			m.enqueueJoin(leader)
		}
	})
}

// handleJoin makes a process a learner: it has no vote before it has the log.
func (m *membershipDriver) handleJoin(ctx context.Context, j *wire.JoinRequest) (*wire.JoinResponse, error) {
	p := j.GetPeer()
	if p.GetId() == 0 || p.GetAddress() == "" {
		return nil, errNoIdentity
	}
	return callInLoop(ctx, m.server, func() *wire.JoinResponse {
		change, answer := m.manager.HandleJoin(m.server.now(), p)
		m.propose(change)
		return answer
	})
}

// handleLeave answers a member that is about to shut down.
func (m *membershipDriver) handleLeave(ctx context.Context, q *wire.LeaveRequest) (*wire.LeaveResponse, error) {
	return callInLoop(ctx, m.server, func() *wire.LeaveResponse {
		return m.manager.HandleLeave(m.server.now(), q, m.server.wantedVoters())
	})
}

// remove proposes an operator's removal of a member: see raft.Node.RemovalChange for the errors.
func (m *membershipDriver) remove(ctx context.Context, id uint64) error {
	srv := m.server
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return errorInLoop(ctx, srv, func() error {
		change, err := srv.consensus.RemovalChange(srv.now(), id, srv.wantedVoters())
		if err != nil {
			return err
		}
		return m.propose(change)
	})
}

// beginLeave starts the graceful shutdown of this process: left is closed once another member leads and a majority of the
// remaining voters has all of the log.
func (m *membershipDriver) beginLeave() (left <-chan struct{}) {
	m.manager.Leave()
	done := make(chan struct{})
	m.server.workers.Go(func() {
		if m.awaitLeave(m.server.ctx) {
			close(done)
		}
	})
	return done
}

// awaitLeave transfers leadership and sends leave requests until this process may end, or reports false once ctx ends.
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
	done    bool   // this process may end: it is no voter, or the only one
	leader  string // receiver of request; empty: not known, or this process
	request *wire.LeaveRequest
}

func (m *membershipDriver) nextLeaveAction() leaveAction {
	srv := m.server
	isVoter := false
	others := 0
	for _, p := range srv.consensus.Peers() {
		if p.Id == srv.store.ID {
			isVoter = p.Voter
		} else if p.Voter {
			others++
		}
	}
	if !isVoter || others == 0 {
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
	call, cancel := context.WithTimeout(ctx, leaveCallTimeout)
	defer cancel()
	answer := new(wire.LeaveResponse)
	if err := m.server.pool.Call(call, action.leader, "leave", action.request, answer); err != nil {
		return false
	}
	return raft.LeaveStatus{Replicated: answer.Replicated, Removed: answer.Removed, KeepsVote: answer.KeepsVote}.Done()
}

// self is this process as a member, with its present addresses.
func (srv *Server) self(voter bool) *wire.Peer {
	settings := srv.settings.Load()
	return &wire.Peer{Id: srv.store.ID, Address: settings.Internal(), ControlAddress: settings.Control, Voter: voter}
}
