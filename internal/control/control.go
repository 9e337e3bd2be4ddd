// Package control is the program of the core machines: it drives the consensus
// on its disk, answers the operator, and is where the tree of relays begins.
package control

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"ivydeck/internal/identity"
	"ivydeck/internal/program"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/catalog"
	"ivydeck/internal/gossip"
	"ivydeck/internal/metrics"
	"ivydeck/internal/nodefile"
	"ivydeck/internal/raft"
	"ivydeck/internal/relay"
	"ivydeck/internal/rpc"
	"ivydeck/internal/store"
	"ivydeck/internal/wire"
)

const (
	manageEvery  = 250 * time.Millisecond
	answerWithin = 900 * time.Millisecond // operators move on after a second of silence
	mostWaiting  = 4096
	mostHeard    = 64
	diskPause    = 200 * time.Millisecond
	handoverWait = 400 * time.Millisecond // for another to take the lead, when this process ends
	lastWords    = 50 * time.Millisecond  // for its vote to go out
)

// Errors of a change or a read.
var (
	errLost    = errors.New("another entry took its place")
	errTimeout = errors.New("no majority in time")
	errYoung   = errors.New("the core has too few members yet")
)

// Node is a core machine.
type Node struct {
	set     atomic.Pointer[nodefile.Settings]
	log     *slog.Logger
	pool    *rpc.Pool
	gossip  *gossip.Gossip
	hub     *relay.Hub
	shown   *metrics.Set // nil: not served
	refused atomic.Int64 // calls of the operator's interface, for want of a proper identity
	began   time.Time
	events  chan func()
	ctx     context.Context

	// What follows belongs to the goroutine in loop.
	store    *store.Store
	core     *raft.Core
	catalog  *catalog.Catalog
	applied  uint64
	changes  map[uint64]*change // by index
	reads    map[uint64]chan error
	token    uint64
	senders  map[uint64]*sender
	managed  time.Duration
	wasLead  bool
	ledSince time.Duration
	heard    map[uint64]string // addresses of those who sent messages

	workers sync.WaitGroup
	touch   atomic.Int64 // begin + ns when the core was last in touch
}

// change is a proposal that waits to be applied.
type change struct {
	term   uint64
	result chan error
}

// sender carries messages to one member.
type sender struct {
	address string
	queue   chan *wire.Raft
	cancel  context.CancelFunc
}

// Run is the whole life of a core machine. It returns soon after the context ends: a leader gives the lead to another
// first.
func Run(stop context.Context, set *nodefile.Settings, reload func() *nodefile.Settings, log *slog.Logger) error {
	ctx, end := context.WithCancel(context.WithoutCancel(stop))
	defer end()
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64()))
	source, err := program.Identity(set, log)
	if err != nil {
		return err
	}
	st, err := store.Open(set.DataDir, rng)
	if err != nil {
		return err
	}
	if st.Damaged != nil {
		log.Error("store.damaged", "err", st.Damaged, "kept", "beside the new folder, as log.damaged")
	}
	n := &Node{
		log: log, began: time.Now(), events: make(chan func(), 1024), ctx: ctx, store: st, catalog: catalog.New(),
		changes: map[uint64]*change{}, reads: map[uint64]chan error{}, senders: map[uint64]*sender{},
		heard: map[uint64]string{}, pool: rpc.NewPool(ctx),
	}
	n.pool.Identity = source
	n.set.Store(set)
	n.touch.Store(-int64(time.Hour))
	n.hub = relay.NewHub(func() time.Duration { return n.now() - time.Duration(n.touch.Load()) })
	if err := n.restore(rng.Uint64()); err != nil {
		st.Close()
		return err
	}
	n.gossip = gossip.New(&wire.Member{
		Name: set.Node, Address: set.Internal(), Zone: set.Zone, Core: true, Life: uint64(time.Now().UnixMilli()),
	}, rng.Uint64(), n.pool, func() []string { return n.set.Load().SeedNodes() }, log)

	internal, err := net.Listen("tcp", set.Internal())
	if err != nil {
		st.Close()
		return fmt.Errorf("listening to nodes: %w", err)
	}
	public, err := net.Listen("tcp", set.Control)
	if err != nil {
		internal.Close()
		st.Close()
		return fmt.Errorf("listening to operators: %w", err)
	}
	server := rpc.NewServer(log)
	server.Identity, server.Refused = n.pool.Identity, &n.refused
	n.gossip.Register(server)
	server.Handle("raft", n.raftStream, identity.Core)
	server.Handle("join", rpc.Unary(n.join), identity.Core)
	server.Handle("propose", rpc.Unary(n.propose))
	server.Handle("head", rpc.Unary(n.head))
	server.Handle("subscribe", n.hub.Serve)
	web := &http.Server{
		Handler: n.routes(), ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	if set.Metrics != "" {
		n.shown = n.figures()
		n.workers.Go(func() { n.shown.Serve(ctx, set.Metrics, program.Secure(n.pool.Identity, set.SecureMetrics), log) })
	}
	n.workers.Go(func() { server.Serve(ctx, internal) })
	if set.SecureOperator {
		public = tls.NewListener(public, n.pool.Identity.Server())
	}
	n.workers.Go(func() { web.Serve(public) })
	n.workers.Go(func() { n.gossip.Run(ctx) })
	n.workers.Go(func() { n.joinLoop(ctx) })
	n.workers.Go(func() {
		for s := reload(); s != nil; s = reload() { // it returns nothing once the program ends
			n.set.Store(s)
		}
	})
	log.Info("core.start", "node", set.Node, "identity", fmt.Sprintf("%016x", st.ID), "entries", n.core.Backlog(), "empty", st.Fresh)
	n.loop(stop.Done())
	end()
	shut, done := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer done()
	web.Shutdown(shut)
	web.Close()
	n.workers.Wait()
	return st.Close()
}

