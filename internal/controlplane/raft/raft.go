package raft

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"time"

	"ivydeck/internal/transport/wire"
)

// Timing and sizes of the protocol.
const (
	// Heartbeat is the time between two rounds of heartbeats of a leader: a quarter of the shortest election timeout, so
	// that three may be lost.
	Heartbeat = 75 * time.Millisecond

	// An election timeout is drawn between these bounds (thesis, 3.4).
	electionMin = 300 * time.Millisecond
	electionMax = 600 * time.Millisecond

	// During startPhase, a process without a known leader draws a shorter timeout: it has no leadership to disturb, and
	// members that are in contact with a leader reject its pre-vote.
	startElectionMin = 100 * time.Millisecond
	startElectionMax = 300 * time.Millisecond
	startPhase       = 1500 * time.Millisecond

	maxEntries      = 256            // entries in one message
	maxBytes        = 1 << 20        // bytes of entries in one message
	maxUncommitted  = 4 * maxEntries // proposals beyond are dropped
	maxPendingReads = 1024           // reads beyond are rejected

	// noID is the identity of no member.
	noID uint64 = 0
)

// The errors of proposals and membership changes. None of them was appended to the log.
var (
	// ErrNotLeader says that this member does not lead: see Node.Leader.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrProposalDropped says that too many proposals are uncommitted, or that leadership is being transferred.
	ErrProposalDropped = errors.New("raft: proposal dropped")
	// ErrMembershipChanging says that the last membership change is not committed yet.
	ErrMembershipChanging = errors.New("raft: another membership change is in progress")
	// ErrNotMember says that the identity belongs to no member.
	ErrNotMember = errors.New("raft: no such member")
	// ErrMemberAlive says that the member to be removed answers; it would join again.
	ErrMemberAlive = errors.New("raft: the member is alive: end its process first, it would join again")
	// ErrTooFewVoters says that a removal would leave fewer voters than wanted, or tolerate fewer losses than now.
	ErrTooFewVoters = errors.New("raft: too few voters would be left, or they would tolerate fewer losses than now")

	errMoreThanOneVoter = errors.New("raft: more than one voter changes")
)

// stateType is the role of a member in its term.
type stateType int

const (
	stateFollower     stateType = iota
	statePreCandidate           // asks whether an election could be won, in the present term
	stateCandidate
	stateLeader
)

// Ready is what the driver must do next, in the order of the fields, and with a sync and a call of StableTo before any
// message is sent: see the package comment. The driver must not change what it contains.
type Ready struct {
	Snapshot         *wire.RaftSnapshot  // replaces the state and the log; nil: none
	HardState        *wire.HardState     // to be saved; nil: unchanged
	Entries          []*wire.Entry       // to be saved, in place of all saved entries from the first of them on
	Messages         []*wire.RaftMessage // to be sent, after the sync
	CommittedEntries []*wire.Entry       // to be applied, each once
	ReadStates       []ReadState         // to be answered, once the committed entries are applied
}

// Empty reports whether there is nothing to do.
func (o *Ready) Empty() bool {
	return o.Snapshot == nil && o.HardState == nil && len(o.Entries) == 0 && len(o.Messages) == 0 &&
		len(o.CommittedEntries) == 0 && len(o.ReadStates) == 0
}

