package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// Discovery has a limit on the list entries that it sends a second, and each call
	// uses some of it: a watch waits as long as the protocol allows, less a random
	// part, so that the calls of all nodes do not coincide.
	maxWatchWait = 60 * time.Second
	watchSpread  = 10 // up to one part in so many
	// Discovery answers calls in order; one without an answer after this time is lost.
	// The protocol counts a change as delivered 6 s after a call for the list, and
	// 2 s after the end of a watch's wait.
	callTimeout   = 5 * time.Second
	maxWatchGrace = 1500 * time.Millisecond
	dialTimeout   = time.Second
	maxListBytes  = 16 << 20
)

// discovery makes the calls for the list of servers that the policy asks for.
type discovery struct {
	address        atomic.Pointer[string]
	client         *http.Client
	log            *slog.Logger
	addressChanged chan struct{} // discovery has another address
	watch          chan bool     // on or off, the newest counts
	fetch          chan struct{} // one call for the full list
	onList         func(*list)   // called with each answer; nil: a call failed
	watchWait      time.Duration // how long a watch may wait
	watchGrace     time.Duration // how long its answer may take besides
	fetchTimeout   time.Duration // how long a call for the full list may take
}

func newDiscovery(address string, log *slog.Logger, report func(*list)) *discovery {
	d := &discovery{
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 1,
			MaxConnsPerHost:     2, // a watch and a fetch
		}},
		log:            log,
		addressChanged: make(chan struct{}, 1),
		watch:          make(chan bool, 1),
		fetch:          make(chan struct{}, 1),
		onList:         report,
		watchWait:      maxWatchWait, watchGrace: maxWatchGrace, fetchTimeout: callTimeout,
	}
	d.address.Store(&address)
	return d
}

// setAddress changes the address of discovery. The watch begins again at once: at the
// old address it could wait without an answer. It does not block.
func (d *discovery) setAddress(address string) {
	if *d.address.Swap(&address) == address {
		return
	}
	select {
	case d.addressChanged <- struct{}{}:
	default: // told already, and not yet taken up
	}
	d.client.CloseIdleConnections()
}

// setWatch turns the watch on or off. It does not block; only the loop calls it.
func (d *discovery) setWatch(on bool) {
	select {
	case <-d.watch:
	default:
	}
	d.watch <- on
}

// requestFetch requests the full list. It does not block; only the loop calls it.
func (d *discovery) requestFetch() {
	select {
	case d.fetch <- struct{}{}:
	default: // one is waiting already
	}
}

// runFetches makes the calls for the full list until the context ends.
func (d *discovery) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.fetch:
		}
		l, err := d.call(ctx, "", d.fetchTimeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			d.log.Warn("discovery.fetch_failed", "err", err)
		}
		d.onList(l)
	}
}

// runWatch keeps the watch, while it is wanted, until the context ends. A call
// that fails ends the watch: the policy decides when to watch again, unless there
// is a new address to ask.
func (d *discovery) runWatch(ctx context.Context, since *uint64) {
	on, wanted := false, false
	for {
		if on {
			on, since = d.watchCall(ctx, since)
		} else {
			select {
			case on = <-d.watch:
				wanted = on
			case <-d.addressChanged:
				on, since = wanted, nil
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// watchCall makes one call of a watch, and returns whether the watch goes on and
// the generation to ask from. Turning the watch off ends the call, and so does a
// change of the address, after which the watch begins with the full list.
func (d *discovery) watchCall(ctx context.Context, since *uint64) (bool, *uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var off, moved bool // settled once the goroutine has ended
	ended := make(chan struct{})
	go func() { // ends with this call
		defer close(ended)
		defer cancel()
		for !off && !moved {
			select {
			case on := <-d.watch:
				off = !on
			case <-d.addressChanged:
				moved = true
			case <-ctx.Done():
				return
			}
		}
	}()
	query, wait := "", d.fetchTimeout
	if since != nil {
		long := d.watchWait - rand.N(d.watchWait/watchSpread)
		query, wait = fmt.Sprintf("?since=%d&timeout_ms=%d", *since, long.Milliseconds()), long+d.watchGrace
	}
	l, err := d.call(ctx, query, wait)
	cancel()
	<-ended
	switch {
	case off:
		return false, since
	case moved:
		return true, nil
	}
	if err != nil {
		d.log.Warn("discovery.watch_failed", "err", err)
		d.onList(nil)
		return false, since
	}
	d.onList(l)
	return true, &l.generation
}

func (d *discovery) call(ctx context.Context, query string, wait time.Duration) (*list, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+*d.address.Load()+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("discovery: reading the list: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	l, err := parseList(text)
	if err == nil && query == "" && !l.full {
		err = errors.New("malformed list: asked for the whole, got changes")
	}
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return l, nil
}
