package raft

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// AppendFingerprint appends to b the state that determines this member's behaviour. Two members with equal fingerprints
// react alike to the same events, so model checkers use it to compare states. Instead of times, it includes which timeouts
// have expired. rename maps identities to numbers, so that states that differ only in their identities have equal
// fingerprints.
func (n *Node) AppendFingerprint(b []byte, rename func(uint64) uint64) []byte {
	b = appendNumbers(b, rename(n.id), uint64(n.state), rename(n.leaderID), n.hardState.Term, rename(n.hardState.Vote))
	b = appendFlags(b, n.now-n.leaderContactAt < minElectionTimeout, n.now >= n.electionDeadline)
	b = n.raftLog.appendFingerprint(b, rename)
	if n.state == statePreCandidate || n.state == stateCandidate {
		b = appendIDs(b, slices.Collect(maps.Keys(n.votes)), rename)
	}
	if n.state == stateLeader {
		b = n.appendLeaderFingerprint(b, rename)
	}
	return b
}

// appendFingerprint appends the log's part of the fingerprint to b.
func (l *raftLog) appendFingerprint(b []byte, rename func(uint64) uint64) []byte {
	b = appendNumbers(b, l.stable, l.committed, l.applied, l.snapshot.Index, l.snapshot.Term)
	b = appendPeers(b, l.snapshot.GetPeers().GetPeers(), rename)
	b = appendNumbers(b, l.base.index, l.base.term, uint64(len(l.entries)))
	for _, e := range l.entries {
		b = AppendEntry(b, e, rename)
	}
	return b
}

// fingerprintRounds is the number of most recent heartbeat rounds whose age is part of the fingerprint.
const fingerprintRounds = 4

// appendLeaderFingerprint appends to b the state that only a leader maintains.
func (n *Node) appendLeaderFingerprint(b []byte, rename func(uint64) uint64) []byte {
	b = appendFlags(b, n.isolated())
	b = appendNumbers(b, n.heartbeatRound)
	for r := n.heartbeatRound; r > 0 && n.heartbeatRound-r < fingerprintRounds; r-- {
		at, ok := n.roundStartedAt[r]
		b = appendFlags(b, ok && n.now-at <= maxElectionTimeout)
	}
	b = appendNumbers(b, rename(n.transferee))
	ids := slices.SortedFunc(maps.Keys(n.progress), func(x, y uint64) int { return cmp.Compare(rename(x), rename(y)) })
	for _, id := range ids {
		p := n.progress[id]
		b = appendNumbers(b, rename(id), p.match, p.next, p.heartbeatRound)
		b = appendFlags(b, n.now-p.lastContact > recentContact)
		b = appendNumbers(b, p.snapshot.GetIndex())
		b = appendFlags(b, n.now >= p.snapshotRetryAt, n.now-p.lastContact >= snapshotTimeout)
	}
	b = appendNumbers(b, uint64(len(n.pendingReads)))
	for _, r := range n.pendingReads {
		b = appendNumbers(b, r.token, r.index, r.heartbeatRound)
	}
	return b
}

func appendNumbers(b []byte, numbers ...uint64) []byte {
	for _, x := range numbers {
		b = binary.AppendUvarint(b, x)
	}
	return b
}

func appendFlags(b []byte, flags ...bool) []byte {
	for _, f := range flags {
		if f {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	return b
}

// AppendEntry appends an entry's fingerprint to b.
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

// AppendMessage appends a message's fingerprint to b.
func AppendMessage(b []byte, m *wire.RaftMessage, rename func(uint64) uint64) []byte {
	b = appendNumbers(b, uint64(m.Kind), rename(m.From), rename(m.To), m.Term, m.Index, m.LogTerm, m.Commit, m.HeartbeatRound)
	b = appendFlags(b, m.Reject, m.PreVote, m.LeadershipTransfer)
	if s := m.Snapshot; s != nil {
		b = appendNumbers(b, s.Index, s.Term)
		b = appendPeers(b, s.GetPeers().GetPeers(), rename)
	}
	b = appendNumbers(b, uint64(len(m.Entries)))
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

// appendIDs appends a set of identities in ascending order to b. It modifies ids.
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
