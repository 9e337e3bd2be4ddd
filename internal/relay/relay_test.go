package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ivydeck/internal/wire"
)

func members(n, zones int) (list []*wire.Member) {
	for z := range zones {
		list = append(list, &wire.Member{Name: fmt.Sprint("core", z), Address: fmt.Sprint("core", z), Zone: fmt.Sprint(z), Core: true})
	}
	for i := range n {
		name := fmt.Sprint("node", i)
		list = append(list, &wire.Member{Name: name, Address: name, Zone: fmt.Sprint(i % zones)})
	}
	return list
}

// news spreads from the core machines, each hop taking link and the sender's time
// for each child; it returns when the last node has it and what a node sends at most.
func news(n, zones int, link, each time.Duration) (last time.Duration, most, crossings int) {
	all := members(n, zones)
	zone := map[string]string{}
	children := map[string][]string{}
	for _, m := range all {
		zone[m.Name] = m.Zone
		if !m.Core {
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

func TestNewsReachAll(t *testing.T) {
	for _, n := range []int{1, 13, 130, 1300} {
		last, most, crossings := news(n, 4, 2*time.Millisecond, time.Millisecond)
		t.Logf("%5d nodes: %v, a node sends it %d times at most", n, last, most)
		if last < 0 || last > time.Second || most > 8 || crossings > 0 {
			t.Errorf("%d nodes: %v, %d times, %d between zones", n, last, most, crossings)
		}
	}
}

func BenchmarkNews(b *testing.B) {
	for _, n := range []int{13, 130, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				last, most, _ := news(n, 4, 2*time.Millisecond, time.Millisecond)
				b.ReportMetric(float64(last.Milliseconds()), "sim-ms")
				b.ReportMetric(float64(most), "sends/node")
			}
		})
	}
}

func TestALostParentIsPassedOver(t *testing.T) {
	all := members(40, 1)
	for _, m := range all {
		if m.Core {
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

func TestAHubFeedsSoManyChildren(t *testing.T) {
	h := NewHub(nil)
	for range MostChildren {
		if !h.enter() {
			t.Fatal("no room for a child below the bound")
		}
	}
	if h.enter() {
		t.Error("one more than the bound is fed")
	}
	h.exit()
	if !h.enter() {
		t.Error("the place of one that has left is not given again")
	}
}

func TestHubNeverGoesBack(t *testing.T) {
	h := NewHub(func() time.Duration { return 0 })
	item := func(n uint64) *wire.Item {
		return &wire.Item{Number: n, What: &wire.Item_Config{Config: []byte{byte(n)}}}
	}
	if !h.Add(item(1), item(2)) || h.Add(item(4)) || !h.Add(item(1), item(3)) || h.Number() != 3 {
		t.Errorf("at %d", h.Number())
	}
	if h.Load(&wire.State{Number: 3}) || h.Load(&wire.State{Number: 2}) || h.State().Config[0] != 3 {
		t.Errorf("went back to %v", h.State())
	}
	if f, _ := h.Since(1); len(f.Items) != 2 || f.Whole != nil || f.Head != 3 {
		t.Errorf("%v", f)
	}
	if !h.Load(&wire.State{Number: 9}) {
		t.Error("a newer state was not taken")
	}
	if f, _ := h.Since(3); f.Whole == nil {
		t.Error("items that are not kept were promised")
	}
}
