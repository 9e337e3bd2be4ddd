package relay

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// members returns a quorum member for each zone, and n nodes distributed over the zones.
func members(n, zones int) (list []*wire.Member) {
	for z := range zones {
		list = append(list, &wire.Member{Name: fmt.Sprint("core", z), Address: fmt.Sprint("core", z), Zone: fmt.Sprint(z), QuorumMember: true})
	}
	for i := range n {
		name := fmt.Sprint("node", i)
		list = append(list, &wire.Member{Name: name, Address: name, Zone: fmt.Sprint(i % zones)})
	}
	return list
}

// propagate simulates an update from the quorum members to n nodes. A hop takes the link latency plus sendTime for each child
// up to the receiver. It returns the time of the last delivery, or -1 if a node is not reached, the maximum number of
// children, and the number of hops between zones.
func propagate(n, zones int, link, sendTime time.Duration) (last time.Duration, maxChildren, crossZoneHops int) {
	all := members(n, zones)
	zone := map[string]string{}
	children := map[string][]string{}
	for _, m := range all {
		zone[m.Name] = m.Zone
		if !m.QuorumMember {
			parent := Parents(m.Name, m.Zone, all)[0]
			children[parent] = append(children[parent], m.Name)
		}
	}
	type hop struct {
		name string
		at   time.Duration
	}
	var pending []hop
	for z := range zones {
		pending = append(pending, hop{fmt.Sprint("core", z), 0})
	}
	reached := 0
	for len(pending) > 0 {
		sender := pending[0]
		pending = pending[1:]
		maxChildren = max(maxChildren, len(children[sender.name]))
		for i, child := range children[sender.name] {
			if zone[child] != zone[sender.name] {
				crossZoneHops++
			}
			pending = append(pending, hop{child, sender.at + link + time.Duration(i+1)*sendTime})
			last = max(last, sender.at+link+time.Duration(i+1)*sendTime)
			reached++
		}
	}
	if reached != n {
		return -1, maxChildren, crossZoneHops
	}
	return last, maxChildren, crossZoneHops
}

// TestUpdatesReachAll guards against trees that miss a node, are too deep or too wide, or send updates between zones.
func TestUpdatesReachAll(t *testing.T) {
	for _, n := range []int{1, 13, 130, 1300} {
		last, maxChildren, crossZoneHops := propagate(n, 4, 2*time.Millisecond, time.Millisecond)
		t.Logf("%5d nodes: last delivery after %v, at most %d children", n, last, maxChildren)
		if last < 0 || last > time.Second || maxChildren > 8 || crossZoneHops > 0 {
			t.Errorf("%d nodes: last delivery after %v, at most %d children, %d hops between zones", n, last, maxChildren, crossZoneHops)
		}
	}
}

func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{13, 130, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				last, maxChildren, _ := propagate(n, 4, 2*time.Millisecond, time.Millisecond)
				b.ReportMetric(float64(last.Milliseconds()), "sim-ms")
				b.ReportMetric(float64(maxChildren), "sends/node")
			}
		})
	}
}

// TestLostParentIsSkipped guards against a node that keeps a parent which has left, or has no quorum member to fall back to.
func TestLostParentIsSkipped(t *testing.T) {
	all := members(40, 1)
	for _, m := range all {
		if m.QuorumMember {
			continue
		}
		before := Parents(m.Name, m.Zone, all)
		remaining := slices.DeleteFunc(slices.Clone(all), func(x *wire.Member) bool { return x.Name == before[0] })
		if after := Parents(m.Name, m.Zone, remaining); len(after) > 0 && after[0] == before[0] || len(after) == 0 && before[0] != "core0" {
			t.Errorf("the parent of %s is %v, and after its removal the parents are %v", m.Name, before[0], after)
		}
		if before[len(before)-1] != "core0" {
			t.Errorf("the last parent of %s is not the quorum member: %v", m.Name, before)
		}
	}
}

// TestHubLimitsChildren guards against more than MaxChildren subscriptions, and against slots that are not released.
func TestHubLimitsChildren(t *testing.T) {
	hub := NewHub(nil)
	for range MaxChildren {
		if !hub.addChild() {
			t.Fatal("a child was rejected below MaxChildren")
		}
	}
	if hub.addChild() {
		t.Error("a child was accepted above MaxChildren")
	}
	hub.removeChild()
	if !hub.addChild() {
		t.Error("a child was rejected after another was removed")
	}
}

