// Package raft is the agreement of the core on one log, after Ongaro's thesis:
// pre-vote, a leader that steps down once it hears from no majority, reads
// confirmed by a round of contact, changes of one member at a time, snapshots.
//
// Core is a pure state machine. The driver hands it events with the time, then
// takes its Output, writes what has to be on disk, and only then sends the
// messages and calls Stable. A member is known by an identity that it drew when
// its disk was empty, never by its address: a machine that lost its disk has
// lost its vote with it.
package raft

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/wire"
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

	mostEntries = 256     // in one message
	mostBytes   = 1 << 20 // of entries in one message
	mostReads   = 1024    // waiting for a round
)

// What may come of a proposal or a read.
var (
	ErrNotLeader = errors.New("raft: not the leader")
	ErrBusy      = errors.New("raft: too much under way")
	ErrChange    = errors.New("raft: another change of members is under way")
)

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Read is a read that has been confirmed, or refused.
type Read struct {
	Token uint64
	Index uint64 // to be applied before the answer
	OK    bool
}

// Output is what the driver must do, in this order: install the snapshot, store
// the hard state and the entries (dropping all stored ones from the first on),
// sync, call Stable, send the messages, apply what is committed, answer reads.
type Output struct {
	Snapshot  *wire.RaftSnapshot
	Hard      *wire.HardState
	Entries   []*wire.Entry
	Messages  []*wire.Raft
	Committed []*wire.Entry
	Reads     []Read
}

// Empty tells whether there is nothing to do.
func (o *Output) Empty() bool {
	return o.Snapshot == nil && o.Hard == nil && len(o.Entries) == 0 && len(o.Messages) == 0 &&
		len(o.Committed) == 0 && len(o.Reads) == 0
}

// progress is what a leader knows of another member.
type progress struct {
	match, next uint64
	round       uint64 // newest round that it has answered
	heard       time.Duration
	snapshot    time.Duration // when a snapshot was last sent
	sync        time.Duration // that a synced write takes there; 0: not known
}

// conf is the set of members from an index of the log on.
type conf struct {
	index uint64
	peers []*wire.Peer
}

type pendingRead struct {
	token, index, round uint64
}

// Core is one member's part in the protocol.
type Core struct {
	id    uint64
	rng   *rand.Rand
	now   time.Duration
	role  role
	lead  uint64
	hard  wire.HardState
	saved wire.HardState

	snap    *wire.RaftSnapshot // what stands in front of the log
	install *wire.RaftSnapshot // to be handed out
	entries []*wire.Entry      // entries[0] follows the snapshot
	stable  uint64             // last index that is on disk
	unsaved uint64             // first index that has to be written; 0: none
	commit  uint64
	applied uint64
	confs   []conf // ascending by index; the first stands for the snapshot

	born     time.Duration // of the process
	batch    int           // entries in one message, at most
	deadline time.Duration // of the election timer
	heardAt  time.Duration // when a leader was last heard
	votes    map[uint64]bool

	others  map[uint64]*progress
	beatAt  time.Duration
	round   uint64
	roundAt map[uint64]time.Duration // when the last rounds began
	proofAt time.Duration            // begin of the newest round that a majority answered
	reads   []pendingRead
	sync    time.Duration // that a synced write takes here, averaged; 0: not known
	heir    uint64        // the member that is asked to lead; 0: none
	heirFor time.Duration // until then it is waited for

	out Output
}

// New returns a member as its disk has it. A nil snapshot is an empty one.
func New(id uint64, hard *wire.HardState, snap *wire.RaftSnapshot, entries []*wire.Entry, seed uint64, now time.Duration) *Core {
	if snap == nil {
		snap = &wire.RaftSnapshot{}
	}
	c := &Core{
		id: id, rng: rand.New(rand.NewPCG(seed, id)), now: now, snap: snap, entries: entries,
		commit: snap.Index, applied: snap.Index, others: map[uint64]*progress{},
		confs: []conf{{snap.Index, snap.GetPeers().GetPeers()}}, roundAt: map[uint64]time.Duration{},
		heardAt: -electionMax, proofAt: now, born: now, batch: mostEntries,
	}
	if hard != nil {
		c.hard.Term, c.hard.Vote = hard.Term, hard.Vote
		c.saved.Term, c.saved.Vote = hard.Term, hard.Vote
	}
	for _, e := range entries {
		c.noteConf(e)
	}
	c.stable = c.last()
	c.resetTimer()
	return c
}

// ID returns the member's identity.
func (c *Core) ID() uint64 { return c.id }

// Leader returns the leader's identity; 0: unknown.
func (c *Core) Leader() uint64 { return c.lead }

// Leads tells whether this member is the leader.
func (c *Core) Leads() bool { return c.role == leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hard.Term }

