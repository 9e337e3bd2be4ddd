package server

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/controlplane/backup"
	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/simulation/simdisk"
	"ivydeck/internal/transport/wire"
)

var (
	simSeeds     = flag.Int("seeds", 40, "number of simulated runs of the operators' interface")
	simFirstSeed = flag.Uint64("seed", 1, "seed of the first run")
)

const (
	simStep         = 2 * time.Millisecond
	simCallTimeout  = time.Second // timeout of an operator's call to a member
	simMaxRedirects = 2           // redirects that an operator follows in one attempt
	simCompactAfter = 12          // entries after which the log is compacted
)

// simPadding is part of every configuration, so that changes are logged as deltas.
var simPadding = strings.Repeat("service", 60)

// simMember is a simulated quorum member with a simulated disk and the production consensus, state, request queue and
// operatorRequests.
type simMember struct {
	number       int
	disk         simdisk.Disk
	node         *raft.Node // nil while the member is down
	state        *catalog.Catalog
	requests     *requestQueue
	api          operatorRequests
	appliedIndex uint64
	startAt      time.Duration // time of the restart while the member is down
	powerLoss    bool          // the address doesn't respond while the member is down; if false, it refuses connections
	frozenUntil  time.Duration // the member doesn't run before this time
	inbox        []simMessage
}

// simMessage is a Raft message or an operator's call in transit.
type simMessage struct {
	arrivesAt time.Duration
	from      int // member number or operatorEndpoint
	raft      *wire.RaftMessage
	deliver   func() // handles an operator's call; set if raft is nil
}

// operatorEndpoint is the number of the operators' end of a link in cutLinks.
const operatorEndpoint = -1

// operation is an operator's read or change, including all attempts.
type operation struct {
	operator       int
	base           uint64
	revision       uint64 // 0 for a read
	body           []byte
	identity       string // unique name of the configuration, as two can have the same revision
	acceptedBefore bool   // resends a change that was already acknowledged
	calledAt       time.Duration
	finishedAt     time.Duration // -1 until a conclusive answer arrives
	result         OperatorResult
	readIdentity   string // identity of the configuration that a read returned

	attempt   int           // number of the current attempt
	member    int           // receiver of the current attempt
	timeoutAt time.Duration // when the current attempt times out
	retryAt   time.Duration // start of the next attempt; 0 while one is in progress
	backoff   time.Duration
	redirects int
	resent    bool
}

// operatorSim simulates a quorum and its operators.
type operatorSim struct {
	rng            *rand.Rand
	now            time.Duration
	members        []*simMember
	cutLinks       map[[2]int]bool
	operations     []*operation
	pending        []*operation
	seenRevisions  []uint64 // newest revision that each operator has seen
	newestAccepted uint64   // newest acknowledged revision
	lastID         int      // last number used in identities of members and configurations
	answerLoss     float64  // probability that a conclusive answer is lost
	maxPerOperator int      // maximum number of concurrent operations of an operator
	acceptedLimit  int      // number of accepted changes that a member keeps; 0 for the production limit
	faultless      bool     // no faults are injected
	paused         bool     // no new operations until the restore
	restoreData    []byte   // snapshot data to restore at the end of this step
	restoreTerm    uint64
	restores       int
	counts         map[OperatorResult]int
	resends        int
}

func newOperatorSim(seed uint64, members, operators int) *operatorSim {
	sim := &operatorSim{rng: rand.New(rand.NewPCG(seed, 17)), cutLinks: map[[2]int]bool{}, seenRevisions: make([]uint64, operators), counts: map[OperatorResult]int{}, maxPerOperator: 3}
	empty, err := catalog.New().Snapshot()
	if err != nil {
		panic(err)
	}
	for i := range members {
		sim.members = append(sim.members, &simMember{number: i})
	}
	sim.startQuorum(empty, 1)
	return sim
}

// startQuorum starts all members as a new quorum with the same state.
func (sim *operatorSim) startQuorum(data []byte, term uint64) {
	peers := &wire.Peers{}
	for i := range sim.members {
		sim.lastID++
		peers.Peers = append(peers.Peers, &wire.Peer{Id: uint64(sim.lastID), Address: fmt.Sprint(i), ControlAddress: fmt.Sprint(i), Voter: true})
	}
	for i, member := range sim.members {
		member.disk = simdisk.Disk{Tail: 6 * (i % 2), ID: peers.Peers[i].Id, Hard: &wire.HardState{Term: term}, Snap: &wire.RaftSnapshot{Term: term, Index: 1, Peers: peers, Data: data}}
		sim.startMember(member)
	}
}

