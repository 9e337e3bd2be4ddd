// Package raft is the agreement of the core on one log, after Ongaro's thesis:
// pre-vote, a leader that steps down once it hears from no majority, reads
// confirmed by a round of contact, changes of one member at a time, snapshots.
//
// Node is a pure state machine. The driver hands it events with the time, then
// takes its Output, writes what has to be on disk, and only then sends the
// messages and calls Stable. A member is known by an identity that it drew when
// its disk was empty, never by its address: a machine that lost its disk has
// lost its vote with it.
package raft

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"ivydeck/internal/transport/wire"
)

// Timing of the protocol.
const (
	Heartbeat   = 75 * time.Millisecond
	electionMin = 300 * time.Millisecond
	electionMax = 600 * time.Millisecond

	// A process that has just started waits less: it has nothing to give up, and
	// where a leader is heard, nobody votes for it.
	startElectionMin = 100 * time.Millisecond
	startElectionMax = 300 * time.Millisecond
	startPhase       = 1500 * time.Millisecond

	maxEntries      = 256     // in one message
	maxBytes        = 1 << 20 // of entries in one message
	maxPendingReads = 1024    // waiting for a round
)

// What may come of a proposal or a read.
var (
	ErrNotLeader          = errors.New("raft: not the leader")
	ErrProposalDropped    = errors.New("raft: too much under way")
	ErrMembershipChanging = errors.New("raft: another change of members is under way")
	ErrNotMember          = errors.New("raft: no such member")
	ErrMemberAlive        = errors.New("raft: the member answers: end its process first, it would join again")
	ErrTooFewVoters       = errors.New("raft: fewer voters than wanted would be left, or they could bear less than now")
)

type stateType int

const (
	stateFollower stateType = iota
	statePreCandidate
	stateCandidate
	stateLeader
)

// Ready is what the driver must do, in this order: install the snapshot, store
// the hard state and the entries (dropping all stored ones from the first on),
// sync, call Stable, send the messages, apply what is committed, answer reads.
type Ready struct {
	Snapshot         *wire.RaftSnapshot
	HardState        *wire.HardState
	Entries          []*wire.Entry
	Messages         []*wire.RaftMessage
	CommittedEntries []*wire.Entry
	ReadStates       []ReadState
}

// Empty tells whether there is nothing to do.
func (o *Ready) Empty() bool {
	return o.Snapshot == nil && o.HardState == nil && len(o.Entries) == 0 && len(o.Messages) == 0 &&
		len(o.CommittedEntries) == 0 && len(o.ReadStates) == 0
}

// Node is one member's part in the protocol.
type Node struct {
	id             uint64
	rng            *rand.Rand
	now            time.Duration
	state          stateType
	leaderID       uint64
	hardState      wire.HardState
	savedHardState wire.HardState

	snapshot        *wire.RaftSnapshot // what stands in front of the log
	pendingSnapshot *wire.RaftSnapshot // to be handed out
	base            position           // precedes entries[0]; at most the snapshot's
	entries         []*wire.Entry
	backlogBytes    int    // of the entries behind the snapshot
	proposed        bool   // something was, since the last output
	tailEntries     int    // kept in front of the snapshot, at most
	catchUpEntries  int    // the same, for members that catch up
	stable          uint64 // last index that is on disk
	firstUnsaved    uint64 // first index that has to be written; 0: none
	committed       uint64
	applied         uint64
	memberships     []membership // ascending by index; the first stands for the snapshot

	startedAt        time.Duration // of the process
	maxBatchEntries  int           // entries in one message, at most
	electionDeadline time.Duration // of the election timer
	leaderContactAt  time.Duration // when a leader was last heard
	process          uint64        // tells the stamps of this process from those of the ones before it
	contactAt        time.Duration // see knownContactAt
	campaignAt       time.Duration // when votes of the current term were asked for
	votes            map[uint64]bool

	progress             map[uint64]*progress
	heartbeatAt          time.Duration
	heartbeatRound       uint64
	heartbeatUnsent      bool                     // the newest round's messages have not been taken by the driver
	roundStartedAt       map[uint64]time.Duration // when the last rounds began
	quorumContactAt      time.Duration            // begin of the newest round, or of the campaign, that a majority answered
	leaderSince          time.Duration            // when it was elected
	pendingReads         []pendingRead
	syncTime             time.Duration            // that a synced write takes here, averaged; 0: not known
	leadTransferee       uint64                   // the member that is asked to lead; 0: none
	leadTransferDeadline time.Duration            // until then it is waited for
	catchUp              catchUp                  // of learners
	leaving              map[uint64]time.Duration // when members that are about to end have last said so
	removedElsewhere     bool                     // another process has said that this one is no member, and no leader has been heard since

	output Ready
}

