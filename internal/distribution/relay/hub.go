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
	maxCached      = 16      // deltas that are cached for children at the same index
	maxCachedBytes = 1 << 20 // a larger one is not cached, in encoded bytes
)

// Hub has a node's copy of the state, and sends its changes to the node's children.
type Hub struct {
	// Age is an upper bound of the time since a quorum confirmed the state here.
	Age func() time.Duration

	mu        sync.Mutex
	view      *catalog.View
	changed   chan struct{}     // closed and replaced at each change
	confirmed chan struct{}     // closed and replaced when a feed without changes brings a newer contact with the quorum
	cached    map[uint64]*delta // to the latest index, by where they begin
	depth     uint32
	children  int
}

// delta has the changes from one index to the latest, made once for all children at that index.
type delta struct {
	changes *wire.Changes
	once    sync.Once
	encoded []byte // a Feed with nothing but the changes
	err     error
}

// NewHub returns a hub without state.
func NewHub(age func() time.Duration) *Hub {
	return &Hub{Age: age, view: catalog.NewView(), changed: make(chan struct{}), confirmed: make(chan struct{}), cached: map[uint64]*delta{}}
}

// notify wakes those who wait for a change; called with mu held.
func (h *Hub) notify() {
	clear(h.cached)
	close(h.changed)
	h.changed = make(chan struct{})
}

// signals returns channels that are closed at the next change, and when the state here is next confirmed without one.
func (h *Hub) signals() (changed, renewed <-chan struct{}) {
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

// Index is the index of the latest update.
func (h *Hub) Index() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Index()
}

// Server returns a registered server; nil: it is not registered.
func (h *Hub) Server(member string) *wire.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Server(member)
}

// Config returns the configuration; nil: there is none yet.
func (h *Hub) Config() *meshconfig.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Config()
}

// State returns what has changed since an index, and the configuration; nil changes: none.
func (h *Hub) State(since uint64) (*wire.Changes, *meshconfig.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Changes(since), h.view.Config()
}

// Apply applies changes. It reports false if they do not begin at the hub's index, so that those between have to be
// requested; old ones are ignored.
func (h *Hub) Apply(c *wire.Changes) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c == nil {
		return true
	}
	before := h.view.Index()
	ok := h.view.Apply(c)
	if h.view.Index() != before {
		h.notify()
	}
	return ok
}

// Receive applies a parent's feed. ok is false if changes are missing: the subscription has to be renewed. current says
// that the parent has nothing newer than this node, so that the age of its state is that of this node's too; confirm is
// then called, before the children are notified, to raise the moment from which Age counts.
func (h *Hub) Receive(f *wire.Feed, confirm func()) (current, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.view.Index()
	ok = f.Changes == nil || h.view.Apply(f.Changes)
	h.depth = f.Depth + 1
	current = ok && f.Latest == h.view.Index()
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

// Depth is this node's level in the tree; quorum members are at 0.
func (h *Hub) Depth() uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.depth
}

// Feed returns what to send to a child that has the state at an index and whose subscription was received at subscribedAt,
// by the caller's clock, and a channel that is closed at the next change. The age is read before the state, so that
// updates in between make it no older.
func (h *Hub) Feed(have uint64, now, subscribedAt time.Duration) (*wire.Feed, <-chan struct{}) {
	contactAt := now - h.Age()
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.heartbeat()
	SetAge(f, now, contactAt, subscribedAt)
	if d := h.delta(have); d != nil {
		f.Changes = d.changes
	}
	return f, h.changed
}

// heartbeat is a feed without changes; called with mu held.
func (h *Hub) heartbeat() *wire.Feed {
	return &wire.Feed{Latest: h.view.Index(), Depth: h.depth, Format: Format}
}

// delta returns the changes from an index to the latest; nil: there are none. Called with mu held.
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

// encodedFeed is Feed in bytes. The changes are encoded once for all children at the same index, without the lock.
func (h *Hub) encodedFeed(have uint64, now, subscribedAt time.Duration) (data []byte, latest uint64, err error) {
	contactAt := now - h.Age()
	h.mu.Lock()
	f, d := h.heartbeat(), h.delta(have)
	h.mu.Unlock()
	SetAge(f, now, contactAt, subscribedAt)
	if data, err = proto.Marshal(f); err != nil || d == nil {
		return data, f.Latest, err
	}
	changes, err := d.encode()
	if len(changes) > maxCachedBytes {
		h.uncache(have, d)
	}
	return append(data, changes...), f.Latest, err // protobuf merges concatenated messages
}

// encode returns the changes as the bytes of a feed.
func (d *delta) encode() ([]byte, error) {
	d.once.Do(func() {
		var feed *wire.Feed
		if feed, d.err = pack(d.changes); d.err == nil {
			d.encoded, d.err = proto.Marshal(feed)
		}
	})
	return d.encoded, d.err
}

// uncache keeps a large delta no longer than its receivers do.
func (h *Hub) uncache(have uint64, d *delta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cached[have] == d {
		delete(h.cached, have)
	}
}

// ErrFull ends a subscription to a node that has MaxChildren.
var ErrFull = errors.New("relay: the node has enough children")

// addChild counts a child, unless there are too many.
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

// Serve is the RPC method "subscribe": it sends feeds to one child until the child leaves.
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

// feedChild sends feeds when Pacing says, until the child leaves.
func (h *Hub) feedChild(s *rpc.Stream, have uint64, subscribedAt time.Time) error {
	var pacing Pacing
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed, renewed := h.signals() // before the feed: what comes after it is in the next one
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
			case <-renewed:
				renewed = nil
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
