package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

const (
	joinCallTimeout  = 600 * time.Millisecond // for the answer to a question for membership
	joinCalls        = 8                      // such questions under way
	leaveCallTimeout = 300 * time.Millisecond
	leaveInterval    = 50 * time.Millisecond // between two questions of a process that is about to end
	leavePart        = 2                     // the part of grace_s that a planned end may take for the log: a half
)

// membershipManager is the driver of raft.MembershipManager: it asks to be a member as often as that says, proposes the
// leader's changes, answers the processes that join and leave, and takes this process out of its duties before a planned
// end. Fields without a comment of their own belong to the goroutine of Node.loop.
type membershipManager struct {
	node   *Node
	policy *raft.MembershipManager
	late   map[uint64]lateness // of members that this leader waits for
	asks   chan string         // addresses to be asked; read by run
}

// lateness is how long a leader has waited for a learner to become a voter.
type lateness struct {
	since time.Duration
	told  bool
}

func newMembershipManager(n *Node) *membershipManager {
	return &membershipManager{
		node: n, policy: raft.NewMembershipManager(n.consensus), late: map[uint64]lateness{}, asks: make(chan string, joinCalls),
	}
}

// tick is called in the loop, whenever the consensus may have moved on.
func (m *membershipManager) tick() {
	n := m.node
	actions := m.policy.Tick(n.now(), n.self(false), n.wantedVoters(), m.known)
	m.propose(actions.Propose)
	for _, address := range actions.JoinAt {
		m.ask(address)
	}
	m.watchLearners()
}

// known are the addresses of processes that may be members: the seeds, and the members that the gossip knows.
func (m *membershipManager) known() []string {
	known := m.node.set.Load().SeedNodes()
	for _, member := range m.node.gossip.Members() {
		if member.QuorumMember {
			known = append(known, member.Address)
		}
	}
	return known
}

// propose proposes a change of the members; where another one is under way, the policy asks for it again.
func (m *membershipManager) propose(change raft.MembershipChange) error {
	if change.Next == nil {
		return nil
	}
	n := m.node
	if err := n.consensus.ProposeMembership(n.now(), change.Next); err != nil {
		return err
	}
	n.log.Info(string(change.Event), "address", change.Peer.Address, "identity", fmt.Sprintf("%016x", change.Peer.Id),
		"voters", raft.Voters(change.Next), "reason", string(change.Reason))
	return nil
}

// watchLearners says which learner has not become a voter within sync_time_s, the time after which the core has to bear
// the next loss.
func (m *membershipManager) watchLearners() {
	n := m.node
	if !n.consensus.IsLeader() {
		clear(m.late)
		return
	}
	for _, p := range n.consensus.Peers() {
		l, known := m.late[p.Id]
		switch {
		case p.Voter:
			delete(m.late, p.Id)
		case !known:
			m.late[p.Id] = lateness{since: n.now()}
		case !l.told && n.now()-l.since > n.set.Load().Bounds.SyncTime:
			m.late[p.Id] = lateness{since: l.since, told: true}
			n.log.Warn("member.late", "address", p.Address, "identity", fmt.Sprintf("%016x", p.Id), "after", n.now()-l.since)
		}
	}
}

// ask hands an address to run; what does not find room is asked in a later round.
func (m *membershipManager) ask(address string) {
	select {
	case m.asks <- address:
	default:
	}
}

// run asks processes for membership, some at a time, until the context ends.
func (m *membershipManager) run(ctx context.Context) {
	for range joinCalls {
		m.node.workers.Go(func() {
			for {
				select {
				case address := <-m.asks:
					m.askOne(ctx, address)
				case <-ctx.Done():
					return
				}
			}
		})
	}
}

func (m *membershipManager) askOne(ctx context.Context, address string) {
	call, cancel := context.WithTimeout(ctx, joinCallTimeout)
	defer cancel()
	answer := new(wire.JoinResponse)
	if err := m.node.pool.Call(call, address, "join", &wire.JoinRequest{Peer: m.node.self(false)}, answer); err != nil {
		return
	}
	m.node.do(func() {
		if leader := m.policy.HandleJoinResponse(answer); leader != "" {
			m.ask(leader)
		}
	})
}

