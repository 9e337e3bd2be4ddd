package modelcheck

import (
	"fmt"
	"slices"
	"strings"
)

// unlimited is the bound for events of a scenario and of a random walk.
const unlimited = 1 << 20

// replayScenario returns the state in which a search starts. It is the state after the scenario, or the initial state if the
// search has none.
//
// A scenario contains one event per line in the format of a trace, such as "deliver 0 1 REQUEST_VOTE@2". A line may omit the
// end of an event ("deliver 0 1"); it then selects the first possible event that matches. "deliver all" delivers messages
// until none is in flight, and "deliver all 0 1" does so for messages among the named members. "lose all" drops all messages
// in flight, and "lose 0 1" drops those from member 0 to member 1.
func replayScenario(config SearchConfig) (*state, error) {
	bounds := config.Bounds
	bounds.Terms = unlimited
	for _, remaining := range []*int{
		&bounds.Proposals, &bounds.Reads, &bounds.Heartbeats, &bounds.Crashes,
		&bounds.Wipes, &bounds.Changes, &bounds.Snapshots, &bounds.Transfers, &bounds.Duplicates,
	} {
		*remaining = unlimited
	}
	s := newState(bounds)
	for _, line := range strings.Split(config.Scenario, "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		next, err := s.replayLine(line)
		if err != nil {
			return nil, fmt.Errorf("modelcheck: scenario of %s: %w", config.Name, err)
		}
		if next.violation != "" {
			return nil, fmt.Errorf("modelcheck: scenario of %s: %q: %s", config.Name, line, next.violation)
		}
		s = next
	}
	s.bounds = config.Bounds
	return s, nil
}

func (s *state) replayLine(line string) (*state, error) {
	if rest, ok := strings.CutPrefix(line, "deliver all"); ok {
		return s.deliverAll(strings.Fields(rest)), nil
	}
	if rest, ok := strings.CutPrefix(line, "lose "); ok {
		return s.loseAll(rest)
	}
	var possible []string
	for _, e := range s.events() {
		text := e.String()
		if text == line || strings.HasPrefix(text, line+" ") || strings.HasPrefix(text, line+"@") {
			return s.apply(e), nil
		}
		possible = append(possible, text)
	}
	return nil, fmt.Errorf("event %q is not possible; possible events: %s", line, strings.Join(possible, ", "))
}

// loseAll drops the messages of all links ("all") or of one link ("0 1").
func (s *state) loseAll(target string) (*state, error) {
	next := *s
	next.links = slices.Clone(s.links)
	if target == "all" {
		clear(next.links)
		return &next, nil
	}
	var from, to int
	if _, err := fmt.Sscan(target, &from, &to); err != nil || min(from, to) < 0 || max(from, to) >= len(s.members) {
		return nil, fmt.Errorf("lose %q: want \"all\" or two members", target)
	}
	next.links[from*len(s.members)+to] = nil
	return &next, nil
}

// deliverAll delivers messages among the named members until none is in flight. If members is empty, it includes all.
func (s *state) deliverAll(members []string) *state {
	included := func(n int) bool {
		if len(members) == 0 {
			return true
		}
		for _, name := range members {
			if name == fmt.Sprint(n) {
				return true
			}
		}
		return false
	}
	for range 1000 {
		var found *event
		for _, e := range s.messageEvents(nil) {
			if e.kind == deliver && included(e.from) && included(e.member) {
				found = &e
				break
			}
		}
		if found == nil || s.violation != "" {
			break
		}
		s = s.apply(*found)
	}
	return s
}