func (n *Node) now() time.Duration { return time.Since(n.began) }

// restore brings the replicated state to where the disk has it. The first of the
// seeds begins the core by itself, once in its life; all others join it.
func (n *Node) restore(seed uint64) error {
	set, st := n.set.Load(), n.store
	if st.Fresh && st.Damaged == nil && set.Bootstrap && slices.Min(set.Seeds) == set.Control {
		data, err := n.catalog.Snapshot()
		if err != nil {
			return err
		}
		snap := &wire.RaftSnapshot{Term: 1, Index: 1, Data: data, Peers: &wire.Peers{Peers: []*wire.Peer{n.self(true)}}}
		if err := st.Save(store.Batch{Snapshot: snap, Hard: &wire.HardState{Term: 1}}); err != nil {
			return err
		}
		st.Hard, st.Snapshot = &wire.HardState{Term: 1}, snap
	}
	if st.Snapshot != nil && st.Snapshot.Index > 0 {
		if err := n.catalog.Restore(st.Snapshot.Data); err != nil {
			return err
		}
	}
	n.core = raft.New(st.ID, st.Hard, st.Snapshot, st.Entries, seed, 0)
	st.Entries = nil
	n.applied = st.Snapshot.GetIndex()
	n.hub.Load(n.catalog.State())
	return nil
}

func (n *Node) self(voter bool) *wire.Peer {
	set := n.set.Load()
	return &wire.Peer{Id: n.store.ID, Address: set.Internal(), Control: set.Control, Voter: voter}
}