func (sim *operatorSim) startMember(member *simMember) {
	member.node = raft.New(member.disk.ID, member.disk.Hard, member.disk.Snap, slices.Clone(member.disk.Entries), sim.rng.Uint64(), sim.now)
	member.node.SetRetention(member.disk.Tail, 8*member.disk.Tail)
	member.restoreSnapshot(member.disk.Snap, sim.acceptedLimit)
	member.requests = newRequestQueue(member.node, func() int { return min(3, len(sim.members)) }, sim.now)
	member.api = operatorRequests{requests: member.requests, state: func() backup.Backup {
		return backup.Backup{Term: member.node.Term(), Index: member.appliedIndex, State: member.state}
	}}
	member.inbox = nil
}

func (member *simMember) restoreSnapshot(s *wire.RaftSnapshot, acceptedLimit int) {
	member.state, member.appliedIndex = catalog.New(), s.Index
	member.state.SetAcceptedLimit(acceptedLimit)
	if err := member.state.Restore(s.Data); err != nil {
		panic(err)
	}
}

func (sim *operatorSim) crash(member *simMember, down time.Duration, powerLoss bool) {
	member.disk.Crash(sim.rng)
	member.node, member.startAt, member.powerLoss = nil, sim.now+down, powerLoss
	for _, op := range sim.pending {
		if !powerLoss && op.retryAt == 0 && op.member == member.number {
			op.timeoutAt = min(op.timeoutAt, sim.now+sim.randomDuration(1, 12)) // the connection is reset
		}
	}
}

func (sim *operatorSim) randomDuration(low, high int) time.Duration {
	return time.Duration(low+sim.rng.IntN(high-low)) * time.Millisecond
}

// processReady processes a member's output like Server.flush. The member may crash before or after a sync.
func (sim *operatorSim) processReady(member *simMember) {
	for member.node != nil {
		ready := member.node.Ready()
		if ready.Empty() {
			return
		}
		member.disk.Write(ready.Snapshot, ready.HardState, ready.Entries)
		if !sim.faultless && sim.rng.IntN(4000) == 0 {
			sim.crash(member, sim.randomDuration(300, 3000), sim.rng.IntN(2) == 0)
			return
		}
		member.disk.Sync()
		if !sim.faultless && sim.rng.IntN(4000) == 0 {
			sim.crash(member, sim.randomDuration(300, 3000), sim.rng.IntN(2) == 0)
			return
		}
		if ready.Snapshot != nil {
			member.restoreSnapshot(ready.Snapshot, sim.acceptedLimit)
		}
		if len(ready.Entries) > 0 {
			member.node.StableTo(ready.Entries[len(ready.Entries)-1].Index)
		}
		for _, message := range ready.Messages {
			sim.sendMessage(member, message)
		}
		for _, e := range ready.CommittedEntries {
			member.appliedIndex = e.Index
			update, applyErr := applyEntry(member.state, e)
			member.requests.completeCommand(e, update != nil, applyErr)
		}
		for _, r := range ready.ReadStates {
			member.requests.completeRead(r)
		}
		if member.node.Backlog() > simCompactAfter {
			sim.compact(member)
		}
	}
}

func (sim *operatorSim) compact(member *simMember) {
	data, err := member.state.Snapshot()
	if err != nil {
		panic(err)
	}
	if s := member.node.Compact(member.appliedIndex, data); s != nil {
		member.disk.Compact(s)
	}
}

func (sim *operatorSim) sendMessage(from *simMember, message *wire.RaftMessage) {
	for _, to := range sim.members {
		if to.disk.ID == message.To && !sim.cutLinks[[2]int{from.number, to.number}] && (sim.faultless || sim.rng.IntN(60) > 0) {
			to.inbox = append(to.inbox, simMessage{arrivesAt: sim.now + sim.randomDuration(1, 8), from: from.number, raft: proto.CloneOf(message)})
		}
	}
}

