package relay

import (
	"slices"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// TestLongUsedParentFails guards against a second attempt with a preferred parent that has failed after a long time: its
// connection may seem alive until another timeout. It is tried again after the next parent.
func TestLongUsedParentFails(t *testing.T) {
	parents := []string{"first", "second", "third"}
	for _, c := range []struct {
		name   string
		lasted time.Duration
		reason EndReason
		next   string
	}{
		{"failed after a minute", time.Minute, Failed, "second"},
		{"failed after a second", time.Second, Failed, "second"},
		{"renewed", time.Minute, Renew, "first"},
	} {
		var s Selector
		s.Next(0, parents)
		s.Ended(c.lasted, c.reason)
		if got, _ := s.Next(c.lasted, parents); got != c.next {
			t.Errorf("%s: the next parent is %s, want %s", c.name, got, c.next)
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
		t.Errorf("parents that fail after 20 s are tried in the order %v, want %v", tried, want)
	}
}

// TestSuspectMembersComeLast guards against nodes that try a suspected quorum member before the others.
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
		t.Errorf("parents are %v, and %v after the first one is suspected; want it last", before, after)
	}
}
