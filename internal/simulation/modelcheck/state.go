package modelcheck

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

// member is a quorum member: its disk, and its raft.Node while it runs. States share a member; apply clones it before it
// performs an event there.
type member struct {
	incarnation uint64 // number of lost disks; part of the member's identity
	processes   uint64 // number of process starts
	hardState   *wire.HardState
	announced   *wire.HardState // term and vote that may have been sent to others; differs from hardState if Bounds.LoseVotes is set
	snapshot    *wire.RaftSnapshot
	entries     []*wire.Entry
	node        *raft.Node // nil while the process is down
	clock       time.Duration
	applied     uint64
	digest      uint64            // digest of the applied entries
	readIndexes []uint64          // minimum index of each read, by token
	proposed    map[uint64]uint64 // terms of pending proposals, by index
}

// history holds the past events that the properties refer to.
type history struct {
	leaders   map[uint64]uint64 // identity of the leader, by term
	committed []appliedEntry    // by index, from index 2 on
	acked     uint64            // highest index acknowledged to a client
}

// appliedEntry is an entry that some member has applied.
type appliedEntry struct {
	term        uint64
	data        string
	appliedTerm uint64 // term of the first member to apply it
	digest      uint64 // digest of the state machine after the entry
}

// state is the state of all members and of the network between them.
type state struct {
	members   []*member
	links     [][]*wire.RaftMessage // messages in flight, indexed by from*len(members)+to
	history   *history
	bounds    Bounds // limits for further events; an event decreases its count
	violation string
}

const (
	maxMembers = 8

	// startClock is the time at which members start. It is so large that a zero time is not recent.
	startClock = time.Minute

	// leaderTimeout is the time without contact after which a voter no longer rejects other candidates.
	leaderTimeout = 4 * raft.Heartbeat
)

// identity returns the id of a member, which encodes its number and the incarnation of its disk.
func identity(n int, incarnation uint64) uint64 { return uint64(n+1) + maxMembers*incarnation }

// memberOf returns the member number of an identity.
func memberOf(id uint64) int { return int((id - 1) % maxMembers) }

func newState(b Bounds) *state {
	peers := &wire.Peers{}
	for i := range b.Members {
		peers.Peers = append(peers.Peers, &wire.Peer{Id: identity(i, 0), Address: strconv.Itoa(i), Voter: true})
	}
	s := &state{history: &history{leaders: map[uint64]uint64{}}, bounds: b, links: make([][]*wire.RaftMessage, b.Members*b.Members)}
	for i := range b.Members {
		m := &member{hardState: &wire.HardState{Term: 1}, snapshot: &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}, clock: startClock}
		m.start(i, b.Batch)
		s.members = append(s.members, m)
	}
	return s
}

// start starts the member's process from its disk.
func (m *member) start(n, batch int) {
	m.processes++
	m.node = raft.New(identity(n, m.incarnation), m.hardState, m.snapshot, slices.Clone(m.entries), m.processes, m.clock)
	m.node.SetMaxBatchEntries(batch)
	m.node.SetRetention(0, 0) // forces snapshots although logs are short
	m.announced = m.hardState
	m.applied, m.digest = m.snapshot.GetIndex(), decodeDigest(m.snapshot.GetData())
	m.readIndexes, m.proposed = nil, map[uint64]uint64{}
}

// clone copies the member and all mutable state that it refers to.
func (m *member) clone() *member {
	c := *m
	if c.node != nil {
		c.node = c.node.Clone()
	}
	c.entries, c.readIndexes, c.proposed = slices.Clone(c.entries), slices.Clone(c.readIndexes), maps.Clone(c.proposed)
	return &c
}

// hasEntry reports whether the member's disk holds the entry with an index and term, or a snapshot that covers the index.
func (m *member) hasEntry(index, term uint64) bool {
	if index <= m.snapshot.GetIndex() {
		return true
	}
	position := index - m.snapshot.GetIndex() - 1
	return position < uint64(len(m.entries)) && m.entries[position].Term == term
}

// last returns the index and term of the last entry on the member's disk.
func (m *member) last() (index, term uint64) {
	if n := len(m.entries); n > 0 {
		return m.entries[n-1].Index, m.entries[n-1].Term
	}
	return m.snapshot.GetIndex(), m.snapshot.GetTerm()
}

// isLeader reports whether the member runs and considers itself leader.
func (m *member) isLeader() bool { return m.node != nil && m.node.IsLeader() }

// current returns the member with an identity; ok is false if that incarnation of its disk is lost.
func (s *state) current(id uint64) (m *member, ok bool) {
	n := memberOf(id)
	if n >= len(s.members) {
		return nil, false
	}
	m = s.members[n]
	return m, identity(n, m.incarnation) == id
}

// mutableHistory replaces the history, which other states may share, by a copy and returns the copy.
func (s *state) mutableHistory() *history {
	h := s.history
	s.history = &history{leaders: maps.Clone(h.leaders), committed: slices.Clone(h.committed), acked: h.acked}
	return s.history
}

// withinBounds reports whether no running member exceeds the highest term.
func (s *state) withinBounds() bool {
	for _, m := range s.members {
		if m.node != nil && m.node.Term() > s.bounds.Terms {
			return false
		}
	}
	return true
}