// runMember runs one step of a member: it restarts when due, receives messages, and processes its output.
func (sim *operatorSim) runMember(member *simMember) {
	if member.node == nil {
		if sim.now >= member.startAt {
			sim.startMember(member)
		}
		return
	}
	if member.frozenUntil > sim.now {
		return
	}
	inbox := member.inbox
	member.inbox = nil
	for _, message := range inbox {
		switch {
		case message.arrivesAt > sim.now:
			member.inbox = append(member.inbox, message)
		case message.raft != nil:
			member.node.Step(sim.now, message.raft)
		default:
			message.deliver()
		}
	}
	member.node.Tick(sim.now)
	member.requests.tick(sim.now)
	sim.processReady(member)
}

// step advances the simulation by simStep.
func (sim *operatorSim) step() {
	sim.now += simStep
	for _, member := range sim.members {
		sim.runMember(member)
	}
	for _, op := range slices.Clone(sim.pending) {
		sim.advance(op)
	}
	if sim.restoreData != nil {
		sim.startQuorum(sim.restoreData, sim.restoreTerm)
		sim.restoreData = nil
	}
}

// advance starts an operation's next attempt when it is due, and ends an attempt that has timed out.
func (sim *operatorSim) advance(op *operation) {
	switch {
	case op.retryAt > 0 && sim.now >= op.retryAt:
		op.redirects = 0
		sim.sendTo(op, sim.rng.IntN(len(sim.members)))
	case op.retryAt == 0 && sim.now >= op.timeoutAt:
		sim.scheduleRetry(op)
	}
}

// scheduleRetry schedules the next attempt with exponential backoff.
func (sim *operatorSim) scheduleRetry(op *operation) {
	op.backoff = min(2*op.backoff, time.Second)
	op.attempt++ // ignore a late answer to the previous attempt
	op.retryAt = sim.now + op.backoff
	if !op.resent && op.revision > 0 {
		op.resent = true
		sim.resends++
	}
	if !sim.faultless && sim.rng.IntN(25) == 0 || op.acceptedBefore && op.attempt > 10 {
		sim.removePending(op) // the operator gives up; members may have forgotten a change accepted long ago
	}
}

// removePending ends an operation's attempts.
func (sim *operatorSim) removePending(op *operation) {
	sim.pending = slices.DeleteFunc(sim.pending, func(p *operation) bool { return p == op })
}

// sendTo starts an attempt at a member. The member handles the call on arrival, even after the attempt timed out.
func (sim *operatorSim) sendTo(op *operation, number int) {
	op.attempt++
	op.retryAt, op.timeoutAt, op.member = 0, sim.now+simCallTimeout, number
	attempt, member := op.attempt, sim.members[number]
	if sim.cutLinks[[2]int{operatorEndpoint, number}] {
		return
	}
	arrivesAt := sim.now + sim.randomDuration(1, 12)
	if member.node == nil {
		if !member.powerLoss {
			op.timeoutAt = arrivesAt // connection refused
		}
		return
	}
	answer := func(a OperatorAnswer) { sim.deliverAnswer(op, attempt, number, a) }
	member.inbox = append(member.inbox, simMessage{arrivesAt: arrivesAt, from: operatorEndpoint, deliver: func() {
		deadline := sim.now + operatorTimeout
		if op.revision == 0 {
			member.api.read(sim.now, deadline, answer)
		} else {
			replacement, err := parseReplacement(member.state.Current(), op.base, op.body)
			if err != nil {
				answer(OperatorAnswer{Result: Invalid})
				return
			}
			member.api.replace(sim.now, deadline, replacement, answer)
		}
	}})
}

// deliverAnswer passes an answer to the operator unless it is lost or belongs to an earlier attempt.
func (sim *operatorSim) deliverAnswer(op *operation, attempt, member int, answer OperatorAnswer) {
	if op.attempt != attempt || sim.cutLinks[[2]int{member, operatorEndpoint}] {
		return
	}
	sim.counts[answer.Result]++
	switch answer.Result {
	case Unavailable:
		sim.scheduleRetry(op)
	case Redirected:
		if op.redirects++; op.redirects > simMaxRedirects {
			sim.scheduleRetry(op)
			return
		}
		number := 0
		fmt.Sscan(answer.Leader.ControlAddress, &number)
		sim.sendTo(op, number)
	default:
		if sim.rng.Float64() < sim.answerLoss {
			return
		}
		sim.complete(op, answer)
	}
}