// do runs a function in the loop; false: the node ends, or too much waits.
func (n *Node) do(f func()) bool {
	select {
	case n.events <- f:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// loop owns the consensus: events in, disk, messages, state. Once stop is closed it returns as soon as this machine
// does not lead.
func (n *Node) loop(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var leave <-chan time.Time // set while it hands the lead over
	for {
		select {
		case <-stop:
			if !n.core.HandOver(n.now()) {
				return
			}
			stop, leave = nil, time.After(handoverWait)
			n.log.Info("core.hands", "term", n.core.Term())
		case <-leave:
			return
		case f := <-n.events:
			f()
			for more := true; more; { // what has come meanwhile shares a sync
				select {
				case f := <-n.events:
					f()
				default:
					more = false
				}
			}
		case <-timer.C:
		}
		n.core.Tick(n.now())
		if now := n.now(); now-n.managed >= manageEvery || n.core.Leads() != n.wasLead {
			n.managed = now
			n.manage()
		}
		n.flush()
		if leave != nil && !n.core.Leads() {
			n.pause(lastWords)
			return
		}
		n.touch.Store(int64(n.now() - n.core.Touch(n.now())))
		timer.Reset(max(time.Millisecond, min(n.core.Next()-n.now(), manageEvery)))
	}
}

// flush carries out what the consensus asks for.
func (n *Node) flush() {
	for {
		out := n.core.Take()
		if out.Empty() {
			return
		}
		n.save(&out)
		for _, m := range out.Messages {
			n.send(m)
		}
		for _, e := range out.Committed {
			n.apply(e)
		}
		for _, r := range out.Reads {
			if c := n.reads[r.Token]; c != nil {
				delete(n.reads, r.Token)
				if r.OK {
					c <- nil
				} else {
					c <- raft.ErrNotLeader
				}
			}
		}
		n.compact()
	}
}

// save puts an output on disk. A disk that refuses holds the loop up: nothing is
// answered from memory, and the others elect a leader whose disk works.
func (n *Node) save(out *raft.Output) {
	if out.Snapshot == nil && out.Hard == nil && len(out.Entries) == 0 {
		return
	}
	b := store.Batch{Snapshot: out.Snapshot, Whole: out.Snapshot != nil, Hard: out.Hard, Entries: out.Entries}
	began := time.Now()
	for failed := false; ; failed = true {
		err := n.store.Save(b)
		if err == nil {
			if failed {
				n.log.Warn("disk.back", "after", time.Since(began))
			}
			break
		}
		n.log.Error("disk.failed", "err", err)
		if !n.pause(diskPause) {
			return
		}
		if err := n.store.Reopen(); err != nil {
			n.log.Error("disk.reopen", "err", err)
		}
	}
	n.shown.Synced(time.Since(began))
	n.core.Synced(time.Since(began))
	if took := time.Since(began); took > 300*time.Millisecond {
		n.log.Warn("disk.slow", "took", took)
	}
	if s := out.Snapshot; s != nil {
		if err := n.catalog.Restore(s.Data); err != nil {
			// It passed on the leader, which runs the same code or a newer one.
			n.log.Error("snapshot.unreadable", "err", err)
			panic(err)
		}
		n.applied = s.Index
		n.hub.Load(n.catalog.State())
	}
	if len(out.Entries) > 0 {
		n.core.Stable(out.Entries[len(out.Entries)-1].Index)
	}
}

func (n *Node) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-n.ctx.Done():
		return false
	}
}

// apply takes a committed entry into the state.
func (n *Node) apply(e *wire.Entry) {
	n.applied = e.Index
	var verdict error
	if e.Kind == wire.Entry_COMMAND {
		cmd := new(wire.Command)
		if err := proto.Unmarshal(e.Data, cmd); err != nil {
			verdict = err // all replicas pass over it alike
		} else {
			var item *wire.Item
			if item, verdict = n.catalog.Apply(cmd); item != nil {
				n.hub.Add(item)
				if _, ok := item.What.(*wire.Item_Config); ok {
					n.log.Info("config.taken", "revision", n.catalog.Revision(), "number", item.Number)
				}
			}
		}
	}
	if c := n.changes[e.Index]; c != nil {
		delete(n.changes, e.Index)
		if c.term != e.Term {
			verdict = errLost
		}
		c.result <- verdict
	}
}

func (n *Node) compact() {
	if !n.core.SnapshotDue() {
		return
	}
	data, err := n.catalog.Snapshot()
	if err != nil {
		n.log.Error("snapshot.failed", "err", err)
		return
	}
	// The snapshot has the state of now, so it stands at the applied index; only
	// members that are further behind than the log need it.
	if snap := n.core.Compact(n.applied, data); snap != nil {
		if err := n.store.Save(store.Batch{Snapshot: snap}); err != nil {
			n.log.Error("disk.failed", "err", err)
			n.store.Reopen()
		}
	}
}

// send hands a message to the goroutine of its receiver.
func (n *Node) send(m *wire.Raft) {
	address := n.heard[m.To]
	if i := slices.IndexFunc(n.core.Peers(), func(p *wire.Peer) bool { return p.Id == m.To }); i >= 0 {
		address = n.core.Peers()[i].Address
	}
	if address == "" {
		return
	}
	m.Address = n.set.Load().Internal()
	s := n.senders[m.To]
	if s != nil && s.address != address {
		s.cancel()
		s = nil
	}
	if s == nil {
		ctx, cancel := context.WithCancel(n.ctx)
		s = &sender{address: address, queue: make(chan *wire.Raft, 128), cancel: cancel}
		n.senders[m.To] = s
		n.workers.Go(func() { s.run(ctx, n.pool) })
		for id, old := range n.senders {
			if id != m.To && !slices.ContainsFunc(n.core.Peers(), func(p *wire.Peer) bool { return p.Id == id }) {
				old.cancel()
				delete(n.senders, id)
			}
		}
	}
	select {
	case s.queue <- m:
	default: // the protocol repeats what is lost
	}
}

