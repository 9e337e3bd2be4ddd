package modelcheck

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

// member is a quorum member: its disk, and its raft.Node while it runs. It is shared between states until
// an event changes it.
type member struct {
	incarnation uint64 // of its disk: its identity is its number and this
	processes   uint64 // that it has had so far
	hard        *wire.HardState
	announced   *wire.HardState // the term and vote that it has announced to others; hard, unless votes are lost on purpose
	snapshot    *wire.RaftSnapshot
	entries     []*wire.Entry
	node        *raft.Node // nil: down
	clock       time.Duration
	applied     uint64
	digest      uint64            // of all that is applied
	readIndexes []uint64          // index that each read has to include, by token
	proposed    map[uint64]uint64 // terms of its pending proposals, by index
}

// history is the part of the past that the properties refer to.
type history struct {
	leaders   map[uint64]uint64 // identity of the leader, by term
	committed []appliedEntry    // from index 2 on
	acked     uint64            // highest index acknowledged to a client
}

// appliedEntry is an entry that some member has applied.
type appliedEntry struct {
	term   uint64
	data   string
	in     uint64 // the term in which it was first applied
	digest uint64 // of the state machine after it
}

// state is one state of all members and of the network between them.
type state struct {
	members   []*member
	links     [][]*wire.RaftMessage // by link, from*members+to
	history   *history
	bounds    Bounds // of the events that may still occur
	violation string
}

const (
	maxMembers = 8

	// startClock is far enough from zero that a zero time is not recent.
	startClock = time.Minute

	// leaderTimeout is the time after which a voter without contact no longer follows a leader.
	leaderTimeout = 4 * raft.Heartbeat
)

// identity is the id of a member: its number and the incarnation of its disk.
func identity(n int, incarnation uint64) uint64 { return uint64(n+1) + maxMembers*incarnation }

// memberOf is the number in an identity.
func memberOf(id uint64) int { return int((id - 1) % maxMembers) }

func newState(b Bounds) *state {
	peers := &wire.Peers{}
	for i := range b.Members {
		peers.Peers = append(peers.Peers, &wire.Peer{Id: identity(i, 0), Address: strconv.Itoa(i), Voter: true})
	}
	s := &state{history: &history{leaders: map[uint64]uint64{}}, bounds: b, links: make([][]*wire.RaftMessage, b.Members*b.Members)}
	for i := range b.Members {
		m := &member{hard: &wire.HardState{Term: 1}, snapshot: &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}, clock: startClock}
		m.start(i, b.Batch)
		s.members = append(s.members, m)
	}
	return s
}

// start starts the member's process from its disk.
func (m *member) start(n, batch int) {
	m.processes++
	m.node = raft.New(identity(n, m.incarnation), m.hard, m.snapshot, slices.Clone(m.entries), m.processes, m.clock)
	m.node.SetMaxBatchEntries(batch)
	m.node.SetRetention(0, 0) // so that short logs need snapshots
	m.announced = m.hard
	m.applied, m.digest = m.snapshot.GetIndex(), decodeDigest(m.snapshot.GetData())
	m.readIndexes, m.proposed = nil, map[uint64]uint64{}
}

// clone copies the member, with what an event may change.
func (m *member) clone() *member {
	c := *m
	if c.node != nil {
		c.node = c.node.Clone()
	}
	c.entries, c.readIndexes, c.proposed = slices.Clone(c.entries), slices.Clone(c.readIndexes), maps.Clone(c.proposed)
	return &c
}

// hasEntry reports whether the member's disk has the entry of an index and term, or a snapshot past it.
func (m *member) hasEntry(index, term uint64) bool {
	if index <= m.snapshot.GetIndex() {
		return true
	}
	at := index - m.snapshot.GetIndex() - 1
	return at < uint64(len(m.entries)) && m.entries[at].Term == term
}

// last is the index of the newest entry on the member's disk, and its term.
func (m *member) last() (index, term uint64) {
	if n := len(m.entries); n > 0 {
		return m.entries[n-1].Index, m.entries[n-1].Term
	}
	return m.snapshot.GetIndex(), m.snapshot.GetTerm()
}

// isLeader reports whether the member runs and considers itself leader.
func (m *member) isLeader() bool { return m.node != nil && m.node.IsLeader() }

// current returns the member that has an identity now; ok is false where its disk is lost.
func (s *state) current(id uint64) (m *member, ok bool) {
	n := memberOf(id)
	if n >= len(s.members) {
		return nil, false
	}
	m = s.members[n]
	return m, identity(n, m.incarnation) == id
}

// ownHistory gives the state its own copy of the history.
func (s *state) ownHistory() *history {
	h := s.history
	s.history = &history{leaders: maps.Clone(h.leaders), committed: slices.Clone(h.committed), acked: h.acked}
	return s.history
}

// withinBounds reports whether no member has passed the newest term.
func (s *state) withinBounds() bool {
	for _, m := range s.members {
		if m.node != nil && m.node.Term() > s.bounds.Terms {
			return false
		}
	}
	return true
}