// Commit returns the last index known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// Peers returns the members that the newest entry names. It is not to be changed.
func (c *Core) Peers() []*wire.Peer { return c.confs[len(c.confs)-1].peers }

// Settled tells whether the newest change of members is committed.
func (c *Core) Settled() bool { return c.confs[len(c.confs)-1].index <= c.commit }

// Touch is how long ago this member was surely in touch with a majority: as the
// leader by a round, else through the leader.
func (c *Core) Touch(now time.Duration) time.Duration {
	if c.role == leader {
		return now - c.proofAt
	}
	return now - c.heardAt
}

// Lag returns how many entries a member lacks, as far as it has said what it
// has, and since when it has been silent; ok only on the leader.
func (c *Core) Lag(id uint64) (lag uint64, silent time.Duration, ok bool) {
	p := c.others[id]
	if c.role != leader || p == nil {
		return 0, 0, false
	}
	if lag = c.last() - min(p.match, c.last()); p.match == 0 {
		lag = math.MaxUint64
	}
	return lag, c.now - p.heard, true
}

// What stands behind a snapshot before the next is due: whichever comes first.
const (
	dueEntries = 512
	dueBytes   = 16 << 20
)

// Backlog is the number of entries that stand behind the snapshot.
func (c *Core) Backlog() int { return len(c.entries) }

// SnapshotDue tells whether a snapshot is due, so that log and disk stay bounded whatever
// the size of what is proposed.
func (c *Core) SnapshotDue() bool {
	bytes := 0
	for _, e := range c.entries {
		bytes += len(e.Data)
	}
	return len(c.entries) >= dueEntries || bytes >= dueBytes
}

func (c *Core) first() uint64 { return c.snap.Index + 1 }
func (c *Core) last() uint64  { return c.snap.Index + uint64(len(c.entries)) }

// term returns the term of an index; ok is false where it is not in the log.
func (c *Core) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == c.snap.Index:
		return c.snap.Term, true
	case index < c.first() || index > c.last():
		return 0, false
	}
	return c.entries[index-c.first()].Term, true
}

func (c *Core) lastTerm() uint64 {
	t, _ := c.term(c.last())
	return t
}

// promotable tells whether this member votes, in the newest set of members or in one
// that may yet turn out to be in force. One that has been voted out by an entry
// which is not committed may hold what all others lack, and has to lead until it is
// (thesis, 4.2.2); its own vote does not count then.
func (c *Core) promotable() bool {
	for i := len(c.confs) - 1; i >= 0; i-- {
		if slices.ContainsFunc(c.confs[i].peers, func(p *wire.Peer) bool { return p.Id == c.id && p.Voter }) {
			return true
		}
		if c.confs[i].index <= c.commit {
			break
		}
	}
	return false
}

// quorum returns the largest value that a majority of voters has reached; own
// stands for this member.
func (c *Core) quorum(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, p := range c.Peers() {
		switch {
		case !p.Voter:
		case p.Id == c.id:
			values = append(values, own)
		case c.others[p.Id] != nil:
			values = append(values, of(c.others[p.Id]))
		default:
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, func(a, b uint64) int { return cmp.Compare(b, a) })
	return values[len(values)/2]
}

func (c *Core) resetTimer() {
	low, high := electionMin, electionMax
	if c.lead == 0 && c.now-c.born < bootFor {
		low, high = bootMin, bootMax
	}
	c.deadline = c.now + low + time.Duration(c.rng.Int64N(int64(high-low)))
}

func (c *Core) send(m *wire.Raft) {
	m.From, m.Term = c.id, cmp.Or(m.Term, c.hard.Term)
	c.out.Messages = append(c.out.Messages, m)
}

// append adds entries at the end of the log.
func (c *Core) append(entries ...*wire.Entry) {
	for _, e := range entries {
		c.entries = append(c.entries, e)
		c.noteConf(e)
		if c.unsaved == 0 {
			c.unsaved = e.Index
		}
	}
}

func (c *Core) noteConf(e *wire.Entry) {
	if e.Kind != wire.Entry_PEERS {
		return
	}
	var peers wire.Peers
	if proto.Unmarshal(e.Data, &peers) == nil {
		c.confs = append(c.confs, conf{e.Index, peers.Peers})
	}
}

// truncate drops all entries from an index on.
func (c *Core) truncate(from uint64) {
	c.entries = c.entries[:from-c.first()]
	for len(c.confs) > 1 && c.confs[len(c.confs)-1].index >= from {
		c.confs = c.confs[:len(c.confs)-1]
	}
	c.stable = min(c.stable, from-1)
	if c.unsaved == 0 || c.unsaved > from {
		c.unsaved = from
	}
}

// become enters a term as a follower.
func (c *Core) become(term, lead uint64) {
	if term > c.hard.Term {
		c.hard.Term, c.hard.Vote = term, 0
	}
	if c.role == leader {
		c.refuseReads()
	}
	c.role, c.lead, c.heir = follower, lead, 0
	c.resetTimer()
}

func (c *Core) refuseReads() {
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, Read{Token: r.token})
	}
	c.reads = nil
}

