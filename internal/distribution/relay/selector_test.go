package relay

import (
	"slices"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// TestLongUsedParentFails is not the next one to be tried: its connection may take as long again to show that it is
// dead. Another round begins with it.
func TestLongUsedParentFails(t *testing.T) {
	parents := []string{"first", "second", "third"}
	for _, c := range []struct {
		name   string
		lasted time.Duration
		why    EndReason
		next   string
	}{
		{"silent after long", time.Minute, Failed, "second"},
		{"silent at once", time.Second, Failed, "second"},
		{"renewed", time.Minute, Renew, "first"},
	} {
		var s Selector
		s.Next(0, parents)
		s.Ended(c.lasted, c.why)
		if got, _ := s.Next(c.lasted, parents); got != c.next {
			t.Errorf("%s: %s is tried next, want %s", c.name, got, c.next)
		}
	}
	var s Selector
	tried := []string{}
	for now := time.Duration(0); len(tried) < 4; now += time.Minute {
		addr, _ := s.Next(now, parents)
		tried = append(tried, addr)
		now += 20 * time.Second
		s.Ended(now, Failed)
	}
	if want := []string{"first", "second", "first", "second"}; !slices.Equal(tried, want) {
		t.Errorf("parents that fail after long are tried in the order %v, want %v", tried, want)
	}
}

// TestSuspectMembersComeLast: a node does not lose time with a quorum member that others can't reach.
func TestSuspectMembersComeLast(t *testing.T) {
	all := members(1, 3)
	before := Parents("node0", "0", all)
	for _, m := range all {
		if m.Address == before[0] {
			m.State = wire.Member_SUSPECT
		}
	}
	after := Parents("node0", "0", all)
	if len(after) != 3 || after[0] != before[1] || after[2] != before[0] {
		t.Errorf("%v, and with the first one suspected %v", before, after)
	}
}
