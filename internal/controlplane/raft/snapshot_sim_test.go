package raft

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ivydeck/internal/simulation/simdisk"
	"ivydeck/internal/transport/wire"
)

var catchUpSeeds = flag.Int("catchup-seeds", 9, "simulated worlds of members that lag behind changes at full rate")
var firstCatchUpSeed = flag.Uint64("catchup-seed", 0, "the first of them")

// The simulation of members that lag: a quorum takes changes at full rate, of a state whose transfer takes seconds, while
// members are restarted, cut off and frozen, also in the middle of a transfer, of its installation and of a snapshot.
const (
	catchUpStep     = 5 * time.Millisecond
	catchUpTrouble  = 14 * time.Second
	catchUpCalm     = 6 * time.Second // and three transfers more: in it all have to catch up, with changes at the same rate
	catchUpBacklog  = 400             // entries behind a snapshot, at which the next is taken
	catchUpTail     = 300             // entries kept in front of one
	maxLagAtTheEnd  = 600 * time.Millisecond
	transferReports = 200 * time.Millisecond
)

// replica is one member.
type replica struct {
	n       int
	disk    simdisk.Disk
	node    *Node // nil: it is down
	upAt    time.Duration
	frozen  time.Duration // until then
	applied uint64
	digest  uint64 // of all that was applied, in order

	inbox   []delivery
	writing *snapshotInWork
	partial map[uint64]int // bytes that have come of a snapshot, by its index
	begun   *inTransit     // the newest transfer to it
}

type delivery struct {
	at time.Duration
	m  *wire.RaftMessage
}

// snapshotInWork is a copy of the state that is being encoded and written.
type snapshotInWork struct {
	done  time.Duration
	index uint64
	data  []byte
}

// inTransit is a snapshot on its way.
type inTransit struct {
	from, to   *replica
	sender     *Node // the process that sends it
	term       uint64
	receiver   *Node
	snapshot   *wire.RaftSnapshot
	reportedAt time.Duration
}

// cluster is the simulated world.
type cluster struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	replicas  []*replica
	cut       map[[2]int]bool
	cutUntil  time.Duration
	rate      int // changes a second
	stateSize int // bytes of a snapshot on its way
	bandwidth int // bytes a second
	transfers []*inTransit
	agreed    map[uint64]uint64 // digest of the state behind an index
	acked     uint64            // the newest index that a client was told of
	wrong     string
	calm      bool // nothing fails any more

	completed, resumed, broken, installsCut, compactionsCut int
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 21)), cut: map[[2]int]bool{}, agreed: map[uint64]uint64{},
		rate: []int{200, 1000, 2000}[seed%3], bandwidth: 2 << 20,
	}
	c.stateSize = (1 + c.rng.IntN(12)) << 20
	peers := voters(3)
	for i := range 3 {
		r := &replica{n: i, disk: simdisk.Disk{ID: uint64(i + 1), Tail: catchUpTail, Hard: &wire.HardState{Term: 1}, Snap: &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}}}
		c.replicas = append(c.replicas, r)
		c.start(r)
	}
	return c
}

func (c *cluster) fail(format string, args ...any) {
	if c.wrong == "" {
		c.wrong = fmt.Sprintf("at %v: ", c.now) + fmt.Sprintf(format, args...)
	}
}

// digestOf is the state that a snapshot holds.
func digestOf(s *wire.RaftSnapshot) uint64 {
	if len(s.GetData()) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(s.Data)
}

// catchUpEntries is as much as is written while a snapshot is transferred, and half as much again.
func (c *cluster) catchUpEntries() int { return 600 + c.rate*c.stateSize/c.bandwidth*3/2 }

func (c *cluster) start(r *replica) {
	r.node = New(r.disk.ID, r.disk.Hard, r.disk.Snap, slices.Clone(r.disk.Entries), c.rng.Uint64(), c.now)
	r.node.SetRetention(catchUpTail, c.catchUpEntries())
	r.applied, r.digest = r.disk.Snap.GetIndex(), digestOf(r.disk.Snap)
	r.inbox, r.writing = nil, nil
	if r.partial == nil {
		r.partial = map[uint64]int{}
	}
}

