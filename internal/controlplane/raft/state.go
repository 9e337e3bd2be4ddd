package raft

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// Clone returns a copy that goes its own way, for those who look at what could happen next. It is to be called once
// Take has nothing more. What is drawn at random is not drawn alike by the two.
func (c *Node) Clone() *Node {
	d := &Node{
		id: c.id, rng: rand.New(rand.NewPCG(c.id, c.hard.Term)), now: c.now, role: c.role, leaderID: c.leaderID,
		snap: c.snap, base: c.base, entries: slices.Clone(c.entries), backlogBytes: c.backlogBytes, tailEntries: c.tailEntries, catchUpEntries: c.catchUpEntries, proposed: c.proposed, stable: c.stable, unsaved: c.unsaved, commit: c.commit, applied: c.applied,
		memberships: slices.Clone(c.memberships), startedAt: c.startedAt, batch: c.batch, deadline: c.deadline, leaderContactAt: c.leaderContactAt,
		process: c.process, contactAt: c.contactAt, campaignAt: c.campaignAt,
		votes: maps.Clone(c.votes), progress: make(map[uint64]*progress, len(c.progress)), heartbeatAt: c.heartbeatAt, round: c.round,
		roundStartedAt: maps.Clone(c.roundStartedAt), quorumContactAt: c.quorumContactAt, leaderSince: c.leaderSince, reads: slices.Clone(c.reads), syncTime: c.syncTime, transferTarget: c.transferTarget, transferDeadline: c.transferDeadline,
		catchUp: c.catchUp, departing: maps.Clone(c.departing), expelled: c.expelled,
	}
	d.hard.Term, d.hard.Vote = c.hard.Term, c.hard.Vote
	d.saved.Term, d.saved.Vote = c.saved.Term, c.saved.Vote
	for id, p := range c.progress {
		copied := *p
		d.progress[id] = &copied
	}
	return d
}

// Batch sets how many entries go in one message, at most; 0: as many as usual. Small ones reach orders of events that
// a busy core of large ones has, with a few entries.
func (c *Node) Batch(n int) {
	if n > 0 {
		c.batch = n
	}
}

// Campaign makes this member ask for votes at once, without the question ahead of it. That question spares a core
// needless elections; what is safe must not hang on it.
func (c *Node) Campaign(now time.Duration) {
	c.now = now
	if c.role != leader && c.promotable() {
		c.campaign(false, false)
	}
}

// AppendState appends what decides of this member's future, and nothing else: two members with the same bytes answer
// alike to all that may come. Times count only by the bounds that they are past of. rename gives identities their
// places, so that members which differ by name alone can be told to be alike.
func (c *Node) AppendState(b []byte, rename func(uint64) uint64) []byte {
	u := func(x uint64) { b = binary.AppendUvarint(b, x) }
	flag := func(f bool) {
		if f {
			u(1)
		} else {
			u(0)
		}
	}
	u(rename(c.id))
	u(uint64(c.role))
	u(rename(c.leaderID))
	u(c.hard.Term)
	u(rename(c.hard.Vote))
	u(c.stable)
	u(c.commit)
	u(c.applied)
	flag(c.now-c.leaderContactAt < electionMin)
	flag(c.now >= c.deadline)
	u(c.snap.Index)
	u(c.snap.Term)
	b = appendPeers(b, c.snap.GetPeers().GetPeers(), rename)
	u(c.base.index)
	u(c.base.term)
	u(uint64(len(c.entries)))
	for _, e := range c.entries {
		b = AppendEntry(b, e, rename)
	}
	if c.role == preCandidate || c.role == candidate {
		b = appendIDs(b, slices.Collect(maps.Keys(c.votes)), rename)
	}
	if c.role != leader {
		return b
	}
	flag(c.isolated())
	u(c.round)
	for r := c.round; r > 0 && c.round-r < 4; r-- { // what an answer to one of them would prove
		at, ok := c.roundStartedAt[r]
		flag(ok && c.now-at <= electionMax)
	}
	u(rename(c.transferTarget))
	ids := slices.SortedFunc(maps.Keys(c.progress), func(x, y uint64) int { return cmp.Compare(rename(x), rename(y)) })
	for _, id := range ids {
		p := c.progress[id]
		u(rename(id))
		u(p.match)
		u(p.next)
		u(p.round)
		flag(c.now-p.lastContact > freshLag)
		u(p.transfer.GetIndex())
		flag(c.now >= p.transferRetryAt)
		flag(c.now-p.lastContact >= transferSilence)
	}
	u(uint64(len(c.reads)))
	for _, r := range c.reads {
		u(r.token)
		u(r.index)
		u(r.round)
	}
	return b
}

// AppendEntry does the same for an entry.
func AppendEntry(b []byte, e *wire.Entry, rename func(uint64) uint64) []byte {
	b = binary.AppendUvarint(b, e.Term)
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, uint64(e.Kind))
	if e.Kind == wire.Entry_MEMBERSHIP {
		var peers wire.Peers
		if proto.Unmarshal(e.Data, &peers) == nil {
			return appendPeers(b, peers.Peers, rename)
		}
	}
	b = binary.AppendUvarint(b, uint64(len(e.Data)))
	return append(b, e.Data...)
}

// AppendMessage does the same for a message.
func AppendMessage(b []byte, m *wire.RaftMessage, rename func(uint64) uint64) []byte {
	u := func(x uint64) { b = binary.AppendUvarint(b, x) }
	u(uint64(m.Kind))
	u(rename(m.From))
	u(rename(m.To))
	u(m.Term)
	u(m.Index)
	u(m.LogTerm)
	u(m.Commit)
	u(m.HeartbeatRound)
	for _, f := range []bool{m.Reject, m.PreVote, m.LeadershipTransfer} {
		if f {
			u(1)
		} else {
			u(0)
		}
	}
	if s := m.Snapshot; s != nil {
		u(s.Index)
		u(s.Term)
		b = appendPeers(b, s.GetPeers().GetPeers(), rename)
	}
	u(uint64(len(m.Entries)))
	for _, e := range m.Entries {
		b = AppendEntry(b, e, rename)
	}
	return b
}

func appendPeers(b []byte, peers []*wire.Peer, rename func(uint64) uint64) []byte {
	ids := make([]uint64, 0, len(peers))
	for _, p := range peers {
		id := rename(p.Id) << 1
		if p.Voter {
			id++
		}
		ids = append(ids, id)
	}
	return appendIDs(b, ids, func(id uint64) uint64 { return id })
}

// appendIDs appends a set.
func appendIDs(b []byte, ids []uint64, rename func(uint64) uint64) []byte {
	for i := range ids {
		ids[i] = rename(ids[i])
	}
	slices.Sort(ids)
	b = binary.AppendUvarint(b, uint64(len(ids)))
	for _, id := range ids {
		b = binary.AppendUvarint(b, id)
	}
	return b
}
