package raft

import (
	"fmt"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
)

// Results of a write.
const (
	resultOK    = "ok"
	resultStale = "stale"
)

// operation is a client's call, including all its resends.
type operation struct {
	client     int
	base, next string // expected and new revision of a write; next is empty for a read
	calledAt   time.Duration
	sentAt     time.Duration // time of the last attempt
	returnedAt time.Duration // negative if no response was received
	result     string        // of a write: resultOK or resultStale; of a read: the revision
}

// pendingWrite is a proposed entry whose operation awaits the result.
type pendingWrite struct {
	term      uint64
	operation *operation
}

// clients are the simulated clients, which write and read the configuration's revision.
type clients struct {
	lastToken     uint64
	history       []*operation
	pendingCalls  map[int]*operation // by client; a client has at most one
	lastRevisions map[int]string     // by client; base of the client's next write
	resentCalls   int
	lostResponses int // responses that did not reach their clients
}

const clientCount = 4

func newClients() clients {
	return clients{pendingCalls: map[int]*operation{}, lastRevisions: map[int]string{}}
}

// runClients runs a random subset of the clients.
func (s *simulation) runClients() {
	for client := range clientCount {
		if s.rng.IntN(8) == 0 {
			s.runClient(client)
		}
	}
}

// runClient starts a call at a leader, or continues a client's pending call. A write without a response is abandoned or
// resent unchanged to a current leader. An earlier attempt may still be committed. A read without a response is abandoned.
func (s *simulation) runClient(client int) {
	call := s.clients.pendingCalls[client]
	if call != nil {
		if s.now-call.sentAt < s.randomDuration(300, 2500) {
			return
		}
		if call.next == "" || s.rng.IntN(4) == 0 {
			delete(s.clients.pendingCalls, client)
			return
		}
	}
	leader := s.randomLeader()
	switch {
	case leader == nil:
	case call != nil:
		if s.proposeChange(leader, call) {
			s.clients.resentCalls++
		}
	case s.rng.IntN(2) == 0:
		call = &operation{client: client, calledAt: s.now, sentAt: s.now, returnedAt: -1}
		s.clients.lastToken++
		leader.pendingReads[s.clients.lastToken] = call
		leader.node.ReadIndex(s.now+leader.clockSkew, s.clients.lastToken)
		s.recordCall(call)
	default:
		s.nextID++
		call = &operation{client: client, base: s.clients.lastRevisions[client], next: strconv.FormatUint(s.nextID, 10), calledAt: s.now, returnedAt: -1}
		if s.proposeChange(leader, call) {
			s.recordCall(call)
		}
	}
}

// recordCall adds a started call to the history.
func (s *simulation) recordCall(call *operation) {
	s.clients.pendingCalls[call.client] = call
	s.clients.history = append(s.clients.history, call)
}

// randomLeader returns a random running member that is the leader of its term. It returns nil if there is none.
func (s *simulation) randomLeader() *simMember {
	var leaders []*simMember
	for _, member := range s.members {
		if member.node != nil && member.frozenUntil <= s.now && member.node.IsLeader() {
			leaders = append(leaders, member)
		}
	}
	if len(leaders) == 0 {
		return nil
	}
	return leaders[s.rng.IntN(len(leaders))]
}

// proposeChange proposes a write at a member. It returns false if the member rejects it or has fewer than three voters.
func (s *simulation) proposeChange(member *simMember, call *operation) bool {
	if Voters(member.node.Peers()) < 3 {
		return false
	}
	base := uint64(0)
	if call.base != "" {
		base = parseRevision(call.base)
	}
	current, body := member.catalog.Current(), encodeConfig(parseRevision(call.next))
	config, err := current.Parse(body)
	if err != nil {
		panic(err)
	}
	data, err := proto.Marshal(current.Command(base, config, body))
	if err != nil {
		panic(err)
	}
	index, term, err := member.node.Propose(s.now+member.clockSkew, data)
	if err != nil {
		return false
	}
	call.sentAt = s.now
	member.pendingWrites[index] = pendingWrite{term, call}
	return true
}

// completeRead completes the call of a read state, unless its read was rejected.
func (s *simulation) completeRead(member *simMember, readState ReadState) {
	call := member.pendingReads[readState.Token]
	if call == nil {
		return
	}
	delete(member.pendingReads, readState.Token)
	if readState.OK && member.applied >= readState.Index {
		s.completeCall(call, member.currentRevision())
	}
}

// completeCall passes the response to a client, unless the call is no longer pending or the response is lost.
func (s *simulation) completeCall(call *operation, result string) {
	if s.clients.pendingCalls[call.client] != call {
		return
	}
	if call.next != "" && !s.faultsEnded && s.rng.IntN(12) == 0 {
		s.clients.lostResponses++
		return
	}
	call.returnedAt, call.result = s.now, result
	delete(s.clients.pendingCalls, call.client)
	if call.next == "" {
		s.clients.lastRevisions[call.client] = result
	} else if result == resultOK {
		s.clients.lastRevisions[call.client] = call.next
	}
}

// currentRevision returns the revision of the member's configuration. It returns an empty string if there is none.
func (m *simMember) currentRevision() string {
	if r := m.catalog.Revision(); r > 0 {
		return strconv.FormatUint(r, 10)
	}
	return ""
}

func parseRevision(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

// encodeConfig returns a small valid configuration.
func encodeConfig(revision uint64) []byte {
	config := &meshconfig.Config{Revision: revision}
	for i := range 6 { // enough backends for a command to contain a delta
		config.Backends = append(config.Backends, meshconfig.Backend{Name: fmt.Sprint("service-number-", i)})
	}
	body, err := msgpack.Marshal(config)
	if err != nil {
		panic(err)
	}
	return body
}

// operations returns the history in the form that porcupine checks. A write without a response may take effect at any
// later time, so it returns at the end. Reads without a response are left out. answered is the number of calls with a
// response.
func (c *clients) operations() (list []porcupine.Operation, answered int) {
	for _, call := range c.history {
		returnedAt := int64(call.returnedAt)
		if call.returnedAt < 0 {
			if call.next == "" {
				continue
			}
			returnedAt = int64(time.Hour)
		} else {
			answered++
		}
		list = append(list, porcupine.Operation{ClientId: call.client, Input: call, Call: int64(call.calledAt), Output: call.result, Return: returnedAt})
	}
	return list, answered
}

// answeredSince reports whether a call that began after a time was answered.
func (c *clients) answeredSince(from time.Duration) bool {
	for _, call := range c.history {
		if call.returnedAt >= 0 && call.calledAt > from {
			return true
		}
	}
	return false
}

// revisionModel models the revision as a compare-and-set register. A write and its resends are one operation, which takes
// effect at most once, and only if its base is the current revision.
var revisionModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		current, call, result := state.(string), input.(*operation), output.(string)
		after := current
		if current == call.base {
			after = call.next
		}
		switch {
		case call.next == "":
			return result == current, current
		case result == resultOK:
			return current == call.base, call.next
		case result == resultStale:
			return current != call.base, current
		}
		return true, after // no response: the write may have been accepted
	},
}