// crash ends a replica's process; without power what was not synced may be gone.
func (c *cluster) crash(r *replica, power bool) {
	if r.writing != nil {
		c.compactionsCut++
	}
	r.disk.Crash(c.rng)
	if power {
		for index, have := range r.partial {
			r.partial[index] = c.rng.IntN(have + 1)
		}
	}
	r.node, r.upAt = nil, c.now+time.Duration(100+c.rng.IntN(5000))*time.Millisecond
}

func (c *cluster) connected(a, b int) bool { return !c.cut[[2]int{a, b}] }

// settle carries out what a node asks for.
func (c *cluster) settle(r *replica) {
	for r.node != nil {
		o := r.node.Ready()
		if o.Empty() {
			return
		}
		r.disk.Write(o.Snapshot, o.HardState, o.Entries)
		if o.Snapshot != nil && c.installsCut == 0 && c.rng.IntN(2) == 0 { // the power goes in the middle of an installation
			c.installsCut++
			c.crash(r, true)
			return
		}
		r.disk.Sync()
		if o.Snapshot != nil {
			if o.Snapshot.Index < r.applied {
				c.fail("replica %d goes back from %d to a snapshot at %d", r.n, r.applied, o.Snapshot.Index)
			}
			r.applied, r.digest = o.Snapshot.Index, digestOf(o.Snapshot)
			c.check(r)
		}
		if n := len(o.Entries); n > 0 {
			r.node.StableTo(o.Entries[n-1].Index)
		}
		for _, m := range o.Messages {
			c.send(r, m)
		}
		for _, e := range o.CommittedEntries {
			c.apply(r, e)
		}
		c.compact(r)
	}
}

func (c *cluster) send(r *replica, m *wire.RaftMessage) {
	to := c.replicas[m.To-1]
	if m.Kind == wire.RaftMessage_INSTALL_SNAPSHOT {
		c.beginTransfer(r, to, m.Snapshot)
		return
	}
	if c.connected(r.n, to.n) && c.rng.IntN(300) != 0 {
		to.inbox = append(to.inbox, delivery{c.now + time.Duration(1+c.rng.IntN(15))*time.Millisecond, m})
	}
}

func (c *cluster) apply(r *replica, e *wire.Entry) {
	if e.Index != r.applied+1 {
		c.fail("replica %d applies %d after %d", r.n, e.Index, r.applied)
	}
	h := fnv.New64a()
	binary.Write(h, binary.BigEndian, []uint64{r.digest, e.Index, e.Term})
	h.Write(e.Data)
	r.applied, r.digest = e.Index, h.Sum64()
	c.check(r)
	if r.node.IsLeader() {
		c.acked = max(c.acked, e.Index)
	}
}

// check compares a replica's state with what others had at the same index.
func (c *cluster) check(r *replica) {
	if digest, known := c.agreed[r.applied]; known && digest != r.digest {
		c.fail("replica %d has another state than others at %d", r.n, r.applied)
	}
	c.agreed[r.applied] = r.digest
}

// compact begins a snapshot, or ends one that has been written.
func (c *cluster) compact(r *replica) {
	if w := r.writing; w != nil && c.now >= w.done {
		r.writing = nil
		if s := r.node.Compact(w.index, w.data); s != nil {
			r.disk.Compact(s)
		}
	}
	if r.writing == nil && r.node.Backlog() >= catchUpBacklog {
		took := time.Duration(10+c.rng.IntN(300)) * time.Millisecond
		r.writing = &snapshotInWork{c.now + took, r.applied, binary.BigEndian.AppendUint64(nil, r.digest)}
	}
}

