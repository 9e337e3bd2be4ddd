package lab

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/departure"
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

// quorumMember is a simulated machine of the control plane. It drives raft, the catalog and
// the root of the relays as internal/controlplane/server does.
type quorumMember struct {
	machine
	peerView
	sim        *sim
	disk       simdisk.Disk
	stallUntil time.Duration // end of the disk's stall

	raft            *raft.Node
	members         *raft.MembershipManager
	catalog         *catalog.Catalog
	applied         uint64                // index of the last applied entry
	proposals       map[uint64]*proposal  // pending proposals, by log index
	reads           map[uint64]func(bool) // pending reads, by token
	lastReadToken   uint64
	departures      *departure.Recorder
	unsavedRequests []func() // respond to the requests that wait until their departures are on disk

	syncing       bool     // a disk sync is in progress
	inbox         []func() // calls queued for the event loop
	lastManagedAt time.Duration
	isLeader      bool
	leaderSince   time.Duration

	contactAt time.Duration // last contact with a quorum, updated when raft has no Ready to handle
}

// proposal is a pending log entry and the function that receives its result.
type proposal struct {
	term uint64 // term in which the entry was proposed
	done func(error)
}

// start starts the process from the state on its disk.
func (m *quorumMember) start() {
	s := m.sim
	s.incarnations++
	m.incarnation, m.up, m.powered = s.incarnations, true, true
	if m.disk.ID == 0 {
		for m.disk.ID == 0 {
			m.disk.ID = s.rng.Uint64()
		}
		if m == s.members[0] && !s.bootstrapped { // bootstrap the quorum with the first member as its only voter
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
	m.departures = departure.NewRecorder(m.raft, func(member string) wire.Departure_Phase { return m.catalog.Departure(member) }, m.disk.Departures, m.disk.Entries)
	m.unsavedRequests = nil
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

// stop stops the process and loses unsynced writes. If powerOff is set, it also turns the
// machine off.
func (m *quorumMember) stop(powerOff bool) {
	if m.up {
		m.sim.stop(&m.machine, powerOff)
		m.disk.Crash(m.sim.rng)
		m.leadershipLost()
	}
}

// leadershipLost records that the member is no longer the leader.
func (m *quorumMember) leadershipLost() {
	if m.isLeader {
		m.isLeader = false
		m.sim.measurements.leaderLost(m.sim.now, slices.ContainsFunc(m.sim.members, func(o *quorumMember) bool { return o.isLeader }))
	}
}

// post queues f for the event loop, and runs the loop unless a disk sync is in progress.
func (m *quorumMember) post(f func()) {
	m.inbox = append(m.inbox, f)
	if !m.syncing {
		m.step()
	}
}

// loop calls step at each tick of raft, and at least every manageInterval.
func (m *quorumMember) loop(incarnation uint64) {
	if !m.up || m.incarnation != incarnation {
		return
	}
	if !m.syncing {
		m.step()
	}
	m.sim.at(max(m.sim.now+time.Millisecond, min(m.raft.NextTick(), m.sim.now+manageInterval)), func() { m.loop(incarnation) })
}

// step makes the queued calls, ticks raft and executes its Ready.
func (m *quorumMember) step() {
	now := m.sim.now
	for len(m.inbox) > 0 {
		f := m.inbox[0]
		m.inbox = m.inbox[1:]
		f()
	}
	m.raft.Tick(now)
	if now-m.lastManagedAt >= manageInterval {
		m.lastManagedAt = now
		m.manage()
	}
	m.manageMembers()
	m.offerDepartures()
	m.flush()
}

// flush handles a Ready in the order that raft requires: it syncs the disk, sends the
// messages and applies the committed entries.
func (m *quorumMember) flush() {
	ready, departures := m.raft.Ready(), m.departures.Unsaved()
	if departures == nil {
		m.departuresSaved()
	}
	if ready.Empty() && departures == nil {
		m.contactAt = m.sim.now - m.raft.QuorumContactAge(m.sim.now)
		return
	}
	if ready.Snapshot == nil && ready.HardState == nil && len(ready.Entries) == 0 && departures == nil {
		m.advance(ready)
		m.flush()
		return
	}
	m.syncing = true
	m.disk.Write(ready.Snapshot, ready.HardState, ready.Entries)
	m.disk.WriteDepartures(departures)
	incarnation := m.incarnation
	took := max(0, m.stallUntil-m.sim.now) + ms(m.sim.scenario.SyncMs*(0.5+m.sim.rng.Float64()))
	m.sim.after(took, func() {
		if !m.up || m.incarnation != incarnation {
			return
		}
		m.disk.Sync()
		if departures != nil {
			m.departures.Saved()
		}
		m.raft.ObserveSync(took)
		m.syncing = false
		if ready.Snapshot != nil {
			m.sim.check(m.catalog.Restore(ready.Snapshot.Data))
			m.applied = ready.Snapshot.Index
			m.departures.Applied()
			m.hub.Apply(m.catalog.FullChanges())
			m.feed()
		}
		if n := len(ready.Entries); n > 0 {
			m.raft.StableTo(ready.Entries[n-1].Index)
		}
		m.advance(ready)
		m.step()
	})
}

// advance sends messages, applies entries, completes reads and compacts the log.
func (m *quorumMember) advance(ready raft.Ready) {
	for _, message := range ready.Messages {
		receiver := m.sim.memberByID(message.To)
		if receiver == nil {
			continue
		}
		m.sim.stream(&m.machine, &receiver.machine, proto.Size(message)+rpcBytes, m.sim.lastDelivery(m, receiver), func() {
			receiver.post(func() { receiver.raft.Step(m.sim.now, message) })
		})
	}
	for _, e := range ready.CommittedEntries {
		m.apply(e)
	}
	for _, r := range ready.ReadStates {
		if f := m.reads[r.Token]; f != nil {
			delete(m.reads, r.Token)
			f(r.OK)
		}
	}
	if m.raft.SnapshotDue() {
		data, err := m.catalog.Snapshot()
		m.sim.check(err)
		if snap := m.raft.Compact(m.applied, data); snap != nil {
			m.disk.Compact(snap)
		}
	}
	m.sim.measurements.maxDiskBytes = max(m.sim.measurements.maxDiskBytes, m.disk.Bytes())
}

// apply applies a committed entry, and completes its proposal if one is pending.
func (m *quorumMember) apply(entry *wire.Entry) {
	m.applied = entry.Index
	var applyErr error
	if entry.Kind == wire.Entry_COMMAND {
		cmd := new(wire.Command)
		m.sim.check(proto.Unmarshal(entry.Data, cmd))
		var changes *wire.Changes
		if changes, applyErr = m.catalog.Apply(cmd); changes != nil {
			m.sim.measurements.updateCommitted(m.sim.now, changes.To)
			m.hub.Apply(changes)
			m.feed()
		}
		m.departures.Applied()
	}
	if pending := m.proposals[entry.Index]; pending != nil {
		delete(m.proposals, entry.Index)
		if pending.term != entry.Term {
			applyErr = errNotCompleted
		}
		pending.done(applyErr)
	}
}

// manage is the leader's periodic work: it transfers leadership away from a slow disk
// and removes the servers of lost nodes.
func (m *quorumMember) manage() {
	if !m.raft.IsLeader() {
		m.leadershipLost()
		return
	}
	if !m.isLeader {
		m.isLeader, m.leaderSince = true, m.sim.now
		m.sim.measurements.leaderElected(m.sim.now)
	}
	if m.raft.ShouldTransferLeadership() && m.raft.TransferLeadership(m.sim.now) {
		return
	}
	lost := m.catalog.MembersOn(func(node string) bool { return m.memberlist.Lost(m.sim.now, node, m.sim.now-m.leaderSince) })
	if len(lost) > 0 && len(m.proposals) == 0 {
		m.propose(&wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: lost}}}, func(error) {})
	}
}

