package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// pathLevel is a node on the path from a quorum member down the tree.
type pathLevel struct {
	hub          *Hub
	pacing       Pacing
	contact      time.Duration
	subscription Subscription
	transit      []pathFeed
	feeds        int // that were sent to it
}

type pathFeed struct {
	arrives time.Duration
	feed    *wire.Feed
}

// TestAgeAlongLongPaths plays paths of nine levels below a quorum member, with relays that began at any moment and feeds
// that take some milliseconds, without changes and with some: no node leaves its parent for the age of what it sends, and
// none gets many more feeds than the quorum member sends heartbeats and changes.
func TestAgeAlongLongPaths(t *testing.T) {
	const (
		levels  = 9
		seconds = 30
		step    = time.Millisecond
		settled = 5 * time.Second
	)
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 0xdee9))
		now := time.Duration(0)
		path := make([]*pathLevel, levels+1)
		for i := range path {
			p := &pathLevel{}
			p.hub = NewHub(func() time.Duration { return now - p.contact })
			p.pacing.Sent(time.Duration(rng.Int64N(int64(Heartbeat)))) // its phase
			path[i] = p
		}
		changeChance := []int{0, 0, 1, 20}[rng.IntN(4)] // in a thousand steps
		changes := 0
		for ; now < seconds*time.Second; now += step {
			path[0].contact = now // the quorum is in contact all the time
			if rng.IntN(1000) < changeChance {
				changes++
				at := path[0].hub.Index()
				path[0].hub.Apply(&wire.Changes{From: at, To: at + 1, Resources: []*wire.Resource{
					{Index: at + 1, Value: &wire.Resource_RemovedServer{RemovedServer: "a"}}}})
				path[0].pacing.MarkPending()
			}
			for i, p := range path[:levels] {
				child := path[i+1]
				if now >= p.pacing.Due(p.hub.Depth()) {
					f, _ := p.hub.Feed(child.hub.Index(), now, 0)
					p.pacing.Sent(now)
					child.feeds++
					child.transit = append(child.transit, pathFeed{now + time.Duration(1+rng.IntN(8))*time.Millisecond, f})
				}
				child.receive(t, seed, i+1, now, now > settled)
			}
		}
		if last, most := path[levels], seconds*1000/400+changes; last.feeds > most+most/10+levels {
			t.Fatalf("seed %d: the last level got %d feeds, with %d heartbeats and changes", seed, last.feeds, most)
		}
	}
}

// receive takes in what has arrived.
func (p *pathLevel) receive(t *testing.T, seed uint64, level int, now time.Duration, settled bool) {
	for len(p.transit) > 0 && p.transit[0].arrives <= now {
		f := p.transit[0].feed
		p.transit = p.transit[1:]
		contactAt := p.subscription.ContactAt(now, f)
		if settled && now-contactAt > Stale {
			t.Fatalf("seed %d: at level %d the age of a feed is %v", seed, level, now-contactAt)
		}
		before := p.hub.Index()
		current, ok := p.hub.Receive(f, func() { p.contact = max(p.contact, contactAt) })
		if !ok {
			t.Fatalf("seed %d: changes are missing at level %d", seed, level)
		}
		if current || p.hub.Index() != before {
			p.pacing.MarkPending()
		}
	}
}

// TestRenewedStateIsSignalled: a feed that brings a newer contact and no change wakes those who feed children, once.
func TestRenewedStateIsSignalled(t *testing.T) {
	closed := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	confirmed := 0
	confirm := func() { confirmed++ }
	h := NewHub(func() time.Duration { return 0 })
	changed, renewed := h.signals()
	change := &wire.Feed{Latest: 1, Changes: &wire.Changes{From: 0, To: 1, Resources: []*wire.Resource{
		{Index: 1, Value: &wire.Resource_RemovedServer{RemovedServer: "a"}}}}}
	h.Receive(change, confirm)
	if !closed(changed) || closed(renewed) || confirmed != 1 {
		t.Errorf("a change: changed %v, renewed %v, confirmed %d", closed(changed), closed(renewed), confirmed)
	}
	changed, renewed = h.signals()
	h.Receive(&wire.Feed{Latest: 1}, confirm)
	if closed(changed) || !closed(renewed) || confirmed != 2 {
		t.Errorf("a heartbeat: changed %v, renewed %v, confirmed %d", closed(changed), closed(renewed), confirmed)
	}
	changed, renewed = h.signals()
	h.Receive(&wire.Feed{Latest: 2}, confirm)
	if closed(changed) || closed(renewed) || confirmed != 2 {
		t.Errorf("a heartbeat of a parent that is ahead: changed %v, renewed %v, confirmed %d", closed(changed), closed(renewed), confirmed)
	}
}
