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
	maxCached      = 16      // differences that are kept for the children that stand at the same index
	maxCachedBytes = 1 << 20 // of one of them, encoded
)

// Hub holds what a node was told, and passes it on to its children.
type Hub struct {
	// Age is an upper bound of the time since a quorum confirmed the state here.
	Age func() time.Duration

	mu       sync.Mutex
	view     *catalog.View
	changed  chan struct{}          // closed and replaced at each change
	confirmed  chan struct{}          // closed and replaced when a feed without changes brings a newer contact with the quorum
	cached   map[uint64]*delta // to the latest index, by where they begin
	depth    uint32
	children int
}

// delta is what leads to the latest index, made once for all children that stand at another.
type delta struct {
	changes *wire.Changes
	once    sync.Once
	encoded []byte // a Feed with nothing but the changes
	err     error
}

// NewHub returns a hub that has been told nothing.
func NewHub(age func() time.Duration) *Hub {
	return &Hub{Age: age, view: catalog.NewView(), changed: make(chan struct{}), confirmed: make(chan struct{}), cached: map[uint64]*delta{}}
}

// notify tells those who wait of a change; called with mu held.
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

// Index of the latest update.
func (h *Hub) Index() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Index()
}

// Server returns a registered server; nil: it is not listed.
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

// Apply takes changes in. It reports false where they do not begin at what is here, so that those in between have to be
// asked for; old ones are passed over.
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

// Receive takes in what a parent has sent. It reports not ok where changes are missing:
// the subscription has to be renewed. current tells that the parent knows nothing
// newer than what is here, so that its age is the age of this node's state too; confirm
// is called then, before the children are told, and raises the moment that Age counts from.
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

// Depth is this node's place below the quorum, whose members are at 0.
func (h *Hub) Depth() uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.depth
}

// Feed returns what to send to a child that has the state at an index and whose request was received at a moment of the
// caller's clock, and a channel that is closed at the next change. The age is read before the state that it speaks of:
// updates that come in between make it no older.
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

// delta returns what leads from an index to the latest; nil: nothing. Called with mu held.
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

// encodedFeed is Feed in bytes. The changes are encoded once for all children that stand at the same index, and while
// that goes on nobody else waits.
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
	return append(data, changes...), f.Latest, err // messages that follow each other are merged
}

// encode returns a difference as the bytes of a feed.
func (d *delta) encode() ([]byte, error) {
	d.once.Do(func() {
		var feed *wire.Feed
		if feed, d.err = pack(d.changes); d.err == nil {
			d.encoded, d.err = proto.Marshal(feed)
		}
	})
	return d.encoded, d.err
}

// uncache keeps a large difference no longer than its receivers do.
func (h *Hub) uncache(have uint64, d *delta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cached[have] == d {
		delete(h.cached, have)
	}
}

// ErrFull is the end of a subscription to a node that feeds enough children.
var ErrFull = errors.New("relay: no room for another child")

// addChild takes a child in, unless there are too many.
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

// Serve feeds one child until it leaves.
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

// feedChild sends feeds as Pacing says, until the child leaves.
func (h *Hub) feedChild(s *rpc.Stream, have uint64, subscribedAt time.Time) error {
	var pacing Pacing
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed, renewed := h.signals() // before the feed: what comes after it is passed on by the next
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