// New returns a member as its disk has it. A nil snapshot is an empty one. Entries may begin in front of the snapshot's
// index, with the tail that was kept. The seed has to differ between the processes that have the same disk one after
// another.
func New(id uint64, hard *wire.HardState, snap *wire.RaftSnapshot, entries []*wire.Entry, seed uint64, now time.Duration) *Node {
	if snap == nil {
		snap = &wire.RaftSnapshot{}
	}
	c := &Node{
		id: id, rng: rand.New(rand.NewPCG(seed, id)), now: now, snapshot: snap, tailEntries: tailEntries, catchUpEntries: catchUpEntries,
		committed: snap.Index, applied: snap.Index, progress: map[uint64]*progress{},
		memberships: []membership{{snap.Index, snap.GetPeers().GetPeers()}}, roundStartedAt: map[uint64]time.Duration{}, leaving: map[uint64]time.Duration{},
		leaderContactAt: -electionMax, contactAt: now - MaxContactAge, process: seed, startedAt: now, maxBatchEntries: maxEntries,
	}
	if hard != nil {
		c.hardState.Term, c.hardState.Vote = hard.Term, hard.Vote
		c.savedHardState.Term, c.savedHardState.Vote = hard.Term, hard.Vote
	}
	c.load(entries)
	c.resetTimer()
	return c
}

// ID returns the member's identity.
func (n *Node) ID() uint64 { return n.id }

// Leader returns the leader's identity; 0: unknown.
func (n *Node) Leader() uint64 { return n.leaderID }

// LeaderContactedSince returns the leader's identity where this member leads, or has heard the leader at that time or later;
// 0: not so.
func (n *Node) LeaderContactedSince(at time.Duration) uint64 {
	if n.state == stateLeader || n.leaderContactAt >= at {
		return n.leaderID
	}
	return 0
}

// IsLeader tells whether this member is the leader.
func (n *Node) IsLeader() bool { return n.state == stateLeader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Committed returns the last index known to be committed.
func (n *Node) Committed() uint64 { return n.committed }

// Peers returns the members that the newest entry names. It is not to be changed.
func (n *Node) Peers() []*wire.Peer { return n.memberships[len(n.memberships)-1].peers }

// MembershipCommitted tells whether the newest change of members is committed.
func (n *Node) MembershipCommitted() bool {
	return n.memberships[len(n.memberships)-1].index <= n.committed
}

func (n *Node) send(m *wire.RaftMessage) {
	m.From, m.Term = n.id, cmp.Or(m.Term, n.hardState.Term)
	n.stampMessage(m)
	n.output.Messages = append(n.output.Messages, m)
}

// Propose proposes another set of members, which may differ by one voter.
func (n *Node) ProposeMembership(now time.Duration, peers []*wire.Peer) error {
	n.now = now
	if n.state != stateLeader {
		return ErrNotLeader
	}
	if n.leadTransferee != 0 {
		return ErrMembershipChanging
	}
	// Without an entry of its own term, a leader may not know of a change that
	// the one before it committed, and two changes from one set may share no
	// majority.
	if t, _ := n.term(n.committed); !n.MembershipCommitted() || t != n.hardState.Term {
		return ErrMembershipChanging
	}
	if voterDistance(n.Peers(), peers) > 1 || len(peers) == 0 {
		return errors.New("raft: more than one voter changes")
	}
	data, err := proto.Marshal(&wire.Peers{Peers: peers})
	if err != nil {
		return err
	}
	n.append(&wire.Entry{Term: n.hardState.Term, Index: n.last() + 1, Kind: wire.Entry_MEMBERSHIP, Data: data})
	n.resetProgress()
	n.replicateAll()
	return nil
}

// voterDistance counts the voters that are in one set alone.
func voterDistance(a, b []*wire.Peer) int {
	diff := map[uint64]int{}
	for _, p := range a {
		if p.Voter {
			diff[p.Id]++
		}
	}
	for _, p := range b {
		if p.Voter {
			diff[p.Id]--
		}
	}
	n := 0
	for _, d := range diff {
		if d != 0 {
			n++
		}
	}
	return n
}

// Ready returns what has to be done since the last call.
func (n *Node) Ready() Ready {
	if n.proposed && n.state == stateLeader {
		n.replicateAll()
	}
	n.proposed = false
	o := n.output
	n.output, n.heartbeatUnsent = Ready{}, false
	o.Snapshot, n.pendingSnapshot = n.pendingSnapshot, nil
	if n.hardState.Term != n.savedHardState.Term || n.hardState.Vote != n.savedHardState.Vote {
		n.savedHardState.Term, n.savedHardState.Vote = n.hardState.Term, n.hardState.Vote
		o.HardState = &wire.HardState{Term: n.hardState.Term, Vote: n.hardState.Vote}
	}
	if n.firstUnsaved > 0 {
		o.Entries = slices.Clone(n.entries[n.firstUnsaved-n.first():])
		n.firstUnsaved = 0
	}
	if n.committed > n.applied {
		o.CommittedEntries = slices.Clone(n.entries[n.applied-n.base.index : n.committed-n.base.index])
		n.applied = n.committed
	}
	return o
}
