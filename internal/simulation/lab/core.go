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
	answerWithin = 900 * time.Millisecond
	manageEvery  = 250 * time.Millisecond

	joinCallTimeout = 600 * time.Millisecond
)

// core is a quorum member: the consensus on its disk, and the root of the relays.
type core struct {
	machine
	peerView
	s     *sim
	disk  simdisk.Disk
	stall time.Duration // until then the disk takes nothing

	raft     *raft.Node
	members  *raft.MembershipManager
	catalog  *catalog.Catalog
	applied  uint64
	changes  map[uint64]*change
	reads    map[uint64]func(bool)
	token    uint64
	busy     bool // a sync is under way
	inbox    []func()
	managed  time.Duration
	leads    bool
	ledSince time.Duration

	contactAt time.Duration // when a quorum last confirmed what is applied
}

type change struct {
	term   uint64
	result func(error)
}

func (c *core) start() {
	s := c.s
	s.lives++
	c.incarnation, c.up, c.powered = s.lives, true, true
	if c.disk.ID == 0 {
		for c.disk.ID == 0 {
			c.disk.ID = s.rng.Uint64()
		}
		if c == s.cores[0] && !s.begun { // the first of all begins the core by itself
			s.begun = true
			c.catalog = catalog.New()
			data, err := c.catalog.Snapshot()
			s.must(err)
			c.disk.Hard = &wire.HardState{Term: 1}
			c.disk.Snap = &wire.RaftSnapshot{Term: 1, Index: 1, Data: data, Peers: &wire.Peers{Peers: []*wire.Peer{c.peer(true)}}}
		}
	}
	c.catalog = catalog.New()
	if c.disk.Snap != nil {
		s.must(c.catalog.Restore(c.disk.Snap.Data))
	}
	c.raft = raft.New(c.disk.ID, c.disk.Hard, c.disk.Snap, append([]*wire.Entry(nil), c.disk.Entries...), s.rng.Uint64(), s.now)
	c.members = raft.NewMembershipManager(c.raft)
	c.applied = c.disk.Snap.GetIndex()
	c.changes, c.reads, c.inbox, c.busy, c.leads = map[uint64]*change{}, map[uint64]func(bool){}, nil, false, false
	c.contactAt = s.now - raft.MaxContactAge
	c.hub = relay.NewHub(func() time.Duration { return s.now - c.contactAt })
	c.hub.Apply(c.catalog.FullChanges())
	c.peerView.start(s, &c.machine)
	c.loop(c.incarnation)
}

func (c *core) peer(voter bool) *wire.Peer {
	return &wire.Peer{Id: c.disk.ID, Address: c.name, ControlAddress: c.name, Voter: voter}
}

func (c *core) stop(power bool) {
	if c.up {
		c.s.down(&c.machine, power)
		c.disk.Crash(c.s.rng)
		c.lose()
	}
}

// lose notes that the machine leads no longer.
func (c *core) lose() {
	if c.leads {
		c.leads = false
		c.s.m.lostLeader(c.s.now, slices.ContainsFunc(c.s.cores, func(o *core) bool { return o.leads }))
	}
}

// do runs f in the machine's loop.
func (c *core) do(f func()) {
	c.inbox = append(c.inbox, f)
	if !c.busy {
		c.turn()
	}
}

// loop lets the machine run when its core wants to.
func (c *core) loop(incarnation uint64) {
	if !c.up || c.incarnation != incarnation {
		return
	}
	if !c.busy {
		c.turn()
	}
	c.s.at(max(c.s.now+time.Millisecond, min(c.raft.NextTick(), c.s.now+manageEvery)), func() { c.loop(incarnation) })
}

// turn takes in what has come, and carries out what the core asks for.
func (c *core) turn() {
	now := c.s.now
	for len(c.inbox) > 0 {
		f := c.inbox[0]
		c.inbox = c.inbox[1:]
		f()
	}
	c.raft.Tick(now)
	if now-c.managed >= manageEvery {
		c.managed = now
		c.manage()
	}
	c.manageMembers()
	c.flush()
}

// flush is the driver's: disk first, then messages, then what is committed.
func (c *core) flush() {
	o := c.raft.Ready()
	if o.Empty() {
		c.contactAt = c.s.now - c.raft.QuorumContactAge(c.s.now)
		return
	}
	if o.Snapshot == nil && o.HardState == nil && len(o.Entries) == 0 {
		c.finish(o)
		c.flush()
		return
	}
	c.busy = true
	c.disk.Write(o.Snapshot, o.HardState, o.Entries)
	incarnation := c.incarnation
	took := max(0, c.stall-c.s.now) + ms(c.s.w.SyncMs*(0.5+c.s.rng.Float64()))
	c.s.after(took, func() {
		if !c.up || c.incarnation != incarnation {
			return
		}
		c.disk.Sync()
		c.raft.ObserveSync(took)
		c.busy = false
		if o.Snapshot != nil {
			c.s.must(c.catalog.Restore(o.Snapshot.Data))
			c.applied = o.Snapshot.Index
			c.hub.Apply(c.catalog.FullChanges())
			c.feed()
		}
		if n := len(o.Entries); n > 0 {
			c.raft.StableTo(o.Entries[n-1].Index)
		}
		c.finish(o)
		c.turn()
	})
}