// TestHubUpdateOrder guards against a hub that applies old or gapped changes, or a child that takes an incomplete state for
// current.
func TestHubUpdateOrder(t *testing.T) {
	hub := NewHub(func() time.Duration { return 0 })
	change := func(from, to uint64) *wire.Changes {
		return &wire.Changes{From: from, To: to, Resources: []*wire.Resource{{Index: to, Value: &wire.Resource_Config{
			Config: &wire.ConfigHeader{Revision: to}}}}}
	}
	full := func(to uint64) *wire.Changes {
		changes := change(0, to)
		changes.Full = true
		return changes
	}
	if !hub.Apply(change(0, 1)) || !hub.Apply(change(1, 2)) || hub.Apply(change(3, 4)) || !hub.Apply(change(0, 1)) || !hub.Apply(change(2, 3)) || hub.Index() != 3 {
		t.Errorf("old, missing or next changes were handled wrongly, the index is %d, want 3", hub.Index())
	}
	if !hub.Apply(full(3)) || !hub.Apply(full(2)) || hub.Index() != 3 || hub.Config().Revision != 3 {
		t.Errorf("after an old full state: index %d, revision %d, want 3 and 3", hub.Index(), hub.Config().Revision)
	}
	if feed, _ := hub.Feed(1, 0, 0); len(feed.Changes.GetResources()) != 1 || feed.Changes.Full || feed.Changes.From != 1 || feed.Latest != 3 {
		t.Errorf("feed for index 1 is %v, want one resource from index 1 to 3", feed)
	}
	if feed, _ := hub.Feed(3, 0, 0); feed.Changes != nil {
		t.Errorf("feed for the latest index is %v, want no changes", feed)
	}
	if !hub.Apply(full(9)) || hub.Index() != 9 {
		t.Error("a newer full state was not applied")
	}
	other := NewHub(func() time.Duration { return 0 })
	feed, _ := hub.Feed(0, 0, 0)
	if current, ok := other.Receive(feed, func() {}); !current || !ok || other.Index() != 9 || other.Depth() != 1 {
		t.Errorf("the child did not become current, or its index is %d, want 9", other.Index())
	}
	feed.Latest, feed.Changes = 12, nil
	if current, ok := other.Receive(feed, func() {}); current || !ok {
		t.Error("a child that lacks updates reports its state as current")
	}
}

// TestFeedsOfOtherFormats guards against feeds of another format that are accepted or rejected without the two versions.
func TestFeedsOfOtherFormats(t *testing.T) {
	if err := CheckFormat("p", Format+1); !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "p has feeds of format 2, this node of format 1") {
		t.Errorf("CheckFormat of another format returned %v", err)
	}
	if err := CheckFormat("p", Format); err != nil {
		t.Errorf("CheckFormat of the same format returned %v", err)
	}
}

// TestEncodedFeed guards against a serialized feed that differs from Feed, and against changes that are encoded repeatedly.
func TestEncodedFeed(t *testing.T) {
	hub := NewHub(func() time.Duration { return 0 })
	hub.Apply(&wire.Changes{To: 7, Resources: []*wire.Resource{{Index: 7, Value: &wire.Resource_Server{Server: &wire.Server{Member: "i-1"}}}}})
	for _, have := range []uint64{0, 3, 7} {
		data, latest, err := hub.encodedFeed(have, 9*time.Second, 5*time.Second)
		got := new(wire.Feed)
		want, _ := hub.Feed(have, 9*time.Second, 5*time.Second)
		if err = errors.Join(err, proto.Unmarshal(data, got)); err != nil || latest != 7 || !proto.Equal(got, want) {
			t.Errorf("encodedFeed returned %v, want %v; error %v", got, want, err)
		}
	}
	before := hub.cached[3].encoded
	hub.encodedFeed(3, 0, 0)
	if len(before) == 0 || &before[0] != &hub.cached[3].encoded[0] {
		t.Error("the same changes were encoded twice")
	}
	hub.Apply(&wire.Changes{From: 7, To: 8})
	if len(hub.cached) != 0 {
		t.Error("the cache holds deltas to an old index")
	}
}