// propose proposes a command, and calls done with the result once the entry is applied or
// the proposal fails. It must be called in the event loop.
func (m *quorumMember) propose(cmd *wire.Command, done func(error)) {
	data, err := proto.Marshal(cmd)
	m.sim.check(err)
	if m.raft.IsLeader() && raft.Voters(m.raft.Peers()) < raft.MinAckVoters(faultTolerance, len(m.sim.members)) {
		done(errTooFewVoters)
		return
	}
	index, term, err := m.raft.Propose(m.sim.now, data)
	if err != nil {
		done(err)
		return
	}
	m.proposals[index] = &proposal{term, done}
}

// read calls done with true once the applied state includes everything that was acknowledged
// before the call, or with false if the read fails.
func (m *quorumMember) read(done func(ok bool)) {
	m.lastReadToken++
	m.reads[m.lastReadToken] = done
	m.raft.ReadIndex(m.sim.now, m.lastReadToken)
}

// leader returns the leader according to this member, or nil if it is unknown.
func (m *quorumMember) leader() *quorumMember {
	for _, p := range m.raft.Peers() {
		if p.Id == m.raft.Leader() {
			return m.sim.memberByID(p.Id)
		}
	}
	return nil
}

// manageMembers executes the actions of raft.MembershipManager.
func (m *quorumMember) manageMembers() {
	actions := m.members.Tick(m.sim.now, m.peer(false), raft.WantedVoters(faultTolerance, len(m.sim.members)), m.knownMembers)
	if actions.Propose.Next != nil {
		m.raft.ProposeMembership(m.sim.now, actions.Propose.Next)
	}
	for _, address := range actions.JoinAt {
		m.requestJoin(address)
	}
}

// knownMembers returns the addresses of the seeds and of the quorum members in the
// membership list.
func (m *quorumMember) knownMembers() []string {
	known := slices.Clone(m.sim.seeds)
	for _, member := range m.memberlist.Members() {
		if member.QuorumMember {
			known = append(known, member.Address)
		}
	}
	return known
}

// requestJoin sends a join request to the member at an address, and to the leader that the
// response names, if any.
func (m *quorumMember) requestJoin(address string) {
	index := slices.IndexFunc(m.sim.members, func(o *quorumMember) bool { return o.name == address })
	if index < 0 {
		return
	}
	other, incarnation := m.sim.members[index], m.incarnation
	self := m.peer(false)
	m.sim.call(&m.machine, &other.machine, proto.Size(self), joinCallTimeout, func(answer func(int, func())) {
		other.post(func() {
			change, joined := other.members.HandleJoin(m.sim.now, self)
			if change.Next != nil {
				other.raft.ProposeMembership(m.sim.now, change.Next)
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
