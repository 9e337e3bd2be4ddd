package raft

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// AppendFingerprint appends to b what determines this member's behaviour, and nothing else: two members with the same
// fingerprint react alike to the same events. It is what a model checker compares states by. A time counts only by the
// timeouts that it has passed. rename maps identities to numbers, so that states which differ by identities alone have
// the same fingerprint.
func (n *Node) AppendFingerprint(b []byte, rename func(uint64) uint64) []byte {
	u := func(x uint64) { b = binary.AppendUvarint(b, x) }
	flag := func(f bool) {
		if f {
			u(1)
		} else {
			u(0)
		}
	}
	u(rename(n.id))
	u(uint64(n.state))
	u(rename(n.leaderID))
	u(n.hardState.Term)
	u(rename(n.hardState.Vote))
	u(n.stable)
	u(n.committed)
	u(n.applied)
	flag(n.now-n.leaderContactAt < electionMin)
	flag(n.now >= n.electionDeadline)
	u(n.snapshot.Index)
	u(n.snapshot.Term)
	b = appendPeers(b, n.snapshot.GetPeers().GetPeers(), rename)
	u(n.base.index)
	u(n.base.term)
	u(uint64(len(n.entries)))
	for _, e := range n.entries {
		b = AppendEntry(b, e, rename)
	}
	if n.state == statePreCandidate || n.state == stateCandidate {
		b = appendIDs(b, slices.Collect(maps.Keys(n.votes)), rename)
	}
	if n.state != stateLeader {
		return b
	}
	flag(n.isolated())
	u(n.heartbeatRound)
	for r := n.heartbeatRound; r > 0 && n.heartbeatRound-r < 4; r-- { // what an answer to one of them would prove
		at, ok := n.roundStartedAt[r]
		flag(ok && n.now-at <= electionMax)
	}
	u(rename(n.leadTransferee))
	ids := slices.SortedFunc(maps.Keys(n.progress), func(x, y uint64) int { return cmp.Compare(rename(x), rename(y)) })
	for _, id := range ids {
		p := n.progress[id]
		u(rename(id))
		u(p.match)
		u(p.next)
		u(p.heartbeatRound)
		flag(n.now-p.lastContact > recentContact)
		u(p.snapshot.GetIndex())
		flag(n.now >= p.snapshotRetryAt)
		flag(n.now-p.lastContact >= snapshotTimeout)
	}
	u(uint64(len(n.pendingReads)))
	for _, r := range n.pendingReads {
		u(r.token)
		u(r.index)
		u(r.heartbeatRound)
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

// appendIDs appends a set of identities.
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
