package modelcheck

import (
	"fmt"
	"slices"
	"strconv"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

// eventKind is a kind of transition.
type eventKind int

const (
	deliver eventKind = iota
	duplicate
	lose
	campaign
	heartbeat
	propose
	read
	transfer
	changeMembers
	takeSnapshot
	crash
	wipe
	restart
	eventKinds // the number of kinds
)

// eventNames are the names of the kinds in traces and scenarios.
var eventNames = [eventKinds]string{
	"deliver", "duplicate", "lose", "campaign", "heartbeat", "propose", "read", "transfer", "change", "snapshot", "crash", "wipe", "start",
}

// event is one transition of a state.
type event struct {
	kind        eventKind
	member      int // member at which the event occurs; for messages, the receiver
	from        int // sender of the message
	index       int // position of the message on its link
	messageKind wire.RaftMessage_Kind
	term        uint64 // term of the message
	change      change
}

// change is a membership change.
type change struct {
	kind   string // join, or the new role of the member: learner or voter
	member int
	next   []*wire.Peer // membership after the change
}

// String formats the event as a line of a trace or scenario.
func (e event) String() string {
	switch e.kind {
	case deliver, duplicate, lose:
		return fmt.Sprintf("%s %d %d %s@%d", eventNames[e.kind], e.from, e.member, e.messageKind, e.term)
	case changeMembers:
		return fmt.Sprintf("%s %d %s %d", eventNames[e.kind], e.member, e.change.kind, e.change.member)
	}
	return fmt.Sprintf("%s %d", eventNames[e.kind], e.member)
}

// events returns all events that are possible next, in a fixed order.
func (s *state) events() []event {
	list := s.messageEvents(nil)
	for n, m := range s.members {
		if m.node == nil {
			list = append(list, event{kind: restart, member: n})
			continue
		}
		list = s.memberEvents(list, n, m)
		if m.isLeader() {
			list = s.leaderEvents(list, n, m)
		}
	}
	return list
}

func (s *state) messageEvents(list []event) []event {
	for index, link := range s.links {
		from, to := index/len(s.members), index%len(s.members)
		down := s.members[to].node == nil
		for position, m := range link {
			if position > 0 && !s.bounds.Unordered {
				break
			}
			e := event{member: to, from: from, index: position, messageKind: m.Kind, term: m.Term}
			if !s.bounds.Unordered && (len(link) > 1 || down) { // otherwise a loss is equivalent to a message that never arrives
				e.kind = lose
				list = append(list, e)
			}
			if down {
				continue
			}
			e.kind = deliver
			list = append(list, e)
			if s.bounds.Duplicates > 0 {
				e.kind = duplicate
				list = append(list, e)
			}
		}
	}
	return list
}

func (s *state) memberEvents(list []event, n int, m *member) []event {
	if !m.isLeader() {
		list = append(list, event{kind: campaign, member: n})
	}
	if s.bounds.Crashes > 0 {
		list = append(list, event{kind: crash, member: n})
	}
	if s.bounds.Wipes > 0 && s.mayLoseDisk() {
		list = append(list, event{kind: wipe, member: n})
	}
	if s.bounds.Snapshots > 0 && m.applied > m.snapshot.GetIndex() {
		list = append(list, event{kind: takeSnapshot, member: n})
	}
	return list
}

func (s *state) leaderEvents(list []event, n int, m *member) []event {
	for _, e := range []struct {
		kind      eventKind
		remaining int
	}{{heartbeat, s.bounds.Heartbeats}, {propose, s.bounds.Proposals}, {read, s.bounds.Reads}, {transfer, s.bounds.Transfers}} {
		if e.remaining > 0 {
			list = append(list, event{kind: e.kind, member: n})
		}
	}
	if s.bounds.Changes > 0 {
		list = append(list, s.changes(n, m.node)...)
	}
	return list
}

// mayLoseDisk reports whether Raft tolerates the loss of a disk: all members run, have lost no disk before, and are voters.
func (s *state) mayLoseDisk() bool {
	for _, m := range s.members {
		if m.incarnation > 0 || m.node == nil || raft.Voters(m.node.Peers()) < len(s.members) {
			return false
		}
	}
	return true
}

// changes returns the membership changes that a leader may propose: to demote or promote a member, or to add a running process
// whose identity is not a member, such as one that has lost its disk.
func (s *state) changes(n int, leader *raft.Node) []event {
	var list []event
	add := func(c change) {
		list = append(list, event{kind: changeMembers, member: n, change: c})
	}
	peers := leader.Peers()
	for i, p := range peers {
		next := slices.Clone(peers)
		next[i] = &wire.Peer{Id: p.Id, Address: p.Address, Voter: !p.Voter}
		if raft.Voters(next) == 0 {
			continue
		}
		role := "learner"
		if next[i].Voter {
			role = "voter"
		}
		add(change{role, memberOf(p.Id), next})
	}
	for i, m := range s.members {
		if m.node == nil {
			continue
		}
		if join, isMember := leader.JoinChange(&wire.Peer{Id: identity(i, m.incarnation), Address: strconv.Itoa(i)}); !isMember {
			add(change{"join", i, join.Next})
		}
	}
	return list
}

// apply returns the state after an event.
func (s *state) apply(e event) *state {
	next := &state{members: slices.Clone(s.members), links: slices.Clone(s.links), history: s.history, bounds: s.bounds}
	m := s.members[e.member].clone()
	next.members[e.member] = m
	next.perform(e, m)
	next.handleReady(e.member, m)
	next.dropStaleMessages(e.member, m)
	next.checkAfter(e.member, s.members[e.member])
	return next
}

// perform executes an event at its member m, which no other state may share.
func (s *state) perform(e event, m *member) {
	switch e.kind {
	case deliver, duplicate, lose:
		s.performMessage(e, m)
	case campaign:
		m.node.Campaign(m.clock)
	case heartbeat:
		s.bounds.Heartbeats--
		m.clock += leaderTimeout
		m.node.Tick(m.clock)
	case propose:
		s.performProposal(m)
	case read:
		s.bounds.Reads--
		m.readIndexes = append(m.readIndexes, s.history.acked)
		m.node.ReadIndex(m.clock, uint64(len(m.readIndexes)-1))
	case transfer:
		s.bounds.Transfers--
		m.node.TransferLeadership(m.clock)
	case changeMembers:
		s.bounds.Changes--
		// The leader may reject the proposal, which changes nothing.
		_ = m.node.ProposeMembership(m.clock, e.change.next)
	case takeSnapshot:
		s.bounds.Snapshots--
		m.takeSnapshot()
	case crash:
		s.bounds.Crashes--
		m.node = nil
	case wipe:
		s.bounds.Wipes--
		*m = member{incarnation: m.incarnation + 1, processes: m.processes, clock: m.clock}
	case restart:
		m.start(e.member, s.bounds.Batch)
	}
}

func (s *state) performMessage(e event, m *member) {
	linkIndex := e.from*len(s.members) + e.member
	message := s.links[linkIndex][e.index]
	if e.kind == duplicate {
		s.bounds.Duplicates--
	} else {
		s.links[linkIndex] = slices.Delete(slices.Clone(s.links[linkIndex]), e.index, e.index+1)
	}
	if e.kind == lose {
		return
	}
	if message.Kind == wire.RaftMessage_REQUEST_VOTE && !m.isLeader() { // otherwise a voter in contact with a leader would ignore the request
		m.clock += leaderTimeout
	}
	m.node.Step(m.clock, message)
}

func (s *state) performProposal(m *member) {
	data := strconv.Itoa(s.bounds.Proposals)
	s.bounds.Proposals--
	if index, term, err := m.node.Propose(m.clock, []byte(data)); err == nil {
		m.proposed[index] = term
	}
}