// beginTransfer is the driver's part: a stream of its own, of which one may be under way from a leader to a member.
func (c *cluster) beginTransfer(from, to *replica, s *wire.RaftSnapshot) {
	for _, t := range c.transfers {
		if t.sender != from.node || t.to != to {
			continue
		}
		if t.snapshot == s {
			if c.now-t.reportedAt < snapshotTimeout {
				c.fail("replica %d begins the snapshot at %d for %d again, %v after it was told of progress", from.n, s.Index, to.n, c.now-t.reportedAt)
			}
			return
		}
		if t.term == from.node.Term() { // a leader that was elected again knows nothing of its transfers
			c.fail("replica %d begins a snapshot at %d for %d, with that at %d under way", from.n, s.Index, to.n, t.snapshot.Index)
		}
	}
	c.transfers = slices.DeleteFunc(c.transfers, func(t *inTransit) bool { return t.to == to }) // the receiver takes the newest
	if to.node == nil || !c.connected(from.n, to.n) || to.node.Committed() >= s.Index {
		event := SnapshotFailed
		if to.node != nil && c.connected(from.n, to.n) {
			event = SnapshotFinished // it is not needed
		}
		from.node.ReportSnapshot(c.now, to.disk.ID, s.Index, event)
		return
	}
	if b := to.begun; b != nil && b.sender == from.node && b.term == from.node.Term() && b.snapshot != s && to.partial[b.snapshot.Index] > 0 &&
		b.snapshot.Index >= from.node.base.index {
		c.fail("replica %d gives up a snapshot at %d for %d, of which %d bytes have come, for one at %d, with its log from %d on",
			from.n, b.snapshot.Index, to.n, to.partial[b.snapshot.Index], s.Index, from.node.first())
	}
	if to.partial[s.Index] > 0 {
		c.resumed++
	}
	for index := range to.partial {
		if index != s.Index {
			delete(to.partial, index)
		}
	}
	to.begun = &inTransit{from: from, to: to, sender: from.node, term: from.node.Term(), receiver: to.node, snapshot: s, reportedAt: c.now}
	c.transfers = append(c.transfers, to.begun)
}

// carryOn moves all transfers by one step.
func (c *cluster) carryOn() {
	c.transfers = slices.DeleteFunc(c.transfers, func(t *inTransit) bool {
		s := t.snapshot
		if t.from.node != t.sender || t.to.node != t.receiver || !c.connected(t.from.n, t.to.n) || !c.connected(t.to.n, t.from.n) {
			c.broken++
			if t.from.node == t.sender && t.sender != nil {
				t.sender.ReportSnapshot(c.now, t.to.disk.ID, s.Index, SnapshotFailed)
			}
			return true
		}
		if !c.calm && max(t.to.frozen, t.from.frozen) > c.now {
			return false
		}
		t.to.partial[s.Index] += c.bandwidth / int(time.Second/catchUpStep)
		if t.to.partial[s.Index] < c.stateSize {
			if c.now-t.reportedAt > transferReports {
				t.reportedAt = c.now
				t.sender.ReportSnapshot(c.now, t.to.disk.ID, s.Index, SnapshotProgress)
			}
			return false
		}
		t.to.node.InstallSnapshot(c.now, s)
		c.settle(t.to)
		if t.to.node != nil {
			c.completed++
			delete(t.to.partial, s.Index)
			t.sender.ReportSnapshot(c.now, t.to.disk.ID, s.Index, SnapshotFinished)
		} else {
			t.sender.ReportSnapshot(c.now, t.to.disk.ID, s.Index, SnapshotFailed)
		}
		return true
	})
}

// trouble lets something fail now and then; a majority stays up most of the time.
func (c *cluster) trouble() {
	r := c.replicas[c.rng.IntN(len(c.replicas))]
	for _, t := range c.transfers { // also those that are in the middle of something
		if c.rng.IntN(3) == 0 {
			r = t.to
		}
	}
	switch c.rng.IntN(700) {
	case 0, 1:
		if r.node != nil {
			c.crash(r, c.rng.IntN(2) == 0)
		}
	case 2:
		for _, r := range c.replicas {
			c.crash(r, true)
		}
	case 3, 4:
		for o := range c.replicas {
			c.cut[[2]int{r.n, o}], c.cut[[2]int{o, r.n}] = true, c.rng.IntN(3) > 0
		}
		c.cutUntil = c.now + time.Duration(300+c.rng.IntN(6000))*time.Millisecond
	case 5:
		r.frozen = c.now + time.Duration(200+c.rng.IntN(2500))*time.Millisecond
	}
}

