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
	bootMin = 100 * time.Millisecond
	bootMax = 300 * time.Millisecond
	bootFor = 1500 * time.Millisecond

	maxEntries      = 256     // in one message
	maxBytes        = 1 << 20 // of entries in one message
	maxPendingReads = 1024    // waiting for a round
)

// What may come of a proposal or a read.
var (
	ErrNotLeader  = errors.New("raft: not the leader")
	ErrBusy       = errors.New("raft: too much under way")
	ErrChange     = errors.New("raft: another change of members is under way")
	ErrNotMember  = errors.New("raft: no such member")
	ErrMemberRuns = errors.New("raft: the member answers: end its process first, it would join again")
	ErrNeeded     = errors.New("raft: fewer voters than wanted would be left, or they could bear less than now")
)

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Output is what the driver must do, in this order: install the snapshot, store
// the hard state and the entries (dropping all stored ones from the first on),
// sync, call Stable, send the messages, apply what is committed, answer reads.
type Output struct {
	Snapshot  *wire.RaftSnapshot
	Hard      *wire.HardState
	Entries   []*wire.Entry
	Messages  []*wire.RaftMessage
	Committed []*wire.Entry
	Reads     []Read
}

// Empty tells whether there is nothing to do.
func (o *Output) Empty() bool {
	return o.Snapshot == nil && o.Hard == nil && len(o.Entries) == 0 && len(o.Messages) == 0 &&
		len(o.Committed) == 0 && len(o.Reads) == 0
}

// Node is one member's part in the protocol.
type Node struct {
	id       uint64
	rng      *rand.Rand
	now      time.Duration
	role     role
	leaderID uint64
	hard     wire.HardState
	saved    wire.HardState

	snap            *wire.RaftSnapshot // what stands in front of the log
	pendingSnapshot *wire.RaftSnapshot // to be handed out
	base            position           // precedes entries[0]; at most the snapshot's
	entries         []*wire.Entry
	backlogBytes    int    // of the entries behind the snapshot
	proposed        bool   // something was, since the last output
	tailEntries     int    // kept in front of the snapshot, at most
	catchUpEntries  int    // the same, for members that catch up
	stable          uint64 // last index that is on disk
	unsaved         uint64 // first index that has to be written; 0: none
	commit          uint64
	applied         uint64
	memberships     []membership // ascending by index; the first stands for the snapshot

	startedAt       time.Duration // of the process
	batch           int           // entries in one message, at most
	deadline        time.Duration // of the election timer
	leaderContactAt time.Duration // when a leader was last heard
	process         uint64        // tells the stamps of this process from those of the ones before it
	contactAt       time.Duration // see knownContactAt
	campaignAt      time.Duration // when votes of the current term were asked for
	votes           map[uint64]bool

	progress         map[uint64]*progress
	heartbeatAt      time.Duration
	round            uint64
	roundUnsent      bool                     // the newest round's messages have not been taken by the driver
	roundStartedAt   map[uint64]time.Duration // when the last rounds began
	quorumContactAt  time.Duration            // begin of the newest round, or of the campaign, that a majority answered
	leaderSince      time.Duration            // when it was elected
	reads            []pendingRead
	syncTime         time.Duration            // that a synced write takes here, averaged; 0: not known
	transferTarget   uint64                   // the member that is asked to lead; 0: none
	transferDeadline time.Duration            // until then it is waited for
	catchUp          catchUp                  // of learners
	departing        map[uint64]time.Duration // when members that are about to end have last said so
	expelled         bool                     // another process has said that this one is no member, and no leader has been heard since

	out Output
}