// Node is one member of the quorum: a pure state machine that belongs to one goroutine.
type Node struct {
	raftLog

	id             uint64
	rng            *rand.Rand
	now            time.Duration // of the last event
	startedAt      time.Duration // of the process
	state          stateType
	leaderID       uint64         // noID: not known
	hardState      wire.HardState // term and vote
	savedHardState wire.HardState // as last returned by Ready
	proposed       bool           // something was, since the last Ready

	// Election.
	electionDeadline time.Duration
	leaderContactAt  time.Duration // last message of a leader
	campaignAt       time.Duration // when votes of the current term were requested
	votes            map[uint64]bool

	// Contact with the quorum, see quorum_contact.go.
	process   uint64        // distinguishes the stamps of this process from those of earlier ones
	contactAt time.Duration // see knownContactAt

	// Of a leader.
	progress        map[uint64]*progress // of the other members
	heartbeatAt     time.Duration        // of the next round
	heartbeatRound  uint64
	heartbeatUnsent bool                     // the newest round's messages have not been taken by the driver
	roundStartedAt  map[uint64]time.Duration // of the last rounds
	quorumContactAt time.Duration            // begin of the newest round, or of the campaign, that a majority answered
	leaderSince     time.Duration            // when it was elected
	pendingReads    []pendingRead
	catchUp         catchUp                  // of learners
	leaving         map[uint64]time.Duration // when members that are about to shut down have last said so

	// Leadership transfer, see leadership_transfer.go.
	syncTime             time.Duration // moving average of a synced write; 0: not known
	leadTransferee       uint64        // noID: no transfer is in progress
	leadTransferDeadline time.Duration

	// removedElsewhere says that another process does not know this one as a member, and no leader was in contact since.
	removedElsewhere bool

	maxBatchEntries int // entries in one message

	output Ready
}

// New returns a member as its disk has it. hard and snap may be nil, for a disk without them. entries may begin before
// the snapshot's index, with the tail that was kept. seed has to differ between the processes that have the same disk
// one after another.
func New(id uint64, hard *wire.HardState, snap *wire.RaftSnapshot, entries []*wire.Entry, seed uint64, now time.Duration) *Node {
	if snap == nil {
		snap = &wire.RaftSnapshot{}
	}
	n := &Node{
		raftLog:         newLog(snap, entries),
		id:              id,
		rng:             rand.New(rand.NewPCG(seed, id)),
		now:             now,
		startedAt:       now,
		leaderContactAt: -electionMax,
		process:         seed,
		contactAt:       now - MaxContactAge,
		progress:        map[uint64]*progress{},
		roundStartedAt:  map[uint64]time.Duration{},
		leaving:         map[uint64]time.Duration{},
		maxBatchEntries: maxEntries,
	}
	if hard != nil {
		n.hardState.Term, n.hardState.Vote = hard.Term, hard.Vote
		n.savedHardState.Term, n.savedHardState.Vote = hard.Term, hard.Vote
	}
	n.resetElectionTimer()
	return n
}

// ID returns the member's identity.
func (n *Node) ID() uint64 { return n.id }

// Leader returns the identity of the term's leader; 0: not known.
func (n *Node) Leader() uint64 { return n.leaderID }

// LeaderContactedSince returns the leader's identity if this member leads, or has received a message of the leader at
// that time or later; else 0.
func (n *Node) LeaderContactedSince(at time.Duration) uint64 {
	if n.state == stateLeader || n.leaderContactAt >= at {
		return n.leaderID
	}
	return 0
}

// IsLeader reports whether this member is the leader.
func (n *Node) IsLeader() bool { return n.state == stateLeader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// send adds a message to the next Ready.
func (n *Node) send(m *wire.RaftMessage) {
	m.From, m.Term = n.id, cmp.Or(m.Term, n.hardState.Term)
	n.stampMessage(m)
	n.output.Messages = append(n.output.Messages, m)
}

// Ready returns what has to be done since the last call.
func (n *Node) Ready() Ready {
	if n.proposed && n.state == stateLeader {
		n.replicateAll()
	}
	n.proposed = false
	ready := n.output
	n.output, n.heartbeatUnsent = Ready{}, false
	if n.hardState.Term != n.savedHardState.Term || n.hardState.Vote != n.savedHardState.Vote {
		n.savedHardState.Term, n.savedHardState.Vote = n.hardState.Term, n.hardState.Vote
		ready.HardState = &wire.HardState{Term: n.hardState.Term, Vote: n.hardState.Vote}
	}
	ready.Snapshot = n.takeSnapshot()
	ready.Entries = n.takeUnsaved()
	ready.CommittedEntries = n.takeCommitted()
	return ready
}
