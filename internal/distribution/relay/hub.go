package relay

import (
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

const (
	maxCached      = 16      // maximum number of cached deltas
	maxCachedBytes = 1 << 20 // maximum encoded size of a cached delta, in bytes
)

// Hub holds a node's copy of the replicated state, and sends changes to the node's children. Its methods are safe for
// concurrent use.
type Hub struct {
	// Age returns an upper bound of the time since a quorum confirmed the state here.
	Age func() time.Duration

	mu        sync.Mutex
	view      *catalog.View
	changed   chan struct{}     // closed and replaced at each change
	confirmed chan struct{}     // closed and replaced when a feed without changes confirms the state
	cached    map[uint64]*delta // deltas to the latest index, by their start index
	depth     uint32            // see Depth
	children  int               // number of subscriptions to this node
}

// delta holds the changes from one index to the latest. All children at that index share it.
type delta struct {
	changes *wire.Changes
	once    sync.Once
	encoded []byte // a serialized Feed that contains only the changes
	err     error
}

// NewHub returns a Hub with an empty state.
func NewHub(age func() time.Duration) *Hub {
	return &Hub{Age: age, view: catalog.NewView(), changed: make(chan struct{}), confirmed: make(chan struct{}), cached: map[uint64]*delta{}}
}

// notify wakes the goroutines that wait for a change, and clears the cache. The caller must hold mu.
func (h *Hub) notify() {
	clear(h.cached)
	close(h.changed)
	h.changed = make(chan struct{})
}

// signals returns channels that are closed at the next change and at the next confirmation without a change.
func (h *Hub) signals() (changed, confirmed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed, h.confirmed
}

// Changed returns a channel that is closed at the next change.
func (h *Hub) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Index returns the index of the latest update.
func (h *Hub) Index() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Index()
}

// Server returns a registered server, or nil if it is not registered.
func (h *Hub) Server(member string) *wire.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Server(member)
}

// Config returns the configuration, or nil if there is none yet.
func (h *Hub) Config() *meshconfig.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Config()
}

// State returns the changes since an index, or nil if there are none, and the configuration.
func (h *Hub) State(since uint64) (*wire.Changes, *meshconfig.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Changes(since), h.view.Config()
}

// Apply applies changes. It ignores changes up to an index that the hub has reached. It returns false if updates between the
// hub's index and the changes are missing.
func (h *Hub) Apply(changes *wire.Changes) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if changes == nil {
		return true
	}
	before := h.view.Index()
	ok := h.view.Apply(changes)
	if h.view.Index() != before {
		h.notify()
	}
	return ok
}

// Receive applies a parent's feed. ok is false if changes are missing, and the subscription must be renewed. current is true
// if this node's state is as new as the parent's, so that the feed's age applies to it too. Receive then calls confirm, which
// updates Age, before it notifies the children.
func (h *Hub) Receive(feed *wire.Feed, confirm func()) (current, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.view.Index()
	ok = feed.Changes == nil || h.view.Apply(feed.Changes)
	h.depth = feed.Depth + 1
	current = ok && feed.Latest == h.view.Index()
	if current {
		confirm()
	}
	switch {
	case h.view.Index() != before:
		h.notify()
	case current:
		close(h.confirmed)
		h.confirmed = make(chan struct{})
	}
	return current, ok
}

// Depth returns this node's level in the tree. Quorum members are at level 0.
func (h *Hub) Depth() uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.depth
}

// Feed returns the feed for a child whose state is at index have, and a channel that is closed at the next change.
// subscribedAt is the receipt of the child's subscription, on the same clock as now. The age is read before the state, so
// that the state contains all changes acknowledged before the contact.
func (h *Hub) Feed(have uint64, now, subscribedAt time.Duration) (*wire.Feed, <-chan struct{}) {
	contactAt := now - h.Age()
	h.mu.Lock()
	defer h.mu.Unlock()
	feed := h.heartbeat()
	SetAge(feed, now, contactAt, subscribedAt)
	if d := h.delta(have); d != nil {
		feed.Changes = d.changes
	}
	return feed, h.changed
}