// run sends messages in their order, over one stream as long as it holds.
func (s *sender) run(ctx context.Context, pool *rpc.Pool) {
	var stream *rpc.Stream
	defer func() {
		if stream != nil {
			stream.Close()
		}
	}()
	for {
		var m *wire.Raft
		select {
		case m = <-s.queue:
		case <-ctx.Done():
			return
		}
		if stream != nil {
			if stream.Send(m) == nil {
				continue
			}
			stream.Close()
		}
		var err error
		if stream, err = pool.Open(ctx, s.address, "raft", m); err != nil {
			stream = nil
			for len(s.queue) > 8 { // old news
				<-s.queue
			}
		}
	}
}

// raftStream takes in the messages of one sender.
func (n *Node) raftStream(s *rpc.Stream) error {
	for {
		m := new(wire.Raft)
		if err := s.Recv(m); err != nil {
			return err
		}
		if !n.do(func() {
			if len(n.heard) >= mostHeard {
				clear(n.heard)
			}
			n.heard[m.From] = m.Address
			n.core.Step(n.now(), m)
		}) {
			return n.ctx.Err()
		}
	}
}

// change proposes a command and waits for its verdict.
func (n *Node) change(ctx context.Context, cmd *wire.Command) error {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	c := &change{result: make(chan error, 1)}
	n.do(func() {
		if n.core.Leads() && raft.Voters(n.core.Peers()) < n.fewest() {
			c.result <- errYoung
			return
		}
		if len(n.changes) >= mostWaiting {
			c.result <- raft.ErrBusy
			return
		}
		index, term, err := n.core.Propose(n.now(), data)
		if err != nil {
			c.result <- err
			return
		}
		c.term = term
		n.changes[index] = c
	})
	select {
	case err := <-c.result:
		return err
	case <-ctx.Done():
		return errTimeout // it may still be taken
	}
}

// fewest is the number of voters below which nothing is acknowledged: with
// fewer, the losses that are to be borne could take a change away.
func (n *Node) fewest() int {
	set := n.set.Load()
	return min(2*set.Tolerated+1, len(set.Seeds))
}

// read waits until all that was acknowledged before the call is in the state
// here, and then looks at the state in the loop.
func (n *Node) read(ctx context.Context, look func()) error {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	result := make(chan error, 1)
	n.do(func() {
		if len(n.reads) >= mostWaiting {
			result <- raft.ErrBusy
			return
		}
		n.token++
		n.reads[n.token] = result
		n.core.Read(n.now(), n.token)
	})
	select {
	case err := <-result:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return errTimeout
	}
	// A confirmed read has the commit index of its time, and the loop applies
	// what is committed before it answers.
	done := make(chan struct{})
	if !n.do(func() { look(); close(done) }) {
		return n.ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errTimeout
	}
}

// leader returns the leader as this node knows it, or nil.
func (n *Node) leader() *wire.Peer {
	for _, p := range n.core.Peers() {
		if p.Id == n.core.Leader() {
			return p
		}
	}
	return nil
}

// ask returns the leader from outside of the loop.
func (n *Node) ask(ctx context.Context) (leader *wire.Peer, self bool) {
	type reply struct {
		leader *wire.Peer
		self   bool
	}
	c := make(chan reply, 1)
	if !n.do(func() { c <- reply{n.leader(), n.core.Leads()} }) {
		return nil, false
	}
	select {
	case r := <-c:
		return r.leader, r.self
	case <-ctx.Done():
		return nil, false
	case <-time.After(answerWithin):
		return nil, false
	}
}

// propose takes a data node's change of the list of servers.
func (n *Node) propose(ctx context.Context, p *wire.Propose) (*wire.Proposed, error) {
	if p.GetCommand().GetConfig() != nil {
		return nil, errors.New("configurations are taken from operators only")
	}
	leader, self := n.ask(ctx)
	if !self {
		return &wire.Proposed{Leader: leader.GetAddress()}, nil
	}
	if err := n.change(ctx, p.Command); err != nil {
		n.log.Debug("change.refused", "err", err)
		return &wire.Proposed{}, nil
	}
	return &wire.Proposed{Done: true}, nil
}

