package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"
	"ivydeck/internal/transport/wire"
)

// membership is the set of members from an index of the log on.
type membership struct {
	index uint64
	peers []*wire.Peer
}

// position names a place in the log.
type position struct {
	index, term uint64
}

// first is the index of the oldest entry that the log holds. It is at most one beyond the snapshot's: a tail of
// older entries is kept, see retention.go.
func (n *Node) first() uint64 { return n.base.index + 1 }

func (n *Node) last() uint64 { return n.base.index + uint64(len(n.entries)) }

// term returns the term of an index; ok is false where it is not in the log.
func (n *Node) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == n.base.index:
		return n.base.term, true
	case index < n.first() || index > n.last():
		return 0, false
	}
	return n.entries[index-n.first()].Term, true
}

func (n *Node) lastTerm() uint64 {
	t, _ := n.term(n.last())
	return t
}

// append adds entries at the end of the log.
func (n *Node) append(entries ...*wire.Entry) {
	for _, e := range entries {
		n.entries = append(n.entries, e)
		n.trackMembership(e)
		n.backlogBytes += len(e.Data)
		if n.firstUnsaved == 0 {
			n.firstUnsaved = e.Index
		}
	}
}

func (n *Node) trackMembership(e *wire.Entry) {
	if e.Kind != wire.Entry_MEMBERSHIP {
		return
	}
	var peers wire.Peers
	if proto.Unmarshal(e.Data, &peers) == nil {
		n.memberships = append(n.memberships, membership{e.Index, peers.Peers})
	}
}

// truncate drops all entries from an index on.
func (n *Node) truncate(from uint64) {
	for _, e := range n.entries[from-n.first():] {
		n.backlogBytes -= len(e.Data)
	}
	n.entries = n.entries[:from-n.first()]
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= from {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
	n.stable = min(n.stable, from-1)
	if n.firstUnsaved == 0 || n.firstUnsaved > from {
		n.firstUnsaved = from
	}
}

// StableTo says that all entries up to an index are on disk.
func (n *Node) StableTo(index uint64) {
	n.stable = max(n.stable, min(index, n.last()))
	if n.state == stateLeader {
		n.maybeCommit()
	}
}

// maybeCommit commits what a majority has on disk.
func (n *Node) maybeCommit() {
	index := n.quorumValue(n.stable, func(p *progress) uint64 { return p.match })
	if t, _ := n.term(index); index <= n.committed || t != n.hardState.Term {
		return
	}
	n.committed = index
	for _, p := range n.Peers() { // the others' clients wait for it as well
		if p.Id != n.id {
			n.replicate(p.Id, true)
		}
	}
	if n.MembershipCommitted() && !slices.ContainsFunc(n.Peers(), func(p *wire.Peer) bool { return p.Id == n.id }) {
		n.becomeFollower(n.hardState.Term, 0) // it has been taken out
	}
}