// heartbeat returns a feed without changes. The caller must hold mu.
func (h *Hub) heartbeat() *wire.Feed {
	return &wire.Feed{Latest: h.view.Index(), Depth: h.depth, Format: Format}
}

// delta returns the changes from an index to the latest, or nil if there are none. The caller must hold mu.
func (h *Hub) delta(have uint64) *delta {
	if d := h.cached[have]; d != nil {
		return d
	}
	changes := h.view.Changes(have)
	if changes == nil {
		return nil
	}
	d := &delta{changes: changes}
	if len(h.cached) < maxCached {
		h.cached[have] = d
	}
	return d
}

// encodedFeed returns the serialized result of Feed. The changes are encoded once for all children at the same index,
// without holding mu.
func (h *Hub) encodedFeed(have uint64, now, subscribedAt time.Duration) (data []byte, latest uint64, err error) {
	contactAt := now - h.Age()
	h.mu.Lock()
	feed, d := h.heartbeat(), h.delta(have)
	h.mu.Unlock()
	SetAge(feed, now, contactAt, subscribedAt)
	if data, err = proto.Marshal(feed); err != nil || d == nil {
		return data, feed.Latest, err
	}
	changes, err := d.encode()
	if len(changes) > maxCachedBytes {
		h.uncache(have, d)
	}
	return append(data, changes...), feed.Latest, err // protobuf merges concatenated messages
}

// encode returns a serialized Feed that contains only the changes.
func (d *delta) encode() ([]byte, error) {
	d.once.Do(func() {
		var feed *wire.Feed
		if feed, d.err = pack(d.changes); d.err == nil {
			d.encoded, d.err = proto.Marshal(feed)
		}
	})
	return d.encoded, d.err
}

// uncache removes a delta from the cache, so that it is freed once it has been sent.
func (h *Hub) uncache(have uint64, d *delta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cached[have] == d {
		delete(h.cached, have)
	}
}

// ErrFull is returned for a subscription to a node that already has MaxChildren.
var ErrFull = errors.New("relay: the node has enough children")

// addChild counts a child. It returns false if the node already has MaxChildren.
func (h *Hub) addChild() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.children >= MaxChildren {
		return false
	}
	h.children++
	return true
}

func (h *Hub) removeChild() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.children--
}

// Serve handles the RPC method "subscribe": it sends feeds to one child until the stream ends.
func (h *Hub) Serve(s *rpc.Stream) error {
	request := new(wire.SubscribeRequest)
	if err := s.Recv(request); err != nil {
		return err
	}
	subscribedAt := time.Now()
	if err := CheckFormat(request.Node, request.Format); err != nil {
		return err
	}
	if !h.addChild() {
		return ErrFull
	}
	defer h.removeChild()
	return h.feedChild(s, request.Have, subscribedAt)
}

// feedChild sends feeds at the times determined by Pacing until the stream ends.
func (h *Hub) feedChild(s *rpc.Stream, have uint64, subscribedAt time.Time) error {
	var pacing Pacing
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed, confirmed := h.signals() // read before the feed, so that the next feed includes any later change
		data, latest, err := h.encodedFeed(have, time.Since(subscribedAt), 0)
		if err != nil {
			return err
		}
		if err := s.SendEncoded(data); err != nil {
			return err
		}
		have = max(have, latest)
		pacing.Sent(time.Since(subscribedAt))
		timer.Reset(pacing.Due(h.Depth()) - time.Since(subscribedAt))
		for idle := true; idle; {
			select {
			case <-changed:
				changed = nil
				pacing.MarkPending()
				timer.Reset(pacing.Due(h.Depth()) - time.Since(subscribedAt))
			case <-confirmed:
				confirmed = nil
				pacing.MarkPending()
				timer.Reset(pacing.Due(h.Depth()) - time.Since(subscribedAt))
			case <-timer.C:
				idle = false
			case <-s.Context().Done():
				return s.Context().Err()
			}
		}
	}
}
