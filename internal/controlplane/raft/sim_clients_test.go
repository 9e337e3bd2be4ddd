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

// Verdicts on a write.
const (
	verdictOK    = "ok"
	verdictStale = "stale"
)

// operation is one call of a client, with all its resends.
type operation struct {
	client     int
	base, next string // a write; next empty: a read
	call       time.Duration
	sent       time.Duration // the last time
	ret        time.Duration // negative: no answer has come
	result     string        // of a write its verdict, of a read what was read
}

// proposal is an entry that an operation waits for.
type proposal struct {
	term      uint64
	operation *operation
}

// clients are operators that change the configuration, and readers.
type clients struct {
	token    uint64
	history  []*operation
	pending  map[int]*operation // by client
	lastSeen map[int]string     // the revision that a client's next change is based on
	resent   int
	lost     int // answers that did not reach their clients
}

const simClients = 4

func newClients() clients {
	return clients{pending: map[int]*operation{}, lastSeen: map[int]string{}}
}

// callClients lets clients begin calls, or repeat them.
func (w *simulation) callClients() {
	for c := range simClients {
		if w.rng.IntN(8) == 0 {
			w.callClient(c)
		}
	}
}

// callClient begins a call at a member that believes it leads, or goes on with one that has no answer. A change without a
// clear answer is sent again unchanged, to whoever leads now; the first may still happen. Some are given up.
func (w *simulation) callClient(client int) {
	o := w.clients.pending[client]
	if o != nil {
		if w.now-o.sent < w.span(300, 2500) {
			return
		}
		if o.next == "" || w.rng.IntN(4) == 0 {
			delete(w.clients.pending, client)
			return
		}
	}
	m := w.drawLeader()
	switch {
	case m == nil:
	case o != nil:
		if w.propose(m, o) {
			w.clients.resent++
		}
	case w.rng.IntN(2) == 0:
		o = &operation{client: client, call: w.now, sent: w.now, ret: -1}
		w.clients.token++
		m.reads[w.clients.token] = o
		m.node.ReadIndex(w.now+m.skew, w.clients.token)
		w.keep(o)
	default:
		w.nextID++
		o = &operation{client: client, base: w.clients.lastSeen[client], next: strconv.FormatUint(w.nextID, 10), call: w.now, ret: -1}
		if w.propose(m, o) {
			w.keep(o)
		}
	}
}

// keep notes a call that has been begun.
func (w *simulation) keep(o *operation) {
	w.clients.pending[o.client] = o
	w.clients.history = append(w.clients.history, o)
}

// drawLeader returns one of the members that believe they lead; nil: none does.
func (w *simulation) drawLeader() *simMember {
	var leaders []*simMember
	for _, m := range w.members {
		if m.node != nil && m.frozenUntil <= w.now && m.node.IsLeader() {
			leaders = append(leaders, m)
		}
	}
	if len(leaders) == 0 {
		return nil
	}
	return leaders[w.rng.IntN(len(leaders))]
}

// propose puts a change into a member's log. It reports false where the member takes none.
func (w *simulation) propose(m *simMember, o *operation) bool {
	if Voters(m.node.Peers()) < 3 {
		return false
	}
	base := uint64(0)
	if o.base != "" {
		base = parseRevision(o.base)
	}
	current, body := m.state.Current(), encodeConfig(parseRevision(o.next))
	config, err := current.Parse(body)
	if err != nil {
		panic(err)
	}
	data, err := proto.Marshal(current.Command(base, config, body))
	if err != nil {
		panic(err)
	}
	index, term, err := m.node.Propose(w.now+m.skew, data)
	if err != nil {
		return false
	}
	o.sent = w.now
	m.writes[index] = proposal{term, o}
	return true
}

// answerRead answers a read that was confirmed.
func (w *simulation) answerRead(m *simMember, r ReadState) {
	o := m.reads[r.Token]
	if o == nil {
		return
	}
	delete(m.reads, r.Token)
	if r.OK && m.applied >= r.Index {
		w.finish(o, m.revision())
	}
}

// finish gives a client its answer, unless that is lost on the way.
func (w *simulation) finish(o *operation, result string) {
	if w.clients.pending[o.client] != o {
		return
	}
	if o.next != "" && !w.calm && w.rng.IntN(12) == 0 {
		w.clients.lost++
		return
	}
	o.ret, o.result = w.now, result
	delete(w.clients.pending, o.client)
	if o.next == "" {
		w.clients.lastSeen[o.client] = result
	} else if result == verdictOK {
		w.clients.lastSeen[o.client] = o.next
	}
}

// revision is that of the configuration in force; empty: there is none.
func (m *simMember) revision() string {
	if r := m.state.Revision(); r > 0 {
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

// encodeConfig is a small valid configuration.
func encodeConfig(revision uint64) []byte {
	config := &meshconfig.Config{Revision: revision}
	for i := range 6 { // enough of them that a command holds the difference alone
		config.Backends = append(config.Backends, meshconfig.Backend{Name: fmt.Sprint("service-number-", i)})
	}
	body, err := msgpack.Marshal(config)
	if err != nil {
		panic(err)
	}
	return body
}

// operations are the history as porcupine wants it. What was never answered may have happened at any time since; a read
// that was never answered says nothing.
func (c *clients) operations() (list []porcupine.Operation, answered int) {
	for _, o := range c.history {
		ret := int64(o.ret)
		if o.ret < 0 {
			if o.next == "" {
				continue
			}
			ret = int64(time.Hour)
		} else {
			answered++
		}
		list = append(list, porcupine.Operation{ClientId: o.client, Input: o, Call: int64(o.call), Output: o.result, Return: ret})
	}
	return list, answered
}

// answeredSince reports whether a call that began after a time was answered.
func (c *clients) answeredSince(from time.Duration) bool {
	for _, o := range c.history {
		if o.ret >= 0 && o.call > from {
			return true
		}
	}
	return false
}

// revisionModel is the history's model: a revision with compare and set. A change and its resends are one operation, with
// one effect at most: none if it is stale.
var revisionModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		revision, o, result := state.(string), in.(*operation), out.(string)
		after := revision
		if revision == o.base {
			after = o.next
		}
		switch {
		case o.next == "":
			return result == revision, revision
		case result == verdictOK:
			return revision == o.base, o.next
		case result == verdictStale:
			return revision != o.base, revision
		}
		return true, after // not known: it may have been taken
	},
}
