package raft

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/transport/wire"
)

// invariants are the properties that are checked during a simulation. The clients' history is checked at its end.
type invariants struct {
	violation      string            // description of the first violation; empty if there is none
	appliedTerms   []uint64          // terms of the applied entries, from index firstApplied on
	appliedResults []string          // results of the applied entries
	reference      *catalog.Catalog  // state after all entries that any member has applied
	leaderByTerm   map[uint64]uint64 // identity of the leader, by term
}

// firstApplied is the index of the first entry after the initial snapshot.
const firstApplied = 2

func newInvariants() invariants {
	return invariants{reference: catalog.New(), leaderByTerm: map[uint64]uint64{}}
}

// reportViolation records a violation, unless there was one before.
func (i *invariants) reportViolation(now time.Duration, format string, args ...any) {
	if i.violation == "" {
		i.violation = fmt.Sprintf("at %v ", now) + fmt.Sprintf(format, args...)
	}
}

// checkLeader checks that each term has at most one leader (election safety).
func (i *invariants) checkLeader(now time.Duration, member *simMember) {
	if !member.node.IsLeader() {
		return
	}
	term, id := member.node.Term(), member.node.ID()
	if other, ok := i.leaderByTerm[term]; ok && other != id {
		i.reportViolation(now, "identities %d and %d are both leaders in term %d", other, id, term)
	}
	i.leaderByTerm[term] = id
}

// checkApply checks that all members apply the same entries in the same order, with the same results.
func (i *invariants) checkApply(now time.Duration, member *simMember, entry *wire.Entry, result string) {
	offset := int(entry.Index) - firstApplied
	switch {
	case offset > len(i.appliedTerms):
		i.reportViolation(now, "member %d applies entry %d, and no member has applied the entry before it", member.number, entry.Index)
	case offset == len(i.appliedTerms):
		i.appliedTerms = append(i.appliedTerms, entry.Term)
		i.appliedResults = append(i.appliedResults, applyCommand(i.reference, entry))
	}
	if offset >= len(i.appliedTerms) {
		return
	}
	if term := i.appliedTerms[offset]; term != entry.Term {
		i.reportViolation(now, "member %d applies entry %d of term %d, and another member applied it with term %d", member.number, entry.Index, entry.Term, term)
	} else if want := i.appliedResults[offset]; want != result {
		i.reportViolation(now, "member %d applies entry %d with result %q, and the reference state gives %q", member.number, entry.Index, result, want)
	}
}

// newestIndex returns the index of the newest entry that any member has applied.
func (i *invariants) newestIndex() uint64 { return uint64(len(i.appliedTerms)) + firstApplied - 1 }

// checkSnapshot checks that a snapshot equals the reference state, if the member has applied all entries of the reference.
func (i *invariants) checkSnapshot(now time.Duration, member *simMember, data []byte) {
	if member.applied != i.newestIndex() {
		return // the reference is ahead
	}
	want, err := i.reference.Snapshot()
	if err != nil {
		panic(err)
	}
	if !bytes.Equal(data, want) {
		i.reportViolation(now, "the snapshot of member %d at entry %d differs from the reference state", member.number, member.applied)
	}
}

// checkInstall checks that a snapshot does not revert applied entries.
func (i *invariants) checkInstall(now time.Duration, member *simMember, snapshot *wire.RaftSnapshot) {
	if snapshot.Index < member.applied {
		i.reportViolation(now, "member %d has applied entry %d and installs an older snapshot at entry %d", member.number, member.applied, snapshot.Index)
	}
}

// checkTail checks that after a compaction the log still has the last tail entries before the snapshot, and all entries
// after each snapshot in transfer. first is the result of Node.First before the compaction.
func (i *invariants) checkTail(now time.Duration, member *simMember, first uint64, tail int) {
	maxFirst := max(first, member.applied-min(member.applied, uint64(tail)))
	for id, p := range member.node.progress {
		if index := member.node.SnapshotInTransfer(id); p.match < index {
			maxFirst = max(first, min(maxFirst, index))
		}
	}
	if member.node.First() > maxFirst {
		i.reportViolation(now, "member %d keeps the entries after %d with its snapshot at %d, and must keep those after %d", member.number, member.node.First(), member.applied, maxFirst)
	}
}

// checkTransfer checks that a leader does not replace a snapshot in transfer with another one, unless the log no longer has
// the entries after it or the receiver has been unresponsive for catchUpTimeout.
func (i *invariants) checkTransfer(now time.Duration, member *simMember, message *wire.RaftMessage) {
	if message.Kind != wire.RaftMessage_INSTALL_SNAPSHOT {
		return
	}
	receiver := message.To
	sent := sentSnapshot{message.Snapshot.GetIndex(), message.Term, now}
	previous, receiverProgress := member.lastTransfers[receiver], member.node.progress[receiver]
	inProgress := receiverProgress != nil && previous.term == sent.term && receiverProgress.match < previous.index && now-previous.sentAt < catchUpTimeout
	if inProgress && previous.index >= member.node.First() && previous.index != sent.index {
		i.reportViolation(now, "member %d sends a snapshot at entry %d to identity %d while one at entry %d is in transfer", member.number, sent.index, receiver, previous.index)
	}
	member.lastTransfers[receiver] = sent
}

// applyCommand applies an entry to a state machine, and returns the result of its client's call. The result is empty for
// an entry that is not a command.
func applyCommand(state *catalog.Catalog, entry *wire.Entry) string {
	if entry.Kind != wire.Entry_COMMAND {
		return ""
	}
	command := new(wire.Command)
	if err := proto.Unmarshal(entry.Data, command); err != nil {
		panic(err)
	}
	_, err := state.Apply(command)
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, catalog.ErrStale):
		return resultStale
	}
	panic(err)
}