// Tick takes the time alone.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.role == leader {
		if now-c.proofAt > electionMax { // it may be cut off, and another may lead
			c.become(c.hard.Term, 0)
			return
		}
		if c.heir != 0 && now >= c.heirFor { // it has not taken the lead
			c.heir = 0
		}
		if now >= c.beatAt {
			c.beat()
		}
		return
	}
	if now < c.deadline {
		return
	}
	c.resetTimer()
	if c.promotable() {
		c.campaign(true, false)
	}
}

// campaign asks for votes, at first only whether they would be given: a member
// that was away would else unseat a leader that all others hear. One to which the
// leader has handed the lead needs no such question.
func (c *Core) campaign(pre, handed bool) {
	c.lead = 0
	c.votes = map[uint64]bool{c.id: true}
	term := c.hard.Term + 1
	if pre {
		c.role = preCandidate
	} else {
		c.role = candidate
		c.hard.Term, c.hard.Vote = term, c.id
	}
	for _, p := range c.Peers() {
		if p.Voter && p.Id != c.id {
			c.send(&wire.Raft{Kind: wire.Raft_VOTE, To: p.Id, Term: term, Index: c.last(), LogTerm: c.lastTerm(), Pre: pre, Handed: handed})
		}
	}
	c.count()
}

// count acts once a majority has given its votes.
func (c *Core) count() {
	yes, all := 0, 0
	for _, p := range c.Peers() {
		if p.Voter {
			all++
			if c.votes[p.Id] {
				yes++
			}
		}
	}
	if yes <= all/2 {
		return
	}
	if c.role == preCandidate {
		c.campaign(false, false)
		return
	}
	c.role, c.lead, c.heir = leader, c.id, 0
	c.others = map[uint64]*progress{}
	c.proofAt = c.now
	clear(c.roundAt)
	// Only an entry of the own term may be committed by count.
	c.append(&wire.Entry{Term: c.hard.Term, Index: c.last() + 1, Kind: wire.Entry_BLANK})
	c.meet()
	c.beat()
}

// meet keeps a progress for each other member.
func (c *Core) meet() {
	for _, p := range c.Peers() {
		if p.Id != c.id && c.others[p.Id] == nil {
			c.others[p.Id] = &progress{next: c.last(), heard: c.now}
		}
	}
	for id := range c.others {
		if !slices.ContainsFunc(c.Peers(), func(p *wire.Peer) bool { return p.Id == id }) {
			delete(c.others, id)
		}
	}
}

// beat begins a round of contact with all others.
func (c *Core) beat() {
	c.round++
	c.roundAt[c.round] = c.now
	delete(c.roundAt, c.round-64)
	c.beatAt = c.now + Heartbeat
	for _, p := range c.Peers() { // in the log's order, so that runs repeat
		if p.Id != c.id {
			c.replicate(p.Id, true)
		}
	}
	c.contact() // alone, it is its own majority
}

// replicate sends a member what it lacks, or with beat a sign of life at least.
func (c *Core) replicate(id uint64, beat bool) {
	p := c.others[id]
	if p == nil {
		return
	}
	prev, ok := c.term(p.next - 1)
	if !ok {
		if c.now-p.snapshot >= time.Second {
			p.snapshot = c.now
			c.send(&wire.Raft{Kind: wire.Raft_SNAPSHOT, To: id, Snapshot: c.snap, Round: c.round, Commit: c.commit})
		} else if beat { // nothing that could be matched, only the proof of contact
			c.send(&wire.Raft{Kind: wire.Raft_APPEND, To: id, Index: c.snap.Index, LogTerm: c.snap.Term, Round: c.round, Commit: c.commit})
		}
		return
	}
	m := &wire.Raft{Kind: wire.Raft_APPEND, To: id, Index: p.next - 1, LogTerm: prev, Commit: c.commit, Round: c.round}
	bytes := 0
	for i := p.next; i <= c.last() && len(m.Entries) < c.batch && bytes < mostBytes; i++ {
		e := c.entries[i-c.first()]
		m.Entries = append(m.Entries, e)
		bytes += len(e.Data)
	}
	if len(m.Entries) == 0 && !beat {
		return
	}
	p.next += uint64(len(m.Entries)) // what gets lost shows in the next round
	c.send(m)
}