// complete records the conclusive answer of an operation.
func (sim *operatorSim) complete(op *operation, answer OperatorAnswer) {
	op.finishedAt, op.result = sim.now, answer.Result
	sim.removePending(op)
	switch answer.Result {
	case AlreadyAccepted:
		op.result = Accepted
		fallthrough
	case Accepted:
		sim.seenRevisions[op.operator] = max(sim.seenRevisions[op.operator], op.revision)
		sim.newestAccepted = max(sim.newestAccepted, op.revision)
	case Found:
		config, err := meshconfig.Parse(answer.Body)
		if err != nil {
			panic(err)
		}
		op.readIdentity = config.Backends[0].Name
		sim.seenRevisions[op.operator] = config.Revision
	}
}

// newOperation returns a read that starts now.
func (sim *operatorSim) newOperation(operator int) *operation {
	return &operation{operator: operator, calledAt: sim.now, finishedAt: -1, retryAt: sim.now, backoff: 50 * time.Millisecond, base: sim.seenRevisions[operator]}
}

// startOperation starts a random operation of an operator.
func (sim *operatorSim) startOperation(operator int) {
	op := sim.newOperation(operator)
	switch odds := sim.rng.IntN(20); {
	case odds < 6:
	case odds < 8 && len(sim.operations) > 0: // resend an acknowledged change
		old := sim.operations[sim.rng.IntN(len(sim.operations))]
		if old.revision == 0 || old.finishedAt < 0 || old.result != Accepted {
			return
		}
		op.base, op.revision, op.body, op.identity, op.acceptedBefore = old.base, old.revision, old.body, old.identity, true
	case odds < 9 && op.base > 0: // a revision that is not new
		sim.setConfig(op, op.base-uint64(sim.rng.IntN(2))*(op.base-1))
	default: // other operators may choose the same revision
		sim.setConfig(op, op.base+1+uint64(sim.rng.IntN(2)))
	}
	sim.operations = append(sim.operations, op)
	sim.pending = append(sim.pending, op)
}

// setConfig makes an operation a change to a unique configuration with a revision.
func (sim *operatorSim) setConfig(op *operation, revision uint64) {
	sim.lastID++
	op.revision, op.identity = revision, fmt.Sprintf("%d/%d", revision, sim.lastID)
	body, err := msgpack.Marshal(&meshconfig.Config{Revision: revision, Backends: []meshconfig.Backend{{Name: op.identity}, {Name: simPadding}}})
	if err != nil {
		panic(err)
	}
	op.body = body
}

// injectFault injects a random fault with a small probability, preferably at the leader.
func (sim *operatorSim) injectFault() {
	member := sim.members[sim.rng.IntN(len(sim.members))]
	for _, other := range sim.members {
		if other.node != nil && other.node.IsLeader() && sim.rng.IntN(2) == 0 {
			member = other
		}
	}
	switch sim.rng.IntN(3000) {
	case 0, 1, 2:
		if member.node != nil {
			sim.crash(member, sim.randomDuration(100, 3000), sim.rng.IntN(2) == 0)
		}
	case 3:
		for _, member := range sim.members {
			sim.crash(member, sim.randomDuration(300, 1500), true)
		}
	case 4, 5, 6: // cut the links to the other members, in one or both directions
		back := sim.rng.IntN(3) > 0
		for other := range sim.members {
			sim.cutLinks[[2]int{member.number, other}], sim.cutLinks[[2]int{other, member.number}] = true, back
		}
	case 7, 8: // cut the link to the operators, and in some cases also the link from them
		sim.cutLinks[[2]int{member.number, operatorEndpoint}] = true
		sim.cutLinks[[2]int{operatorEndpoint, member.number}] = sim.rng.IntN(2) == 0
	case 9, 10:
		member.frozenUntil = sim.now + sim.randomDuration(200, 2500)
	case 11, 12, 13, 14, 15:
		clear(sim.cutLinks)
	}
}

// restore takes a backup from the leader and schedules a new quorum with its state. It requires that no operation is in
// progress, so that the backup contains every acknowledged change.
func (sim *operatorSim) restore() {
	for _, member := range sim.members {
		if member.node == nil || !member.node.IsLeader() {
			continue
		}
		member.api.backup(sim.now, sim.now+operatorTimeout, func(a OperatorAnswer) {
			if a.Result != Found || len(sim.pending) > 0 {
				return
			}
			b, err := backup.Decode(a.Body)
			if err != nil {
				panic(err)
			}
			data, err := b.State.Snapshot()
			if err != nil {
				panic(err)
			}
			sim.restores, sim.paused = sim.restores+1, false
			sim.restoreData, sim.restoreTerm = data, b.Term+5
		})
		return
	}
}
