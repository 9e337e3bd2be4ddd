package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"ivydeck/decide"
	"ivydeck/internal/balancer/settings"
)

const listCount = 16 // list numbers run from 0 to 15

// node is a running instance, with the indexes of its classes and tenants by name.
type node struct {
	balancer *decide.Balancer
	classes  map[string]int
	tenants  map[string]int
}

// host runs the instances of one process. They share only the numbered lists of servers.
type host struct {
	reader  *bufio.Reader
	writer  *bufio.Writer
	nodes   map[int]*node
	lists   [listCount][]decide.Server
	actions []decide.Action
	now     time.Duration
	inBatch bool // true between turn and commit
}

func newHost(input *bufio.Reader, output *bufio.Writer) *host {
	return &host{reader: input, writer: output, nodes: map[int]*node{}}
}

// run processes batches until the input ends.
func (h *host) run() error {
	for lineNumber := 1; ; lineNumber++ {
		line, err := h.line()
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if h.inBatch {
				return fmt.Errorf("line %d: input ends inside a batch", lineNumber)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: reading input: %w", lineNumber, err)
		}
		if err := h.handle(line); err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
	}
}

// line reads one line of any length. The result is valid until the next call.
func (h *host) line() ([]byte, error) {
	line, err := h.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = h.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

// handle processes one event.
func (h *host) handle(line []byte) error {
	m, err := parse(line)
	if err != nil {
		return err
	}
	if (m.Turn == nil) != h.inBatch {
		return errors.New("event outside a batch, or turn inside a batch")
	}
	switch {
	case m.Turn != nil:
		if m.Turn.Clock == nil || *m.Turn.Clock < h.now {
			return errors.New("clock_ns of turn is missing or goes backwards")
		}
		h.now, h.inBatch = *m.Turn.Clock, true
		return nil
	case m.Commit != nil:
		h.inBatch = false
		if _, err := h.writer.WriteString("{\"done\":{}}\n"); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
		if err := h.writer.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
		return nil
	case m.Census != nil:
		return h.census(m.Census)
	case m.Boot != nil:
		return h.boot(m.Boot)
	case m.Exit != nil:
		if _, _, err := h.node(m.Exit.I); err != nil {
			return err
		}
		delete(h.nodes, *m.Exit.I)
		return nil
	}
	return h.event(&m)
}

// census stores a numbered list of servers.
func (h *host) census(event *census) error {
	if event.Roster < 0 || event.Roster >= listCount {
		return fmt.Errorf("roster_id %d is out of range 0 to 15", event.Roster)
	}
	servers := make([]decide.Server, 0, len(event.Items))
	for _, item := range event.Items {
		if item.Server == "" {
			return errors.New("census entry without server")
		}
		health, err := settings.Lookup(states, "health", item.Health)
		if err != nil {
			return err
		}
		servers = append(servers, decide.Server{
			ID: item.Server, Zone: item.Zone, Cell: item.Pod, Health: health, Weight: item.Power, Started: item.Start,
		})
	}
	h.lists[event.Roster] = servers
	return nil
}

// boot starts an instance, replacing one with the same number.
func (h *host) boot(event *boot) error {
	if event.I == nil || event.Info == nil {
		return errors.New("boot without i or boot_info")
	}
	policySettings, err := event.Info.Translate()
	if err != nil {
		return fmt.Errorf("booting instance %d: %w", *event.I, err)
	}
	newNode := &node{
		balancer: decide.New(policySettings, event.Seed, h.now),
		classes:  map[string]int{},
		tenants:  map[string]int{},
	}
	for i, c := range event.Info.Classes {
		newNode.classes[c.Name] = i
	}
	for i, t := range event.Info.Tenants {
		newNode.tenants[t.Name] = i
	}
	h.nodes[*event.I] = newNode
	return nil
}

// node returns instance i and its number. It is an error if i is nil or the instance is not running.
func (h *host) node(i *int) (*node, int, error) {
	if i == nil {
		return nil, 0, errors.New("event without i")
	}
	n := h.nodes[*i]
	if n == nil {
		return nil, 0, fmt.Errorf("instance %d is not running", *i)
	}
	return n, *i, nil
}

// event passes an event to its instance and writes the resulting actions. It reports a
// panic of the policy with the action bail_out.
func (h *host) event(m *message) (err error) {
	var number *int
	switch {
	case m.View != nil:
		number = m.View.I
	case m.Req != nil:
		number = m.Req.I
	case m.Done != nil:
		number = m.Done.I
	case m.Check != nil:
		number = m.Check.I
	case m.Reminder != nil:
		number = m.Reminder.I
	case m.Cancelled != nil:
		number = m.Cancelled.I
	case m.Opened != nil:
		number = m.Opened.I
	case m.Heard != nil:
		number = m.Heard.I
	}
	n, i, err := h.node(number)
	if err != nil {
		return err
	}
	defer func() {
		if p := recover(); p != nil {
			err = h.write("bail_out", logLine{i, fmt.Sprint(p)})
		}
	}()
	h.actions = h.actions[:0]
	switch {
	case m.View != nil:
		err = h.view(n, m.View)
	case m.Req != nil:
		err = h.request(n, m.Req)
	case m.Done != nil:
		err = h.outcome(n, m.Done)
	case m.Check != nil:
		err = h.probed(n, m.Check)
	case m.Reminder != nil:
		h.actions = n.balancer.Timer(h.now, decide.Timer{Token: m.Reminder.Handle}, h.actions)
	case m.Cancelled != nil:
		if m.Cancelled.ID == nil {
			return errors.New("cancelled_by_client without op_id")
		}
		h.actions = n.balancer.ClientGone(h.now, decide.ClientGone{Request: *m.Cancelled.ID}, h.actions)
	}
	if err != nil {
		return err
	}
	for k := range h.actions {
		if err := h.reply(i, &h.actions[k]); err != nil {
			return err
		}
	}
	return nil
}

// view passes a list of servers, or the failure of a list request, to an instance.
func (h *host) view(n *node, v *view) error {
	change, err := settings.Lookup(changes, "kind of list", v.How)
	if err != nil {
		return err
	}
	members := decide.Members{Change: change}
	if change != decide.ListFailed {
		if v.Roster < 0 || v.Roster >= listCount || h.lists[v.Roster] == nil {
			return fmt.Errorf("view of roster_id %d, which no census has set", v.Roster)
		}
		members.Servers = h.lists[v.Roster]
	}
	h.actions = n.balancer.Members(h.now, members, h.actions)
	return nil
}

// request passes a new request to an instance.
func (h *host) request(n *node, r *req) error {
	class, err := settings.Lookup(n.classes, "class", r.Grade)
	if err != nil {
		return err
	}
	tenant, ok := n.tenants[r.Group]
	if !ok {
		tenant = -1
	}
	if r.ID == nil || r.TTL < 0 || r.Work < 0 {
		return errors.New("req without op_id or with a negative time")
	}
	h.actions = n.balancer.Request(h.now, decide.Request{
		ID: *r.ID, Class: class, Tenant: tenant, TTL: r.TTL, Work: r.Work, ClientRetry: r.Repeat,
	}, h.actions)
	return nil
}

// outcome passes the outcome of an attempt to an instance.
func (h *host) outcome(n *node, o *outcome) error {
	result, err := settings.Lookup(results, "outcome", o.State)
	if err != nil {
		return err
	}
	if o.ID == nil || o.Attempt < 0 || o.Server == "" || o.Took < 0 {
		return errors.New("outcome without op_id or server, or with a negative attempt or time")
	}
	h.actions = n.balancer.Outcome(h.now, decide.Outcome{
		Request: *o.ID, Attempt: o.Attempt, Server: o.Server, Result: result, Elapsed: o.Took, Final: o.Complete,
	}, h.actions)
	return nil
}

// probed passes the result of a probe to an instance.
func (h *host) probed(n *node, o *outcome) error {
	result, err := settings.Lookup(results, "outcome", o.State)
	if err != nil {
		return err
	}
	h.actions = n.balancer.Probed(h.now, decide.Probed{Server: o.Server, Result: result, Elapsed: o.Took}, h.actions)
	return nil
}

// reply writes one action of instance i.
func (h *host) reply(i int, a *decide.Action) error {
	switch a.Kind {
	case decide.Send:
		return h.write("issue", issue{i, a.Request, a.Server, a.Wait})
	case decide.Refuse:
		return h.write("shed", completion{i, a.Request, a.Wait})
	case decide.Fail:
		return h.write("lose", completion{i, a.Request, 0})
	case decide.Cancel:
		return h.write("abandon", abandon{i, a.Request, a.Attempt})
	case decide.Probe:
		return h.write("ping", serverAction{i, a.Server})
	case decide.Watch:
		return h.write("stream_changes", streamChanges{i, true})
	case decide.Unwatch:
		return h.write("stream_changes", streamChanges{i, false})
	case decide.CloseIdle:
		return h.write("hang_up", serverAction{i, a.Server})
	case decide.Fetch:
		return h.write("get_list", getList{i})
	case decide.After:
		return h.write("defer", deferral{i, a.Wait, a.Token})
	case decide.Log:
		return h.write("emit", logLine{i, a.Text})
	}
	return fmt.Errorf("unknown action %d", a.Kind)
}

// write writes an action as a JSON object with its name as the single key.
func (h *host) write(name string, fields any) error {
	h.writer.WriteString(`{"`)
	h.writer.WriteString(name)
	h.writer.WriteString(`":`)
	body, err := json.Marshal(fields)
	if err != nil {
		return fmt.Errorf("encoding %s: %w", name, err)
	}
	h.writer.Write(body)
	if _, err := h.writer.WriteString("}\n"); err != nil {
		return fmt.Errorf("writing %s: %w", name, err)
	}
	return nil
}
