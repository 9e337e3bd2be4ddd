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
	// Heartbeat is the interval between a leader's heartbeat rounds. It is a quarter of minElectionTimeout, so that three
	// successive heartbeats may be lost.
	Heartbeat = 75 * time.Millisecond

	// Election timeouts are drawn at random between these bounds (thesis, 3.4).
	minElectionTimeout = 300 * time.Millisecond
	maxElectionTimeout = 600 * time.Millisecond

	// During startupPhase, a process that knows no leader uses these shorter election timeouts. They do not disrupt a
	// leader, because members in contact with it reject pre-votes.
	minStartupElectionTimeout = 100 * time.Millisecond
	maxStartupElectionTimeout = 300 * time.Millisecond
	startupPhase              = 1500 * time.Millisecond

	maxMessageEntries = 256                   // maximum number of entries per message
	maxMessageBytes   = 1 << 20               // a message that has this many bytes of entries gets no more
	maxUncommitted    = 4 * maxMessageEntries // uncommitted entries above which proposals are dropped
	maxPendingReads   = 1024                  // further reads are rejected

	// noID is a value that is not the identity of any member.
	noID uint64 = 0
)

// The errors of proposals and membership changes. The log is unchanged if one of them is returned.
var (
	// ErrNotLeader reports that this member is not the leader: see Node.Leader.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrProposalDropped reports that too many entries are uncommitted, or that a leadership transfer is in progress.
	ErrProposalDropped = errors.New("raft: proposal dropped")
	// ErrMembershipChanging reports that a membership change or a leadership transfer is in progress, or that the leader
	// has not committed an entry of its term yet.
	ErrMembershipChanging = errors.New("raft: another membership change is in progress")
	// ErrNotMember reports that no member has the identity.
	ErrNotMember = errors.New("raft: no such member")
	// ErrMemberAlive reports that the member to be removed still responds. It would join again after a removal.
	ErrMemberAlive = errors.New("raft: the member is alive: end its process first, it would join again")
	// ErrTooFewVoters reports that a removal would leave fewer voters than wanted, or would reduce the tolerated losses.
	ErrTooFewVoters = errors.New("raft: too few voters would be left, or they would tolerate fewer losses than now")

	errInvalidMembership = errors.New("raft: a membership must have a member and differ from the last one by at most one voter")
)

// stateType is the role of a member in its term.
type stateType int

const (
	stateFollower     stateType = iota
	statePreCandidate           // requests pre-votes, without a change of its term
	stateCandidate
	stateLeader
)

// Ready contains the work for the driver, to be done in the order of the fields. Before it sends any message, the driver
// must sync the saved data and call StableTo: see the package comment. The driver must not modify the contents.
type Ready struct {
	Snapshot         *wire.RaftSnapshot  // to be saved in place of the state and the log; nil if there is none
	HardState        *wire.HardState     // to be saved; nil if unchanged
	Entries          []*wire.Entry       // to be saved in place of all saved entries from the first one's index on
	Messages         []*wire.RaftMessage // to be sent after the sync
	CommittedEntries []*wire.Entry       // to be applied in order, each exactly once
	ReadStates       []ReadState         // to be answered after CommittedEntries are applied
}

// Empty reports whether there is no work for the driver.
func (r *Ready) Empty() bool {
	return r.Snapshot == nil && r.HardState == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.CommittedEntries) == 0 && len(r.ReadStates) == 0
}

// Node is a quorum member, as a pure state machine. It is not safe for concurrent use.
type Node struct {
	raftLog

	id                 uint64
	rng                *rand.Rand
	now                time.Duration // time of the last event
	startedAt          time.Duration // time at which the process started
	state              stateType
	leaderID           uint64         // noID if unknown
	hardState          wire.HardState // term and vote
	savedHardState     wire.HardState // as last returned by Ready
	hasUnsentProposals bool           // entries have been proposed since the last Ready

	// Election.
	electionDeadline  time.Duration
	leaderContactAt   time.Duration // time of the last message from a leader
	campaignStartedAt time.Duration // time at which this member last requested votes in an election
	votes             map[uint64]bool

	// Quorum contact: see quorum_contact.go.
	processID uint64        // distinguishes this process's stamps from those of earlier processes
	contactAt time.Duration // all changes acknowledged before this time are in the state: see knownContactAt

	// Leader only.
	progress        map[uint64]*progress // of the other members, by identity
	heartbeatAt     time.Duration        // time of the next heartbeat round
	heartbeatRound  uint64
	heartbeatUnsent bool                     // Ready has not returned the messages of the newest round yet
	roundStartedAt  map[uint64]time.Duration // start times of the most recent rounds
	quorumContactAt time.Duration            // start of the newest heartbeat round, or of the campaign, that a majority responded to
	leaderSince     time.Duration            // time of this leader's election
	pendingReads    []pendingRead
	catchUp         catchUpTracker           // index that a learner must reach to be promoted
	leaving         map[uint64]time.Duration // time of each leaving member's last leave request

	// Leadership transfer: see leadership_transfer.go.
	syncTime         time.Duration // moving average of this member's synced writes; zero if unknown
	transferee       uint64        // noID if no transfer is in progress
	transferDeadline time.Duration

	// rejectedAsNonMember is true if a member has rejected a message because this process is not in its membership, and no
	// leader has been in contact since.
	rejectedAsNonMember bool

	maxBatchEntries int // maximum number of entries per message

	output Ready // collected for the next call of Ready
}

// New returns a member with the state that is stored on its disk. hard and snap are nil if the disk has none. entries may
// begin before the snapshot's index, with the retained tail. Successive processes with the same disk must use different
// seeds, which also distinguish their stamps.
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
		leaderContactAt: -maxElectionTimeout,
		processID:       seed,
		contactAt:       now - MaxContactAge,
		progress:        map[uint64]*progress{},
		roundStartedAt:  map[uint64]time.Duration{},
		leaving:         map[uint64]time.Duration{},
		maxBatchEntries: maxMessageEntries,
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

// Leader returns the identity of the current term's leader, or zero if it is unknown.
func (n *Node) Leader() uint64 { return n.leaderID }

// LeaderContactedSince returns the leader's identity if this member is the leader or has received a message from it at
// the given time or later, and otherwise zero.
func (n *Node) LeaderContactedSince(at time.Duration) uint64 {
	if n.state == stateLeader || n.leaderContactAt >= at {
		return n.leaderID
	}
	return 0
}

// IsLeader reports whether this member is the leader.
func (n *Node) IsLeader() bool { return n.state == stateLeader }

// Term returns the current term, which may not be persisted yet.
func (n *Node) Term() uint64 { return n.hardState.Term }

// send adds a message to the next Ready.
func (n *Node) send(m *wire.RaftMessage) {
	m.From, m.Term = n.id, cmp.Or(m.Term, n.hardState.Term)
	n.stampMessage(m)
	n.output.Messages = append(n.output.Messages, m)
}

// Ready returns the work that has accumulated since the last call.
func (n *Node) Ready() Ready {
	if n.hasUnsentProposals && n.state == stateLeader {
		n.replicateAll()
	}
	n.hasUnsentProposals = false
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