// join takes a process in as a learner: it has no vote before it has the log.
func (m *membershipManager) join(ctx context.Context, j *wire.JoinRequest) (*wire.JoinResponse, error) {
	p := j.GetPeer()
	if p.GetId() == 0 || p.GetAddress() == "" {
		return nil, errors.New("no identity or address")
	}
	return inLoop(ctx, m.node, func() *wire.JoinResponse {
		change, answer := m.policy.HandleJoin(m.node.now(), p)
		m.propose(change)
		return answer
	})
}

// leave answers a member that is about to end.
func (m *membershipManager) leave(ctx context.Context, q *wire.LeaveRequest) (*wire.LeaveResponse, error) {
	return inLoop(ctx, m.node, func() *wire.LeaveResponse {
		return m.policy.HandleLeave(m.node.now(), q, m.node.wantedVoters())
	})
}

// remove is the operator's removal of a member.
func (m *membershipManager) remove(ctx context.Context, id uint64) error {
	n := m.node
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	result, err := inLoop(ctx, n, func() error {
		change, err := n.consensus.RemovalChange(n.now(), id, n.wantedVoters())
		if err != nil {
			return err
		}
		return m.propose(change)
	})
	if err != nil {
		return err
	}
	return result
}

// beginLeave starts the planned end of this process: left is closed once another leads and all that the log holds is on
// a majority of the voters that stay.
func (m *membershipManager) beginLeave() (left <-chan struct{}) {
	m.policy.Leave()
	done := make(chan struct{})
	m.node.workers.Go(func() {
		if m.awaitLeft(m.node.ctx) {
			close(done)
		}
	})
	return done
}

// awaitLeft hands over the lead and asks the leader until this process may end; false: the context has ended.
func (m *membershipManager) awaitLeft(ctx context.Context) bool {
	for ctx.Err() == nil {
		step, err := inLoop(ctx, m.node, m.leaveStep)
		if err == nil && step.alone {
			return true
		}
		if err == nil && step.leader != "" && m.askToLeave(ctx, step) {
			return true
		}
		m.node.pause(leaveInterval)
	}
	return false
}

// leaveStep is what a process that is about to end does next.
type leaveStep struct {
	alone   bool   // nobody else is concerned
	leader  string // to be asked; empty: not known
	request *wire.LeaveRequest
}

func (m *membershipManager) leaveStep() leaveStep {
	n := m.node
	own := false
	others := 0
	for _, p := range n.consensus.Peers() {
		if p.Id == n.store.ID {
			own = p.Voter
		} else if p.Voter {
			others++
		}
	}
	if !own || others == 0 {
		return leaveStep{alone: true}
	}
	if n.consensus.IsLeader() {
		n.consensus.TransferLeadership(n.now())
		return leaveStep{}
	}
	index, term := n.consensus.LastEntry()
	return leaveStep{leader: n.leader().GetAddress(), request: &wire.LeaveRequest{Id: n.store.ID, Index: index, LogTerm: term}}
}

func (m *membershipManager) askToLeave(ctx context.Context, step leaveStep) (done bool) {
	call, cancel := context.WithTimeout(ctx, leaveCallTimeout)
	defer cancel()
	answer := new(wire.LeaveResponse)
	if err := m.node.pool.Call(call, step.leader, "leave", step.request, answer); err != nil {
		return false
	}
	return raft.LeaveStatus{Replicated: answer.Replicated, Removed: answer.Removed, KeepsVote: answer.KeepsVote}.Done()
}

// inLoop runs f in the node's loop and returns what it returns.
func inLoop[T any](ctx context.Context, n *Node, f func() T) (result T, err error) {
	c := make(chan T, 1)
	n.do(func() { c <- f() })
	select {
	case result = <-c:
		return result, nil
	case <-ctx.Done():
		return result, ctx.Err()
	}
}