func (c *core) finish(o raft.Ready) {
	for _, m := range o.Messages {
		to := c.s.coreByID(m.To)
		if to == nil {
			continue
		}
		c.s.stream(&c.machine, &to.machine, proto.Size(m)+rpcBytes, c.s.lastOf(c, to), func() {
			to.do(func() { to.raft.Step(c.s.now, m) })
		})
	}
	for _, e := range o.CommittedEntries {
		c.apply(e)
	}
	for _, r := range o.ReadStates {
		if f := c.reads[r.Token]; f != nil {
			delete(c.reads, r.Token)
			f(r.OK)
		}
	}
	if c.raft.SnapshotDue() {
		data, err := c.catalog.Snapshot()
		c.s.must(err)
		if snap := c.raft.Compact(c.applied, data); snap != nil {
			c.disk.Compact(snap)
		}
	}
	c.s.m.disk = max(c.s.m.disk, c.disk.Bytes())
}

func (c *core) apply(e *wire.Entry) {
	c.applied = e.Index
	var verdict error
	if e.Kind == wire.Entry_COMMAND {
		cmd := new(wire.Command)
		c.s.must(proto.Unmarshal(e.Data, cmd))
		var changes *wire.Changes
		if changes, verdict = c.catalog.Apply(cmd); changes != nil {
			c.s.m.committed(c.s.now, changes.To)
			c.hub.Apply(changes)
			c.feed()
		}
	}
	if w := c.changes[e.Index]; w != nil {
		delete(c.changes, e.Index)
		if w.term != e.Term {
			verdict = errLost
		}
		w.result(verdict)
	}
}

// manage is the leader's upkeep.
func (c *core) manage() {
	if !c.raft.IsLeader() {
		c.lose()
		return
	}
	if !c.leads {
		c.leads, c.ledSince = true, c.s.now
		c.s.m.newLeader(c.s.now)
	}
	if c.raft.ShouldTransferLeadership() && c.raft.TransferLeadership(c.s.now) {
		return
	}
	gone := c.catalog.MembersOn(func(node string) bool { return c.group.Lost(c.s.now, node, c.s.now-c.ledSince) })
	if len(gone) > 0 && len(c.changes) == 0 {
		c.propose(&wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: gone}}}, func(error) {})
	}
}

// propose puts a command into the log; to be called in the loop.
func (c *core) propose(cmd *wire.Command, result func(error)) {
	data, err := proto.Marshal(cmd)
	c.s.must(err)
	if c.raft.IsLeader() && raft.Voters(c.raft.Peers()) < raft.MinAckVoters(tolerated, len(c.s.cores)) {
		result(errYoung)
		return
	}
	index, term, err := c.raft.Propose(c.s.now, data)
	if err != nil {
		result(err)
		return
	}
	c.changes[index] = &change{term, result}
}

// read lets look see the state once all that was acknowledged before is in it.
func (c *core) read(look func(ok bool)) {
	c.token++
	c.reads[c.token] = look
	c.raft.ReadIndex(c.s.now, c.token)
}

func (c *core) leader() *core {
	for _, p := range c.raft.Peers() {
		if p.Id == c.raft.Leader() {
			return c.s.coreByID(p.Id)
		}
	}
	return nil
}

// manageMembers is the driver of raft.MembershipManager.
func (c *core) manageMembers() {
	actions := c.members.Tick(c.s.now, c.peer(false), raft.WantedVoters(tolerated, len(c.s.cores)), c.knownMembers)
	if actions.Propose.Next != nil {
		c.raft.ProposeMembership(c.s.now, actions.Propose.Next)
	}
	for _, address := range actions.JoinAt {
		c.askToJoin(address)
	}
}

// knownMembers are the seeds, and the addresses that the gossip knows.
func (c *core) knownMembers() []string {
	known := slices.Clone(c.s.seeds)
	for _, member := range c.group.Members() {
		if member.QuorumMember {
			known = append(known, member.Address)
		}
	}
	return known
}

// askToJoin asks a process for membership.
func (c *core) askToJoin(address string) {
	place := slices.IndexFunc(c.s.cores, func(o *core) bool { return o.name == address })
	if place < 0 {
		return
	}
	other, incarnation := c.s.cores[place], c.incarnation
	self := c.peer(false)
	c.s.call(&c.machine, &other.machine, proto.Size(self), joinCallTimeout, func(answer func(int, func())) {
		other.do(func() {
			change, joined := other.members.HandleJoin(c.s.now, self)
			if change.Next != nil {
				other.raft.ProposeMembership(c.s.now, change.Next)
			}
			answer(proto.Size(joined), func() {
				if !c.up || c.incarnation != incarnation {
					return
				}
				if leader := c.members.HandleJoinResponse(joined); leader != "" {
					c.askToJoin(leader)
				}
			})
		})
	}, func(bool) {})
}
