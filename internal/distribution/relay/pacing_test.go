package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// pathLevel is a node on a path from a quorum member down the tree.
type pathLevel struct {
	hub          *Hub
	pacing       Pacing
	contact      time.Duration // time of the last contact with the quorum
	subscription Subscription
	transit      []pathFeed // feeds not yet received
	feeds        int        // number of feeds sent to this node
}

// pathFeed is a feed in transit.
type pathFeed struct {
	arrives time.Duration
	feed    *wire.Feed
}

// TestAgeAlongLongPaths simulates paths of nine levels below a quorum member. It guards against feeds that become older than
// StaleAfter, and against relays that send many more feeds than the quorum member sends heartbeats and changes.
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
			node := &pathLevel{}
			node.hub = NewHub(func() time.Duration { return now - node.contact })
			node.pacing.Sent(time.Duration(rng.Int64N(int64(Heartbeat)))) // random phase
			path[i] = node
		}
		changeChance := []int{0, 0, 1, 20}[rng.IntN(4)] // per 1,000 steps
		changes := 0
		for ; now < seconds*time.Second; now += step {
			path[0].contact = now // the quorum member is always in contact with the quorum
			if rng.IntN(1000) < changeChance {
				changes++
				index := path[0].hub.Index()
				path[0].hub.Apply(&wire.Changes{From: index, To: index + 1, Resources: []*wire.Resource{
					{Index: index + 1, Value: &wire.Resource_RemovedServer{RemovedServer: "a"}}}})
				path[0].pacing.MarkPending()
			}
			for i, parent := range path[:levels] {
				child := path[i+1]
				if now >= parent.pacing.Due(parent.hub.Depth()) {
					feed, _ := parent.hub.Feed(child.hub.Index(), now, 0)
					parent.pacing.Sent(now)
					child.feeds++
					child.transit = append(child.transit, pathFeed{now + time.Duration(1+rng.IntN(8))*time.Millisecond, feed})
				}
				child.receive(t, seed, i+1, now, now > settled)
			}
		}
		if last, expected := path[levels], seconds*1000/400+changes; last.feeds > expected+expected/10+levels {
			t.Fatalf("seed %d: the last level received %d feeds, the quorum member sent %d heartbeats and changes", seed, last.feeds, expected)
		}
	}
}

// receive applies the feeds that have arrived, and checks their ages if settled is true.
func (p *pathLevel) receive(t *testing.T, seed uint64, level int, now time.Duration, settled bool) {
	for len(p.transit) > 0 && p.transit[0].arrives <= now {
		feed := p.transit[0].feed
		p.transit = p.transit[1:]
		contactAt := p.subscription.ContactAt(now, feed)
		if settled && now-contactAt > StaleAfter {
			t.Fatalf("seed %d: a feed at level %d is %v old", seed, level, now-contactAt)
		}
		before := p.hub.Index()
		current, ok := p.hub.Receive(feed, func() { p.contact = max(p.contact, contactAt) })
		if !ok {
			t.Fatalf("seed %d: changes are missing at level %d", seed, level)
		}
		if current || p.hub.Index() != before {
			p.pacing.MarkPending()
		}
	}
}

// TestRenewedStateIsSignalled guards against relays that do not forward a newer contact without changes, or forward it twice.
func TestRenewedStateIsSignalled(t *testing.T) {
	closed := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	confirmations := 0
	confirm := func() { confirmations++ }
	hub := NewHub(func() time.Duration { return 0 })
	changed, confirmed := hub.signals()
	change := &wire.Feed{Latest: 1, Changes: &wire.Changes{From: 0, To: 1, Resources: []*wire.Resource{
		{Index: 1, Value: &wire.Resource_RemovedServer{RemovedServer: "a"}}}}}
	hub.Receive(change, confirm)
	if !closed(changed) || closed(confirmed) || confirmations != 1 {
		t.Errorf("feed with a change: changed %v, confirmed %v, %d confirmations", closed(changed), closed(confirmed), confirmations)
	}
	changed, confirmed = hub.signals()
	hub.Receive(&wire.Feed{Latest: 1}, confirm)
	if closed(changed) || !closed(confirmed) || confirmations != 2 {
		t.Errorf("heartbeat: changed %v, confirmed %v, %d confirmations", closed(changed), closed(confirmed), confirmations)
	}
	changed, confirmed = hub.signals()
	hub.Receive(&wire.Feed{Latest: 2}, confirm)
	if closed(changed) || closed(confirmed) || confirmations != 2 {
		t.Errorf("heartbeat of a parent with a newer state: changed %v, confirmed %v, %d confirmations", closed(changed), closed(confirmed), confirmations)
	}
}
