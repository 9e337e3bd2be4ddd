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

// checks are the properties that are looked at while a simulation runs. What clients see is checked at its end.
type checks struct {
	broken    string            // the first that does not hold
	terms     []uint64          // of the applied entries, from firstApplied on
	verdicts  []string          // on them
	reference *catalog.Catalog  // the state behind all entries that somebody has applied
	leaders   map[uint64]uint64 // identity of the leader, by term
}

// firstApplied is the index of the first entry behind the snapshot that all begin with.
const firstApplied = 2

func newChecks() checks {
	return checks{reference: catalog.New(), leaders: map[uint64]uint64{}}
}

func (c *checks) breaks(now time.Duration, format string, args ...any) {
	if c.broken == "" {
		c.broken = fmt.Sprintf("at %v ", now) + fmt.Sprintf(format, args...)
	}
}

// leader: one member leads in a term.
func (c *checks) leader(now time.Duration, m *simMember) {
	if !m.node.IsLeader() {
		return
	}
	term, id := m.node.Term(), m.node.ID()
	if other, ok := c.leaders[term]; ok && other != id {
		c.breaks(now, "identities %d and %d lead in term %d", other, id, term)
	}
	c.leaders[term] = id
}

// apply: all apply the same entries, and come to the same verdicts on them.
func (c *checks) apply(now time.Duration, m *simMember, e *wire.Entry, verdict string) {
	at := int(e.Index) - firstApplied
	switch {
	case at > len(c.terms):
		c.breaks(now, "member %d applies entry %d, and nobody has applied the one in front of it", m.number, e.Index)
	case at == len(c.terms):
		c.terms = append(c.terms, e.Term)
		c.verdicts = append(c.verdicts, applyCommand(c.reference, e))
	}
	if at >= len(c.terms) {
		return
	}
	if term := c.terms[at]; term != e.Term {
		c.breaks(now, "member %d applies entry %d of term %d, and another applied that of term %d", m.number, e.Index, e.Term, term)
	} else if want := c.verdicts[at]; want != verdict {
		c.breaks(now, "member %d finds entry %d %q, and by all entries in their order it is %q", m.number, e.Index, verdict, want)
	}
}

// newest is the index of the newest entry that somebody has applied.
func (c *checks) newest() uint64 { return uint64(len(c.terms)) + firstApplied - 1 }

// snapshot: the state in a snapshot is the one that all entries in front of it add up to.
func (c *checks) snapshot(now time.Duration, m *simMember, data []byte) {
	if m.applied != c.newest() {
		return // the reference has gone on
	}
	want, err := c.reference.Snapshot()
	if err != nil {
		panic(err)
	}
	if !bytes.Equal(data, want) {
		c.breaks(now, "member %d takes a snapshot of entry %d that is not the state behind all entries up to it", m.number, m.applied)
	}
}

// install: a snapshot takes nobody back.
func (c *checks) install(now time.Duration, m *simMember, s *wire.RaftSnapshot) {
	if s.Index < m.applied {
		c.breaks(now, "member %d goes back from entry %d to a snapshot of entry %d", m.number, m.applied, s.Index)
	}
}

// tail: behind a new snapshot a member keeps as many entries as it is to, and those that lead on from a snapshot that is
// under way. first is what it had kept from before.
func (c *checks) tail(now time.Duration, m *simMember, first uint64, tail int) {
	wanted := max(first, m.applied-min(m.applied, uint64(tail)))
	for id, p := range m.node.progress {
		if index := m.node.SnapshotInTransfer(id); p.match < index {
			wanted = max(first, min(wanted, index))
		}
	}
	if m.node.First() > wanted {
		c.breaks(now, "member %d keeps the entries behind %d at its snapshot of %d, and not those behind %d", m.number, m.node.First(), m.applied, wanted)
	}
}

// transfer: a snapshot that is under way is sent to its end, as long as the log leads on from it and its receiver is not
// gone.
func (c *checks) transfer(now time.Duration, m *simMember, message *wire.RaftMessage) {
	if message.Kind != wire.RaftMessage_INSTALL_SNAPSHOT {
		return
	}
	to := message.To
	sent := sentSnapshot{message.Snapshot.GetIndex(), message.Term, now}
	before, p := m.transfers[to], m.node.progress[to]
	underWay := p != nil && before.term == sent.term && p.match < before.index && now-before.at < catchUpTimeout
	if underWay && before.index >= m.node.First() && before.index != sent.index {
		c.breaks(now, "member %d sends a snapshot of entry %d to identity %d, while one of entry %d is under way", m.number, sent.index, to, before.index)
	}
	m.transfers[to] = sent
}

// applyCommand hands an entry to a state machine, and returns the verdict that its client gets.
func applyCommand(state *catalog.Catalog, e *wire.Entry) string {
	if e.Kind != wire.Entry_COMMAND {
		return ""
	}
	command := new(wire.Command)
	if err := proto.Unmarshal(e.Data, command); err != nil {
		panic(err)
	}
	_, err := state.Apply(command)
	switch {
	case err == nil:
		return verdictOK
	case errors.Is(err, catalog.ErrStale):
		return verdictStale
	}
	panic(err)
}