// head tells how far the news have come.
func (n *Node) head(ctx context.Context, _ *wire.Ask) (*wire.Head, error) {
	leader, self := n.ask(ctx)
	if !self {
		return &wire.Head{Leader: leader.GetAddress()}, nil
	}
	h := &wire.Head{Known: true}
	if err := n.read(ctx, func() { h.Number = n.catalog.Number }); err != nil {
		return &wire.Head{}, nil
	}
	return h, nil
}

// joinLoop asks to be a member until it is one.
func (n *Node) joinLoop(ctx context.Context) {
	for ctx.Err() == nil {
		member := make(chan bool, 1)
		if !n.do(func() {
			member <- slices.ContainsFunc(n.core.Peers(), func(p *wire.Peer) bool {
				return p.Id == n.store.ID && p.Address == n.set.Load().Internal()
			})
		}) {
			return
		}
		var joined bool
		select {
		case joined = <-member:
		case <-ctx.Done(): // the loop may have ended with the question unread
			return
		}
		if joined {
			n.pause(time.Second)
			continue
		}
		n.askToJoin(ctx)
		n.pause(250 * time.Millisecond)
	}
}

func (n *Node) askToJoin(ctx context.Context) {
	asked := map[string]bool{n.set.Load().Internal(): true}
	ask := n.set.Load().SeedNodes()
	for _, m := range n.gossip.Members() {
		if m.Core {
			ask = append(ask, m.Address)
		}
	}
	for i := 0; i < len(ask) && i < 16; i++ {
		if asked[ask[i]] {
			continue
		}
		asked[ask[i]] = true
		call, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
		answer := new(wire.JoinedCore)
		err := n.pool.Call(call, ask[i], "join", &wire.JoinCore{Peer: n.self(false)}, answer)
		cancel()
		if err == nil && answer.Member {
			return
		}
		if err == nil && answer.Leader != "" && !asked[answer.Leader] {
			ask = slices.Insert(ask, i+1, answer.Leader)
		}
	}
}

// join takes a machine in as a learner: it has no vote before it has the log.
func (n *Node) join(ctx context.Context, j *wire.JoinCore) (*wire.JoinedCore, error) {
	p := j.GetPeer()
	if p.GetId() == 0 || p.GetAddress() == "" {
		return nil, errors.New("no identity or address")
	}
	c := make(chan *wire.JoinedCore, 1)
	n.do(func() {
		if !n.core.Leads() {
			c <- &wire.JoinedCore{Leader: n.leader().GetAddress()}
			return
		}
		move, member := n.core.Joining(p)
		if member {
			c <- &wire.JoinedCore{Member: true}
			return
		}
		n.move(move)
		c <- &wire.JoinedCore{}
	})
	select {
	case r := <-c:
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// manage is the leader's upkeep: who is a member, and which servers are gone.
func (n *Node) manage() {
	if !n.core.Leads() {
		if n.wasLead {
			n.log.Info("core.follows", "term", n.core.Term())
		}
		n.wasLead = false
		return
	}
	if !n.wasLead {
		n.wasLead, n.ledSince = true, n.now()
		n.log.Info("core.leads", "term", n.core.Term(), "members", len(n.core.Peers()))
	}
	if n.core.Ill() && n.core.HandOver(n.now()) {
		n.log.Warn("core.hands", "term", n.core.Term(), "why", "the disk is far slower than another's")
		return
	}
	n.move(n.core.Reconcile(n.fewest()))
	n.manageServers()
}

// move proposes a change of the members; another one under way comes first.
func (n *Node) move(m raft.Move) {
	if m.Next == nil {
		return
	}
	if err := n.core.Change(n.now(), m.Next); err == nil {
		n.log.Info(m.Event, "address", m.Peer.Address, "identity", fmt.Sprintf("%016x", m.Peer.Id))
	}
}

// manageServers takes servers off the list whose machines are gone.
func (n *Node) manageServers() {
	gone := n.catalog.On(func(node string) bool { return n.gossip.Lost(node, n.now()-n.ledSince) })
	if len(gone) == 0 || len(n.changes) > 0 {
		return
	}
	data, err := proto.Marshal(&wire.Command{What: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: gone}}})
	if err == nil {
		if _, _, err = n.core.Propose(n.now(), data); err == nil {
			n.log.Info("servers.gone", "members", gone)
		}
	}
}
