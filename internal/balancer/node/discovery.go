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
	// Discovery limits the list entries that it sends per second, and each call uses some
	// of them. A watch therefore waits as long as the protocol allows, minus a random
	// part of up to 1/watchSpread, so that the calls of all nodes do not coincide.
	maxWatchWait = 60 * time.Second
	watchSpread  = 10
	// Discovery responds to calls in order; a call without a response after its timeout is
	// considered lost. The protocol counts a change as delivered 6 s after a call for the
	// list, and 2 s after the end of a watch's wait.
	callTimeout   = 5 * time.Second
	maxWatchGrace = 1500 * time.Millisecond
	dialTimeout   = time.Second
	maxListBytes  = 16 << 20
)

// discovery fetches and watches the list of servers on behalf of the policy.
type discovery struct {
	address        atomic.Pointer[string]
	client         *http.Client
	log            *slog.Logger
	addressChanged chan struct{} // signals a change of address
	watch          chan bool     // holds the latest request to turn the watch on or off
	fetch          chan struct{} // signals a request for the full list
	onList         func(*list)   // called with each list, or with nil if a call failed
	watchWait      time.Duration // maximum wait of a watch call on the side of discovery
	watchGrace     time.Duration // additional time for the response of a watch call
	fetchTimeout   time.Duration // timeout of a call for the full list
}

func newDiscovery(address string, log *slog.Logger, onList func(*list)) *discovery {
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
		onList:         onList,
		watchWait:      maxWatchWait, watchGrace: maxWatchGrace, fetchTimeout: callTimeout,
	}
	d.address.Store(&address)
	return d
}

// setAddress changes the address of discovery. It restarts the watch, which might never
// get a response from the old address. It does not block.
func (d *discovery) setAddress(address string) {
	if *d.address.Swap(&address) == address {
		return
	}
	select {
	case d.addressChanged <- struct{}{}:
	default: // a change is already signalled
	}
	d.client.CloseIdleConnections()
}

// setWatch turns the watch on or off. It does not block, but must be called only by the loop.
func (d *discovery) setWatch(on bool) {
	select {
	case <-d.watch:
	default:
	}
	d.watch <- on
}

// requestFetch requests the full list. It does not block.
func (d *discovery) requestFetch() {
	select {
	case d.fetch <- struct{}{}:
	default: // a request is already queued
	}
}

// runFetches fetches the full list on request until ctx ends.
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

// runWatch watches for changes after generation since, while the watch is on, until ctx
// ends. A failed call turns the watch off until the policy turns it on again or the
// address changes.
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

// watchCall makes one call of a watch. It returns whether the watch continues and the
// generation for the next call, nil for the full list. Turning the watch off or changing
// the address cancels the call.
func (d *discovery) watchCall(ctx context.Context, since *uint64) (bool, *uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watchOff, addressChanged bool // read only after the goroutine has ended
	ended := make(chan struct{})
	go func() { // ends before watchCall returns
		defer close(ended)
		defer cancel()
		for !watchOff && !addressChanged {
			select {
			case on := <-d.watch:
				watchOff = !on
			case <-d.addressChanged:
				addressChanged = true
			case <-ctx.Done():
				return
			}
		}
	}()
	query, timeout := "", d.fetchTimeout
	if since != nil {
		watchWait := d.watchWait - rand.N(d.watchWait/watchSpread)
		query, timeout = fmt.Sprintf("?since=%d&timeout_ms=%d", *since, watchWait.Milliseconds()), watchWait+d.watchGrace
	}
	l, err := d.call(ctx, query, timeout)
	cancel()
	<-ended
	switch {
	case watchOff:
		return false, since
	case addressChanged:
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

// call requests a list from discovery. Without a query the response must be a full list.
func (d *discovery) call(ctx context.Context, query string, timeout time.Duration) (*list, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+*d.address.Load()+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, fmt.Errorf("calling discovery: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("calling discovery: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("reading the response of discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery responded with status %s", resp.Status)
	}
	l, err := parseList(text)
	if err == nil && query == "" && !l.full {
		err = errors.New("malformed list: requested the full list, received changes")
	}
	if err != nil {
		return nil, fmt.Errorf("calling discovery: %w", err)
	}
	return l, nil
}
