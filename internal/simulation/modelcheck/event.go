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

// eventNames are the kinds as traces and scenarios write them.
var eventNames = [eventKinds]string{
	"deliver", "duplicate", "lose", "campaign", "heartbeat", "propose", "read", "transfer", "change", "snapshot", "crash", "wipe", "start",
}

// event is one transition of a state.
type event struct {
	kind   eventKind
	member int // where it happens
	from   int // sender of the message
	place  int // of the message on its link
	what   wire.RaftMessage_Kind
	term   uint64 // of the message
	change change
}

// change is a change of the members.
type change struct {
	what   string // what becomes of the member: join, learner or voter
	member int
	next   []*wire.Peer // all members behind it
}

// String is the event as a line of a trace, or of a scenario.
func (e event) String() string {
	switch e.kind {
	case deliver, duplicate, lose:
		return fmt.Sprintf("%s %d %d %s@%d", eventNames[e.kind], e.from, e.member, e.what, e.term)
	case changeMembers:
		return fmt.Sprintf("%s %d %s %d", eventNames[e.kind], e.member, e.change.what, e.change.member)
	}
	return fmt.Sprintf("%s %d", eventNames[e.kind], e.member)
}

// events returns all that may happen next, in a fixed order.
func (s *state) events() []event {
	list := s.messageEvents(nil)
	for n, m := range s.members {
		if m.node == nil {
			list = append(list, event{kind: restart, member: n})
			continue
		}
		list = s.memberEvents(list, n, m)
		if m.leads() {
			list = s.leaderEvents(list, n, m)
		}
	}
	return list
}

func (s *state) messageEvents(list []event) []event {
	for at, link := range s.links {
		from, to := at/len(s.members), at%len(s.members)
		down := s.members[to].node == nil
		for place, m := range link {
			if place > 0 && !s.left.Unordered {
				break
			}
			e := event{member: to, from: from, place: place, what: m.Kind, term: m.Term}
			if !s.left.Unordered && (len(link) > 1 || down) { // else what is lost is as if it never came
				e.kind = lose
				list = append(list, e)
			}
			if down {
				continue
			}
			e.kind = deliver
			list = append(list, e)
			if s.left.Duplicates > 0 {
				e.kind = duplicate
				list = append(list, e)
			}
		}
	}
	return list
}

func (s *state) memberEvents(list []event, n int, m *member) []event {
	if !m.leads() {
		list = append(list, event{kind: campaign, member: n})
	}
	if s.left.Crashes > 0 {
		list = append(list, event{kind: crash, member: n})
	}
	if s.left.Wipes > 0 && s.mayLoseDisk() {
		list = append(list, event{kind: wipe, member: n})
	}
	if s.left.Snapshots > 0 && m.applied > m.snapshot.GetIndex() {
		list = append(list, event{kind: takeSnapshot, member: n})
	}
	return list
}

func (s *state) leaderEvents(list []event, n int, m *member) []event {
	for _, e := range []struct {
		kind eventKind
		left int
	}{{heartbeat, s.left.Heartbeats}, {propose, s.left.Proposals}, {read, s.left.Reads}, {transfer, s.left.Transfers}} {
		if e.left > 0 {
			list = append(list, event{kind: e.kind, member: n})
		}
	}
	if s.left.Changes > 0 {
		list = append(list, s.changes(n, m.node)...)
	}
	return list
}

// mayLoseDisk reports whether the loss of a disk is the one that is to be borne: all members are there, under their first
// identities, and vote.
func (s *state) mayLoseDisk() bool {
	for _, m := range s.members {
		if m.incarnation > 0 || m.node == nil || raft.Voters(m.node.Peers()) < len(s.members) {
			return false
		}
	}
	return true
}

// changes are the sets of members that a leader may propose: one voter less, one more, or a member that has lost its
// disk taken in.
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
		if move, known := leader.JoinChange(&wire.Peer{Id: identity(i, m.incarnation), Address: strconv.Itoa(i)}); !known {
			add(change{"join", i, move.Next})
		}
	}
	return list
}

// apply returns the state behind an event.
func (s *state) apply(e event) *state {
	next := &state{members: slices.Clone(s.members), links: slices.Clone(s.links), history: s.history, left: s.left}
	m := s.members[e.member].clone()
	next.members[e.member] = m
	next.perform(e, m)
	next.settle(e.member, m)
	next.sweep(e.member, m)
	next.checkAfter(e.member, s.members[e.member])
	return next
}

// perform lets an event happen at its member, which is the state's own.
func (s *state) perform(e event, m *member) {
	switch e.kind {
	case deliver, duplicate, lose:
		s.performMessage(e, m)
	case campaign:
		m.node.Campaign(m.clock)
	case heartbeat:
		s.left.Heartbeats--
		m.clock += silence
		m.node.Tick(m.clock)
	case propose:
		s.performProposal(m)
	case read:
		s.left.Reads--
		m.asked = append(m.asked, s.history.acked)
		m.node.ReadIndex(m.clock, uint64(len(m.asked)-1))
	case transfer:
		s.left.Transfers--
		m.node.TransferLeadership(m.clock)
	case changeMembers:
		s.left.Changes--
		// What the leader refuses changes nothing.
		_ = m.node.ProposeMembership(m.clock, e.change.next)
	case takeSnapshot:
		s.left.Snapshots--
		m.takeSnapshot()
	case crash:
		s.left.Crashes--
		m.node = nil
	case wipe:
		s.left.Wipes--
		*m = member{incarnation: m.incarnation + 1, processes: m.processes, clock: m.clock}
	case restart:
		m.start(e.member, s.left.Batch)
	}
}

func (s *state) performMessage(e event, m *member) {
	at := e.from*len(s.members) + e.member
	message := s.links[at][e.place]
	if e.kind == duplicate {
		s.left.Duplicates--
	} else {
		s.links[at] = slices.Delete(slices.Clone(s.links[at]), e.place, e.place+1)
	}
	if e.kind == lose {
		return
	}
	if message.Kind == wire.RaftMessage_REQUEST_VOTE && !m.leads() { // a voter that hears its leader gives none, which is as if this were lost
		m.clock += silence
	}
	m.node.Step(m.clock, message)
}

func (s *state) performProposal(m *member) {
	data := strconv.Itoa(s.left.Proposals)
	s.left.Proposals--
	if index, term, err := m.node.Propose(m.clock, []byte(data)); err == nil {
		m.proposed[index] = term
	}
}