func (c *Core) replicateAll() {
	for _, p := range c.Peers() {
		if p.Id != c.id {
			c.replicate(p.Id, false)
		}
	}
}

// Propose adds a command to the log. It is committed once an entry with this
// index and term is; another leader may replace it before.
func (c *Core) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	c.now = now
	if c.role != leader {
		return 0, 0, ErrNotLeader
	}
	if c.heir != 0 { // what is taken now would keep the heir from having all
		return 0, 0, ErrBusy
	}
	if c.last()-c.commit > 4*mostEntries {
		return 0, 0, ErrBusy
	}
	e := &wire.Entry{Term: c.hard.Term, Index: c.last() + 1, Kind: wire.Entry_COMMAND, Data: data}
	c.append(e)
	c.replicateAll()
	return e.Index, e.Term, nil
}

// Change proposes another set of members, which may differ by one voter.
func (c *Core) Change(now time.Duration, peers []*wire.Peer) error {
	c.now = now
	if c.role != leader {
		return ErrNotLeader
	}
	if c.heir != 0 {
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
	c.append(&wire.Entry{Term: c.hard.Term, Index: c.last() + 1, Kind: wire.Entry_PEERS, Data: data})
	c.meet()
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

// Read asks for the place in the log that a read has to see. The answer comes
// in an Output, once a majority has confirmed the lead after this call.
func (c *Core) Read(now time.Duration, token uint64) {
	c.now = now
	t, _ := c.term(c.commit)
	if c.role != leader || t != c.hard.Term || len(c.reads) >= mostReads {
		c.out.Reads = append(c.out.Reads, Read{Token: token})
		return
	}
	c.reads = append(c.reads, pendingRead{token, c.commit, c.round + 1})
	c.beat()
}

// contact confirms what the rounds answered by a majority prove.
func (c *Core) contact() {
	round := c.quorum(c.round, func(p *progress) uint64 { return p.round })
	if at, ok := c.roundAt[round]; ok {
		c.proofAt = max(c.proofAt, at)
	}
	n := 0
	for _, r := range c.reads {
		if r.round <= round {
			c.out.Reads = append(c.out.Reads, Read{Token: r.token, Index: r.index, OK: true})
		} else {
			c.reads[n] = r
			n++
		}
	}
	c.reads = c.reads[:n]
}

// Stable says that all entries up to an index are on disk.
func (c *Core) Stable(index uint64) {
	c.stable = max(c.stable, min(index, c.last()))
	if c.role == leader {
		c.advance()
	}
}

// advance commits what a majority has on disk.
func (c *Core) advance() {
	index := c.quorum(c.stable, func(p *progress) uint64 { return p.match })
	if t, _ := c.term(index); index <= c.commit || t != c.hard.Term {
		return
	}
	c.commit = index
	for _, p := range c.Peers() { // the others' clients wait for it as well
		if p.Id != c.id {
			c.replicate(p.Id, true)
		}
	}
	if c.Settled() && !slices.ContainsFunc(c.Peers(), func(p *wire.Peer) bool { return p.Id == c.id }) {
		c.become(c.hard.Term, 0) // it has been taken out
	}
}

// Compact puts a snapshot of the applied state in front of the log. The entries
// after keep stay for those that lag.
func (c *Core) Compact(index uint64, data []byte) *wire.RaftSnapshot {
	if index > c.applied || index <= c.snap.Index {
		return nil
	}
	term, _ := c.term(index)
	peers := c.confs[0].peers
	n := 0
	for i, f := range c.confs {
		if f.index <= index {
			peers, n = f.peers, i
		}
	}
	c.entries = append([]*wire.Entry(nil), c.entries[index-c.snap.Index:]...)
	c.snap = &wire.RaftSnapshot{Term: term, Index: index, Peers: &wire.Peers{Peers: peers}, Data: data}
	c.confs = append([]conf{{index, peers}}, c.confs[n+1:]...)
	return c.snap
}

// Take returns what has to be done since the last call.
func (c *Core) Take() Output {
	o := c.out
	c.out = Output{}
	o.Snapshot, c.install = c.install, nil
	if c.hard.Term != c.saved.Term || c.hard.Vote != c.saved.Vote {
		c.saved.Term, c.saved.Vote = c.hard.Term, c.hard.Vote
		o.Hard = &wire.HardState{Term: c.hard.Term, Vote: c.hard.Vote}
	}
	if c.unsaved > 0 {
		o.Entries = slices.Clone(c.entries[c.unsaved-c.first():])
		c.unsaved = 0
	}
	if c.commit > c.applied {
		o.Committed = slices.Clone(c.entries[c.applied-c.snap.Index : c.commit-c.snap.Index])
		c.applied = c.commit
	}
	return o
}
