package lab

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/simulation/simdisk"
	"ivydeck/internal/transport/wire"
)

const (
	controlCallTimeout = 900 * time.Millisecond
	manageInterval     = 250 * time.Millisecond

	joinCallTimeout = 600 * time.Millisecond
)

// quorumMember is a machine of the control plane: it drives raft, the catalog and the
// root of the relays as the real server does (internal/controlplane/server).
type quorumMember struct {
	machine
	peerView
	s          *sim
	disk       simdisk.Disk
	stallUntil time.Duration // until then a sync does not return

	raft        *raft.Node
	members     *raft.MembershipManager
	catalog     *catalog.Catalog
	applied     uint64                // index of the last applied entry
	proposals   map[uint64]*proposal  // pending ones by index
	reads       map[uint64]func(bool) // pending reads by token
	token       uint64                // of the last read
	syncing     bool                  // a sync is in progress
	inbox       []func()              // calls that wait for the loop
	managedAt   time.Duration
	isLeader    bool
	leaderSince time.Duration

	contactAt time.Duration // when a quorum last confirmed what is applied
}

// proposal is an entry that its proposer waits for.
type proposal struct {
	term   uint64
	result func(error)
}

// start starts the process with what is on its disk.
func (m *quorumMember) start() {
	s := m.s
	s.incarnations++
	m.incarnation, m.up, m.powered = s.incarnations, true, true
	if m.disk.ID == 0 {
		for m.disk.ID == 0 {
			m.disk.ID = s.rng.Uint64()
		}
		if m == s.members[0] && !s.bootstrapped { // bootstrap: the first member begins as a quorum of one
			s.bootstrapped = true
			m.catalog = catalog.New()
			data, err := m.catalog.Snapshot()
			s.check(err)
			m.disk.Hard = &wire.HardState{Term: 1}
			m.disk.Snap = &wire.RaftSnapshot{Term: 1, Index: 1, Data: data, Peers: &wire.Peers{Peers: []*wire.Peer{m.peer(true)}}}
		}
	}
	m.catalog = catalog.New()
	if m.disk.Snap != nil {
		s.check(m.catalog.Restore(m.disk.Snap.Data))
	}
	m.raft = raft.New(m.disk.ID, m.disk.Hard, m.disk.Snap, append([]*wire.Entry(nil), m.disk.Entries...), s.rng.Uint64(), s.now)
	m.members = raft.NewMembershipManager(m.raft)
	m.applied = m.disk.Snap.GetIndex()
	m.proposals, m.reads, m.inbox, m.syncing, m.isLeader = map[uint64]*proposal{}, map[uint64]func(bool){}, nil, false, false
	m.contactAt = s.now - raft.MaxContactAge
	m.hub = relay.NewHub(func() time.Duration { return s.now - m.contactAt })
	m.hub.Apply(m.catalog.FullChanges())
	m.peerView.start(s, &m.machine)
	m.loop(m.incarnation)
}

func (m *quorumMember) peer(voter bool) *wire.Peer {
	return &wire.Peer{Id: m.disk.ID, Address: m.name, ControlAddress: m.name, Voter: voter}
}

// stop ends the process, with power also the machine.
func (m *quorumMember) stop(power bool) {
	if m.up {
		m.s.stop(&m.machine, power)
		m.disk.Crash(m.s.rng)
		m.leadershipLost()
	}
}

// leadershipLost records that the machine is not the leader any more.
func (m *quorumMember) leadershipLost() {
	if m.isLeader {
		m.isLeader = false
		m.s.measurements.leaderLost(m.s.now, slices.ContainsFunc(m.s.members, func(o *quorumMember) bool { return o.isLeader }))
	}
}

// post calls f in the machine's loop.
func (m *quorumMember) post(f func()) {
	m.inbox = append(m.inbox, f)
	if !m.syncing {
		m.step()
	}
}

// loop calls step whenever raft has something to do.
func (m *quorumMember) loop(incarnation uint64) {
	if !m.up || m.incarnation != incarnation {
		return
	}
	if !m.syncing {
		m.step()
	}
	m.s.at(max(m.s.now+time.Millisecond, min(m.raft.NextTick(), m.s.now+manageInterval)), func() { m.loop(incarnation) })
}

// step makes the calls in the inbox, ticks raft and executes what it asks for.
func (m *quorumMember) step() {
	now := m.s.now
	for len(m.inbox) > 0 {
		f := m.inbox[0]
		m.inbox = m.inbox[1:]
		f()
	}
	m.raft.Tick(now)
	if now-m.managedAt >= manageInterval {
		m.managedAt = now
		m.manage()
	}
	m.manageMembers()
	m.flush()
}

// flush handles a Ready in the order that raft requires: it syncs the disk, sends the
// messages, and applies the committed entries.
func (m *quorumMember) flush() {
	o := m.raft.Ready()
	if o.Empty() {
		m.contactAt = m.s.now - m.raft.QuorumContactAge(m.s.now)
		return
	}
	if o.Snapshot == nil && o.HardState == nil && len(o.Entries) == 0 {
		m.advance(o)
		m.flush()
		return
	}
	m.syncing = true
	m.disk.Write(o.Snapshot, o.HardState, o.Entries)
	incarnation := m.incarnation
	took := max(0, m.stallUntil-m.s.now) + ms(m.s.scenario.SyncMs*(0.5+m.s.rng.Float64()))
	m.s.after(took, func() {
		if !m.up || m.incarnation != incarnation {
			return
		}
		m.disk.Sync()
		m.raft.ObserveSync(took)
		m.syncing = false
		if o.Snapshot != nil {
			m.s.check(m.catalog.Restore(o.Snapshot.Data))
			m.applied = o.Snapshot.Index
			m.hub.Apply(m.catalog.FullChanges())
			m.feed()
		}
		if n := len(o.Entries); n > 0 {
			m.raft.StableTo(o.Entries[n-1].Index)
		}
		m.advance(o)
		m.step()
	})
}

