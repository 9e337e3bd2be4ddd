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

// spread follows an update from the quorum members, each hop taking link and the sender's time
// for each child; it returns when the last node has it and what a node sends at most.
func spread(n, zones int, link, each time.Duration) (last time.Duration, most, crossings int) {
	all := members(n, zones)
	zone := map[string]string{}
	children := map[string][]string{}
	for _, m := range all {
		zone[m.Name] = m.Zone
		if !m.QuorumMember {
			p := Parents(m.Name, m.Zone, all)[0]
			children[p] = append(children[p], m.Name)
		}
	}
	type hop struct {
		name string
		at   time.Duration
	}
	var todo []hop
	for z := range zones {
		todo = append(todo, hop{fmt.Sprint("core", z), 0})
	}
	reached := 0
	for len(todo) > 0 {
		h := todo[0]
		todo = todo[1:]
		most = max(most, len(children[h.name]))
		for i, c := range children[h.name] {
			if zone[c] != zone[h.name] {
				crossings++
			}
			todo = append(todo, hop{c, h.at + link + time.Duration(i+1)*each})
			last = max(last, h.at+link+time.Duration(i+1)*each)
			reached++
		}
	}
	if reached != n {
		return -1, most, crossings
	}
	return last, most, crossings
}

func TestUpdatesReachAll(t *testing.T) {
	for _, n := range []int{1, 13, 130, 1300} {
		last, most, crossings := spread(n, 4, 2*time.Millisecond, time.Millisecond)
		t.Logf("%5d nodes: %v, a node sends it %d times at most", n, last, most)
		if last < 0 || last > time.Second || most > 8 || crossings > 0 {
			t.Errorf("%d nodes: %v, %d times, %d between zones", n, last, most, crossings)
		}
	}
}

func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{13, 130, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				last, most, _ := spread(n, 4, 2*time.Millisecond, time.Millisecond)
				b.ReportMetric(float64(last.Milliseconds()), "sim-ms")
				b.ReportMetric(float64(most), "sends/node")
			}
		})
	}
}

func TestLostParentIsSkipped(t *testing.T) {
	all := members(40, 1)
	for _, m := range all {
		if m.QuorumMember {
			continue
		}
		p := Parents(m.Name, m.Zone, all)
		rest := slices.DeleteFunc(slices.Clone(all), func(x *wire.Member) bool { return x.Name == p[0] })
		if q := Parents(m.Name, m.Zone, rest); len(q) > 0 && q[0] == p[0] || len(q) == 0 && p[0] != "core0" {
			t.Errorf("%s follows %v, and without it %v", m.Name, p[0], q)
		}
		if p[len(p)-1] != "core0" {
			t.Errorf("%s can't turn to the core: %v", m.Name, p)
		}
	}
}

func TestHubLimitsChildren(t *testing.T) {
	h := NewHub(nil)
	for range MaxChildren {
		if !h.addChild() {
			t.Fatal("no room for a child below the bound")
		}
	}
	if h.addChild() {
		t.Error("one more than the bound is fed")
	}
	h.removeChild()
	if !h.addChild() {
		t.Error("the place of one that has left is not given again")
	}
}

func TestHubNeverGoesBack(t *testing.T) {
	h := NewHub(func() time.Duration { return 0 })
	change := func(from, to uint64) *wire.Changes {
		return &wire.Changes{From: from, To: to, Resources: []*wire.Resource{{Index: to, Value: &wire.Resource_Config{
			Config: &wire.ConfigHeader{Revision: to}}}}}
	}
	whole := func(to uint64) *wire.Changes {
		c := change(0, to)
		c.Full = true
		return c
	}
	if !h.Apply(change(0, 1)) || !h.Apply(change(1, 2)) || h.Apply(change(3, 4)) || !h.Apply(change(0, 1)) || !h.Apply(change(2, 3)) || h.Index() != 3 {
		t.Errorf("at %d", h.Index())
	}
	if !h.Apply(whole(3)) || !h.Apply(whole(2)) || h.Index() != 3 || h.Config().Revision != 3 {
		t.Errorf("went back to %d, revision %d", h.Index(), h.Config().Revision)
	}
	if f, _ := h.Feed(1, 0, 0); len(f.Changes.GetResources()) != 1 || f.Changes.Full || f.Changes.From != 1 || f.Latest != 3 {
		t.Errorf("%v", f)
	}
	if f, _ := h.Feed(3, 0, 0); f.Changes != nil {
		t.Errorf("nothing has changed, and %v is sent", f)
	}
	if !h.Apply(whole(9)) || h.Index() != 9 {
		t.Error("a newer state was not taken")
	}
	other := NewHub(func() time.Duration { return 0 })
	f, _ := h.Feed(0, 0, 0)
	if current, ok := other.Receive(f, func() {}); !current || !ok || other.Index() != 9 || other.Depth() != 1 {
		t.Errorf("a child is at %d", other.Index())
	}
	f.Latest, f.Changes = 12, nil
	if current, ok := other.Receive(f, func() {}); current || !ok {
		t.Error("a child that lacks updates takes its state for the newest")
	}
}

// TestFeedsOfOtherFormats: a node that understands other feeds is told so in one line.
func TestFeedsOfOtherFormats(t *testing.T) {
	if err := CheckFormat("p", Format+1); !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "p has feeds of format 2, this node of format 1") {
		t.Errorf("of another format it says %v", err)
	}
	if err := CheckFormat("p", Format); err != nil {
		t.Errorf("of the same format it says %v", err)
	}
}

// TestEncodedFeed: what is sent is what Feed says, and the changes are encoded once.
func TestEncodedFeed(t *testing.T) {
	h := NewHub(func() time.Duration { return 0 })
	h.Apply(&wire.Changes{To: 7, Resources: []*wire.Resource{{Index: 7, Value: &wire.Resource_Server{Server: &wire.Server{Member: "i-1"}}}}})
	for _, have := range []uint64{0, 3, 7} {
		data, latest, err := h.encodedFeed(have, 9*time.Second, 5*time.Second)
		got := new(wire.Feed)
		want, _ := h.Feed(have, 9*time.Second, 5*time.Second)
		if err = errors.Join(err, proto.Unmarshal(data, got)); err != nil || latest != 7 || !proto.Equal(got, want) {
			t.Errorf("%v, want %v: %v", got, want, err)
		}
	}
	before := h.cached[3].encoded
	h.encodedFeed(3, 0, 0)
	if len(before) == 0 || &before[0] != &h.cached[3].encoded[0] {
		t.Error("the same changes were encoded again")
	}
	h.Apply(&wire.Changes{From: 7, To: 8})
	if len(h.cached) != 0 {
		t.Error("differences to an old index are kept")
	}
}
