package modelcheck

import (
	"fmt"
	"slices"
	"strings"
)

// unlimited are the bounds within a scenario; those of its set apply after it.
const unlimited = 1 << 20

// play returns the state where a set's search begins: after its scenario, or the initial one.
//
// A scenario has an event a line, as traces print them ("deliver 0 1 REQUEST_VOTE@2"); the first that fits is taken, so that the
// detail may be left out ("deliver 0 1"). "deliver all" delivers messages until none is in flight, and "deliver all 0 1"
// messages in flight among these members; "lose all" loses all messages in flight, and "lose 0 1" what is between two members.
func play(set Set) (*state, error) {
	free := set.Bounds
	free.Terms = unlimited
	for _, budget := range []*int{
		&free.Proposals, &free.Reads, &free.Heartbeats, &free.Crashes, &free.Wipes, &free.Changes, &free.Snapshots, &free.Transfers, &free.Duplicates,
	} {
		*budget = unlimited
	}
	s := newState(free)
	for _, line := range strings.Split(set.Scenario, "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		next, err := s.replayLine(line)
		if err != nil {
			return nil, fmt.Errorf("modelcheck: scenario of %s: %w", set.Name, err)
		}
		if next.violation != "" {
			return nil, fmt.Errorf("modelcheck: scenario of %s: %q: %s", set.Name, line, next.violation)
		}
		s = next
	}
	s.bounds = set.Bounds
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
	return nil, fmt.Errorf("%q can't happen; these can: %s", line, strings.Join(possible, ", "))
}

// loseAll takes the messages off all links ("all"), or off one ("0 1").
func (s *state) loseAll(which string) (*state, error) {
	next := *s
	next.links = slices.Clone(s.links)
	if which == "all" {
		clear(next.links)
		return &next, nil
	}
	var from, to int
	if _, err := fmt.Sscan(which, &from, &to); err != nil || min(from, to) < 0 || max(from, to) >= len(s.members) {
		return nil, fmt.Errorf("lose %q: neither all nor two members", which)
	}
	next.links[from*len(s.members)+to] = nil
	return &next, nil
}

// deliverAll delivers messages among some members, or among all, until none is in flight.
func (s *state) deliverAll(among []string) *state {
	wanted := func(n int) bool {
		if len(among) == 0 {
			return true
		}
		for _, name := range among {
			if name == fmt.Sprint(n) {
				return true
			}
		}
		return false
	}
	for range 1000 {
		var found *event
		for _, e := range s.messageEvents(nil) {
			if e.kind == deliver && wanted(e.from) && wanted(e.member) {
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