// New returns a member as its disk has it. A nil snapshot is an empty one. Entries may begin in front of the snapshot's
// index, with the tail that was kept. The seed has to differ between the processes that have the same disk one after
// another.
func New(id uint64, hard *wire.HardState, snap *wire.RaftSnapshot, entries []*wire.Entry, seed uint64, now time.Duration) *Node {
	if snap == nil {
		snap = &wire.RaftSnapshot{}
	}
	c := &Node{
		id: id, rng: rand.New(rand.NewPCG(seed, id)), now: now, snap: snap, tailEntries: tailEntries, catchUpEntries: catchUpEntries,
		commit: snap.Index, applied: snap.Index, progress: map[uint64]*progress{},
		memberships: []membership{{snap.Index, snap.GetPeers().GetPeers()}}, roundStartedAt: map[uint64]time.Duration{}, departing: map[uint64]time.Duration{},
		leaderContactAt: -electionMax, contactAt: now - MaxContactAge, process: seed, startedAt: now, batch: maxEntries,
	}
	if hard != nil {
		c.hard.Term, c.hard.Vote = hard.Term, hard.Vote
		c.saved.Term, c.saved.Vote = hard.Term, hard.Vote
	}
	c.load(entries)
	c.resetTimer()
	return c
}

// ID returns the member's identity.
func (c *Node) ID() uint64 { return c.id }

// Leader returns the leader's identity; 0: unknown.
func (c *Node) Leader() uint64 { return c.leaderID }

// LeaderHeardSince returns the leader's identity where this member leads, or has heard the leader at that time or later;
// 0: not so.
func (c *Node) LeaderHeardSince(at time.Duration) uint64 {
	if c.role == leader || c.leaderContactAt >= at {
		return c.leaderID
	}
	return 0
}

// Leads tells whether this member is the leader.
func (c *Node) Leads() bool { return c.role == leader }

// Term returns the current term.
func (c *Node) Term() uint64 { return c.hard.Term }

// Commit returns the last index known to be committed.
func (c *Node) Commit() uint64 { return c.commit }

// Peers returns the members that the newest entry names. It is not to be changed.
func (c *Node) Peers() []*wire.Peer { return c.memberships[len(c.memberships)-1].peers }

// Settled tells whether the newest change of members is committed.
func (c *Node) Settled() bool { return c.memberships[len(c.memberships)-1].index <= c.commit }

func (c *Node) send(m *wire.RaftMessage) {
	m.From, m.Term = c.id, cmp.Or(m.Term, c.hard.Term)
	c.stampMessage(m)
	c.out.Messages = append(c.out.Messages, m)
}

// Change proposes another set of members, which may differ by one voter.
func (c *Node) Change(now time.Duration, peers []*wire.Peer) error {
	c.now = now
	if c.role != leader {
		return ErrNotLeader
	}
	if c.transferTarget != 0 {
		return ErrChange
	}
	// Without an entry of its own term, a leader may not know of a change that
	// the one before it committed, and two changes from one set may share no
	// majority.
	if t, _ := c.term(c.commit); !c.Settled() || t != c.hard.Term {
		return ErrChange
	}
	if voterDistance(c.Peers(), peers) > 1 || len(peers) == 0 {
		return errors.New("raft: more than one voter changes")
	}
	data, err := proto.Marshal(&wire.Peers{Peers: peers})
	if err != nil {
		return err
	}
	c.append(&wire.Entry{Term: c.hard.Term, Index: c.last() + 1, Kind: wire.Entry_MEMBERSHIP, Data: data})
	c.trackPeers()
	c.replicateAll()
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

// Take returns what has to be done since the last call.
func (c *Node) Take() Output {
	if c.proposed && c.role == leader {
		c.replicateAll()
	}
	c.proposed = false
	o := c.out
	c.out, c.roundUnsent = Output{}, false
	o.Snapshot, c.pendingSnapshot = c.pendingSnapshot, nil
	if c.hard.Term != c.saved.Term || c.hard.Vote != c.saved.Vote {
		c.saved.Term, c.saved.Vote = c.hard.Term, c.hard.Vote
		o.Hard = &wire.HardState{Term: c.hard.Term, Vote: c.hard.Vote}
	}
	if c.unsaved > 0 {
		o.Entries = slices.Clone(c.entries[c.unsaved-c.first():])
		c.unsaved = 0
	}
	if c.commit > c.applied {
		o.Committed = slices.Clone(c.entries[c.applied-c.base.index : c.commit-c.base.index])
		c.applied = c.commit
	}
	return o
}