// advance sends messages, applies entries, ends reads and compacts the log.
func (m *quorumMember) advance(o raft.Ready) {
	for _, message := range o.Messages {
		to := m.s.memberByID(message.To)
		if to == nil {
			continue
		}
		m.s.stream(&m.machine, &to.machine, proto.Size(message)+rpcBytes, m.s.lastDelivery(m, to), func() {
			to.post(func() { to.raft.Step(m.s.now, message) })
		})
	}
	for _, e := range o.CommittedEntries {
		m.apply(e)
	}
	for _, r := range o.ReadStates {
		if f := m.reads[r.Token]; f != nil {
			delete(m.reads, r.Token)
			f(r.OK)
		}
	}
	if m.raft.SnapshotDue() {
		data, err := m.catalog.Snapshot()
		m.s.check(err)
		if snap := m.raft.Compact(m.applied, data); snap != nil {
			m.disk.Compact(snap)
		}
	}
	m.s.measurements.disk = max(m.s.measurements.disk, m.disk.Bytes())
}

// apply applies a committed entry, and ends its proposal.
func (m *quorumMember) apply(e *wire.Entry) {
	m.applied = e.Index
	var verdict error
	if e.Kind == wire.Entry_COMMAND {
		cmd := new(wire.Command)
		m.s.check(proto.Unmarshal(e.Data, cmd))
		var changes *wire.Changes
		if changes, verdict = m.catalog.Apply(cmd); changes != nil {
			m.s.measurements.updateCommitted(m.s.now, changes.To)
			m.hub.Apply(changes)
			m.feed()
		}
	}
	if w := m.proposals[e.Index]; w != nil {
		delete(m.proposals, e.Index)
		if w.term != e.Term {
			verdict = errProposalDropped
		}
		w.result(verdict)
	}
}

// manage is the leader's periodic work: it transfers leadership away from a slow disk
// and removes the servers of dead nodes.
func (m *quorumMember) manage() {
	if !m.raft.IsLeader() {
		m.leadershipLost()
		return
	}
	if !m.isLeader {
		m.isLeader, m.leaderSince = true, m.s.now
		m.s.measurements.leaderElected(m.s.now)
	}
	if m.raft.ShouldTransferLeadership() && m.raft.TransferLeadership(m.s.now) {
		return
	}
	dead := m.catalog.MembersOn(func(node string) bool { return m.group.Lost(m.s.now, node, m.s.now-m.leaderSince) })
	if len(dead) > 0 && len(m.proposals) == 0 {
		m.propose(&wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: dead}}}, func(error) {})
	}
}

// propose proposes a command. It is called in the loop.
func (m *quorumMember) propose(cmd *wire.Command, result func(error)) {
	data, err := proto.Marshal(cmd)
	m.s.check(err)
	if m.raft.IsLeader() && raft.Voters(m.raft.Peers()) < raft.MinAckVoters(faultTolerance, len(m.s.members)) {
		result(errTooFewVoters)
		return
	}
	index, term, err := m.raft.Propose(m.s.now, data)
	if err != nil {
		result(err)
		return
	}
	m.proposals[index] = &proposal{term, result}
}

// read calls look once the state includes everything that was acknowledged before.
func (m *quorumMember) read(done func(ok bool)) {
	m.token++
	m.reads[m.token] = done
	m.raft.ReadIndex(m.s.now, m.token)
}

// leader returns the leader as this member knows it; nil: it knows none.
func (m *quorumMember) leader() *quorumMember {
	for _, p := range m.raft.Peers() {
		if p.Id == m.raft.Leader() {
			return m.s.memberByID(p.Id)
		}
	}
	return nil
}

// manageMembers executes what raft.MembershipManager asks for.
func (m *quorumMember) manageMembers() {
	actions := m.members.Tick(m.s.now, m.peer(false), raft.WantedVoters(faultTolerance, len(m.s.members)), m.knownMembers)
	if actions.Propose.Next != nil {
		m.raft.ProposeMembership(m.s.now, actions.Propose.Next)
	}
	for _, address := range actions.JoinAt {
		m.requestJoin(address)
	}
}

// knownMembers are the addresses of the seeds and of the quorum members in the
// membership list.
func (m *quorumMember) knownMembers() []string {
	known := slices.Clone(m.s.seeds)
	for _, member := range m.group.Members() {
		if member.QuorumMember {
			known = append(known, member.Address)
		}
	}
	return known
}

// requestJoin asks the process at an address to add this one as a member.
func (m *quorumMember) requestJoin(address string) {
	index := slices.IndexFunc(m.s.members, func(o *quorumMember) bool { return o.name == address })
	if index < 0 {
		return
	}
	other, incarnation := m.s.members[index], m.incarnation
	self := m.peer(false)
	m.s.call(&m.machine, &other.machine, proto.Size(self), joinCallTimeout, func(answer func(int, func())) {
		other.post(func() {
			change, joined := other.members.HandleJoin(m.s.now, self)
			if change.Next != nil {
				other.raft.ProposeMembership(m.s.now, change.Next)
			}
			answer(proto.Size(joined), func() {
				if !m.up || m.incarnation != incarnation {
					return
				}
				if leader := m.members.HandleJoinResponse(joined); leader != "" {
					m.requestJoin(leader)
				}
			})
		})
	}, func(bool) {})
}
