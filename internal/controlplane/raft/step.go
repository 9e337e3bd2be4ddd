package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

// Step takes a message from another member.
func (n *Node) Step(now time.Duration, m *wire.RaftMessage) {
	n.now = now
	if m.To != n.id { // for the one that had this address before
		return
	}
	if m.Refusal == wire.RaftMessage_NOT_MEMBER {
		n.removedElsewhere = true // MembershipManager asks
	}
	if m.Kind == wire.RaftMessage_REQUEST_VOTE {
		n.handleRequestVote(m)
		return
	}
	if m.Kind == wire.RaftMessage_REQUEST_VOTE_RESPONSE && m.PreVote && !m.Reject {
		if n.state == statePreCandidate && m.Term == n.hardState.Term+1 {
			n.votes[m.From] = true
			n.countVotes()
		}
		return
	}
	if m.Term > n.hardState.Term {
		leaderID := uint64(0)
		if m.Kind == wire.RaftMessage_APPEND_ENTRIES || m.Kind == wire.RaftMessage_INSTALL_SNAPSHOT {
			leaderID = m.From
		}
		n.becomeFollower(m.Term, leaderID)
	}
	if m.Term < n.hardState.Term {
		if m.Kind == wire.RaftMessage_APPEND_ENTRIES || m.Kind == wire.RaftMessage_INSTALL_SNAPSHOT {
			n.send(&wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, To: m.From, Reject: true, Refusal: n.staleTermReason(m.From)}) // tells it the term
		}
		return
	}
	switch m.Kind {
	case wire.RaftMessage_REQUEST_VOTE_RESPONSE:
		if n.state == stateCandidate && !m.Reject {
			n.votes[m.From] = true
			n.countVotes()
		}
	case wire.RaftMessage_APPEND_ENTRIES:
		n.observeLeader(m.From)
		n.handleAppendEntries(m)
		n.learnContact(m)
	case wire.RaftMessage_INSTALL_SNAPSHOT:
		n.observeLeader(m.From)
		n.handleInstallSnapshot(m)
		n.learnContact(m)
	case wire.RaftMessage_APPEND_ENTRIES_RESPONSE:
		n.handleAppendEntriesResponse(m)
	case wire.RaftMessage_TIMEOUT_NOW:
		if m.From == n.leaderID && n.electable() {
			n.campaign(false, true)
		}
	}
}

// handleRequestVote answers one who wants to lead.
func (n *Node) handleRequestVote(m *wire.RaftMessage) {
	reply := &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, To: m.From, PreVote: m.PreVote, Reject: true}
	// One that hears its leader helps nobody to unseat it.
	leaderAlive := !m.LeadershipTransfer && (n.state == stateLeader || n.leaderID != 0 && n.now-n.leaderContactAt < electionMin)
	logUpToDate := m.LogTerm > n.lastTerm() || m.LogTerm == n.lastTerm() && m.Index >= n.last()
	switch {
	case m.Term < n.hardState.Term || leaderAlive:
	case m.PreVote:
		if logUpToDate && m.Term > n.hardState.Term {
			reply.Reject, reply.Term = false, m.Term
		}
	default:
		if m.Term > n.hardState.Term {
			n.becomeFollower(m.Term, 0)
		}
		if logUpToDate && (n.hardState.Vote == 0 || n.hardState.Vote == m.From) {
			n.hardState.Vote = m.From // on disk before the answer is sent
			reply.Reject = false
			n.resetTimer()
		}
	}
	if reply.Reject {
		reply.Refusal = n.voteRejectionReason(m, leaderAlive, logUpToDate)
	}
	n.send(reply)
}

// observeLeader notes a sign of life of the term's leader.
func (n *Node) observeLeader(leaderID uint64) {
	if n.state != stateFollower {
		n.becomeFollower(n.hardState.Term, leaderID)
	}
	n.leaderID, n.leaderContactAt, n.removedElsewhere = leaderID, n.now, false
	n.resetTimer() // after the lead is known: see there
}

// handleAppendEntries takes entries of the leader where they join the own log.
func (n *Node) handleAppendEntries(m *wire.RaftMessage) {
	reply := &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, To: m.From, HeartbeatRound: m.HeartbeatRound, SyncUs: uint32(n.syncTime.Microseconds())}
	defer func() { n.send(reply) }()
	index, entries := m.Index, m.Entries
	for len(entries) > 0 && index < n.snapshot.Index { // these are in the snapshot
		index, entries = entries[0].Index, entries[1:]
	}
	if index < n.snapshot.Index {
		reply.Index = n.committed // matched for sure
		return
	}
	if t, ok := n.term(index); !ok || index == m.Index && t != m.LogTerm {
		reply.Reject = true
		// The leader goes back to here at once, over a whole term where the terms differ.
		reply.Index = min(index-1, n.last())
		for reply.Index > n.committed {
			if t, _ := n.term(reply.Index); t <= m.LogTerm {
				break
			}
			reply.Index--
		}
		reply.LogTerm, _ = n.term(reply.Index)
		return
	}
	for i, e := range entries {
		t, ok := n.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.truncate(e.Index)
		}
		n.append(entries[i:]...)
		break
	}
	reply.Index = index + uint64(len(entries))
	n.committed = max(n.committed, min(m.Commit, reply.Index))
}

// handleInstallSnapshot replaces the log by a snapshot that is ahead of it.
func (n *Node) handleInstallSnapshot(m *wire.RaftMessage) {
	reply := &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, To: m.From, HeartbeatRound: m.HeartbeatRound}
	reply.Index = n.installSnapshot(m.Snapshot)
	n.send(reply)
}

// installSnapshot replaces the log by a snapshot that is ahead of it, and returns up to where the log is the leader's.
func (n *Node) installSnapshot(s *wire.RaftSnapshot) (index uint64) {
	if t, ok := n.term(s.GetIndex()); ok && t == s.GetTerm() {
		// The log leads up to the snapshot. What stands behind it may have been
		// acknowledged, and must stay.
		n.committed = max(n.committed, s.GetIndex())
	} else if s.GetIndex() > n.committed {
		n.snapshot, n.entries, n.firstUnsaved, n.backlogBytes = s, nil, 0, 0
		n.base = position{s.Index, s.Term}
		n.committed, n.applied, n.stable = s.Index, s.Index, s.Index
		n.memberships = []membership{{s.Index, s.GetPeers().GetPeers()}}
		n.pendingSnapshot = s
		n.output.CommittedEntries = nil
	}
	return n.committed
}

// handleAppendEntriesResponse takes a member's answer.
func (n *Node) handleAppendEntriesResponse(m *wire.RaftMessage) {
	p := n.progress[m.From]
	if n.state != stateLeader || p == nil {
		return
	}
	p.lastContact, p.syncTime = n.now, time.Duration(m.SyncUs)*time.Microsecond
	n.keepStamp(p, m.Stamp)
	if m.HeartbeatRound > p.heartbeatRound {
		p.heartbeatRound = m.HeartbeatRound
		n.confirmContact()
	}
	if m.Reject {
		n.handleRejection(p, m)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		n.maybeCommit()
	}
	n.maybeEndSnapshot(p)
	n.replicate(m.From, false)
	n.sendTimeoutNow(m.From)
}

// NextTick is when the core wants a Tick.
func (n *Node) NextTick() time.Duration {
	if n.state == stateLeader {
		return n.heartbeatAt
	}
	return n.electionDeadline
}