// turn is one step of all replicas.
func (c *cluster) turn() {
	c.now += catchUpStep
	if c.calm || c.now > c.cutUntil {
		clear(c.cut)
	}
	if !c.calm {
		c.trouble()
	}
	c.carryOn()
	for _, r := range c.replicas {
		if r.node == nil {
			if c.now >= r.upAt || c.calm {
				c.start(r)
			}
			continue
		}
		if r.frozen > c.now && !c.calm {
			continue
		}
		led := r.node.IsLeader()
		var rest []delivery
		inbox := r.inbox
		r.inbox = nil
		for _, d := range inbox {
			if d.at > c.now {
				rest = append(rest, d)
			} else if c.connected(int(d.m.From)-1, r.n) {
				r.node.Step(c.now, d.m)
			}
		}
		r.inbox = append(rest, r.inbox...)
		r.node.Tick(c.now)
		if r.node.IsLeader() && !led && r.node.last() < c.acked {
			c.fail("replica %d leads with a log up to %d, and %d was acknowledged", r.n, r.node.last(), c.acked)
		}
		for range c.rate / int(time.Second/catchUpStep) {
			if _, _, err := r.node.Propose(c.now, []byte("change")); err != nil {
				break
			}
		}
		c.settle(r)
	}
}

// lag is how far the last replica is behind the commit index, in time at the rate of changes.
func (c *cluster) lag() time.Duration {
	commit, least := uint64(0), ^uint64(0)
	for _, r := range c.replicas {
		if r.node == nil {
			return time.Hour
		}
		commit, least = max(commit, r.node.Committed()), min(least, r.applied)
	}
	return time.Duration(commit-least) * time.Second / time.Duration(c.rate)
}

// TestMembersCatchUpAtFullRate: whatever has failed, and with changes that go on at the same rate, each member that is up and
// connected is at the newest changes within a bounded time; none goes back, none leads over what was acknowledged, and at
// most one snapshot is under way to a member.
func TestMembersCatchUpAtFullRate(t *testing.T) {
	var total cluster
	for seed := range uint64(*catchUpSeeds) {
		seed += *firstCatchUpSeed
		c := newCluster(t, seed)
		for c.now < catchUpTrouble && c.wrong == "" {
			c.turn()
		}
		c.calm = true
		calm := catchUpCalm + 3*time.Duration(c.stateSize)*time.Second/time.Duration(c.bandwidth)
		before := c.acked
		caughtUp := time.Duration(0)
		for c.now < catchUpTrouble+calm && c.wrong == "" {
			c.turn()
			if c.lag() > maxLagAtTheEnd {
				caughtUp = c.now
			}
		}
		if c.wrong != "" {
			t.Errorf("seed %d: %s", seed, c.wrong)
		} else if lag := c.lag(); lag > maxLagAtTheEnd || c.acked < before+uint64(c.rate) {
			t.Errorf("seed %d: a member is %v behind after %v of calm, at %d changes a second and a state of %d MB; %d changes were acknowledged in it",
				seed, lag, calm, c.rate, c.stateSize>>20, c.acked-before)
		}
		t.Logf("seed %d: %d changes a second, %d MB: %d acknowledged, all caught up after %v of calm", seed, c.rate, c.stateSize>>20, c.acked, max(0, caughtUp-catchUpTrouble))
		total.completed, total.resumed, total.broken = total.completed+c.completed, total.resumed+c.resumed, total.broken+c.broken
		total.installsCut, total.compactionsCut = total.installsCut+c.installsCut, total.compactionsCut+c.compactionsCut
	}
	t.Logf("%d transfers completed, %d resumed, %d broken; power lost in %d installations and %d snapshots", total.completed, total.resumed, total.broken, total.installsCut, total.compactionsCut)
	if total.completed < *catchUpSeeds/4 || total.resumed == 0 || total.broken == 0 || total.installsCut == 0 || total.compactionsCut == 0 {
		t.Error("hardly a test")
	}
}
