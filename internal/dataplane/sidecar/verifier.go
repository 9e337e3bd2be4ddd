package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/dataplane/proxy"
	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/wire"
)

const (
	lookupTimeout    = time.Second            // a longer lookup is repeated, with the servers that have come since
	lookupRetryPause = 100 * time.Millisecond // pause after a lookup without an answer
)

// Errors of verifier.Heartbeat.
var (
	errIncarnationEnded  = errors.New("this incarnation has ended")
	errTooManyUnverified = errors.New("too many servers wait for verification")
)

// lookup returns the recorded departures of servers: see agent.FindDepartures.
type lookup func(ctx context.Context, members []string) (found []*wire.Departure, ok bool)

// verifier holds back the servers that this process does not know until a majority of the quorum has answered that they have
// not deregistered: see localserver.Unverified. Its methods are safe for concurrent use.
type verifier struct {
	inbound *proxy.Inbound
	lookup  lookup
	log     *slog.Logger
	wake    chan struct{} // buffered; receives when a server is held back

	mu         sync.Mutex // also held while servers are passed to inbound, so that their events stay in order
	unverified localserver.Unverified
}

func newVerifier(inbound *proxy.Inbound, lookup lookup, log *slog.Logger) *verifier {
	return &verifier{inbound: inbound, lookup: lookup, log: log, wake: make(chan struct{}, 1)}
}

// Heartbeat processes a heartbeat of a server. An error means that it is not accepted.
func (v *verifier) Heartbeat(heartbeat proxy.Heartbeat, now time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.inbound.Known(heartbeat.ID) {
		if !v.inbound.Heartbeat(heartbeat, now) {
			return errIncarnationEnded
		}
		return nil
	}
	if !v.unverified.HoldHeartbeat(heartbeat) {
		return errTooManyUnverified
	}
	v.signal()
	return nil
}

// Adopt adds a server that is registered for this machine, unless it is known already.
func (v *verifier) Adopt(registered proxy.Heartbeat) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.inbound.Known(registered.ID) && v.unverified.HoldRegistered(registered) {
		v.signal()
	}
}

// Unregistered drops a server that was to be adopted, because the registry has removed it.
func (v *verifier) Unregistered(member string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unverified.DropRegistered(member)
}

// Deregister removes a server at its own request.
func (v *verifier) Deregister(member string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unverified.Drop(member)
	v.inbound.Deregister(member)
}

func (v *verifier) signal() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// run looks up the servers that are held back until ctx is done.
func (v *verifier) run(ctx context.Context) {
	for ctx.Err() == nil {
		members := v.held()
		if len(members) == 0 {
			select {
			case <-v.wake:
			case <-ctx.Done():
			}
			continue
		}
		lookupCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
		found, ok := v.lookup(lookupCtx, members)
		cancel()
		if !ok {
			timerpool.Sleep(ctx, lookupRetryPause)
			continue
		}
		v.release(members, found, time.Now())
	}
}

func (v *verifier) held() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unverified.IDs()
}

// release passes servers on according to their recorded departures.
func (v *verifier) release(members []string, found []*wire.Departure, now time.Time) {
	phases := map[string]wire.Departure_Phase{}
	for _, d := range found {
		phases[d.Member] = d.Phase
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, member := range members {
		if phase := phases[member]; phase != wire.Departure_NONE {
			v.log.Warn("server.departed_earlier", "member", member, "phase", phase.String())
		}
		switch server, verdict := v.unverified.Release(member, phases[member]); verdict {
		case localserver.Departed:
			v.inbound.Deregister(member)
		case localserver.Adoptable:
			v.inbound.Adopt(server, now)
		case localserver.HeartbeatOK:
			v.inbound.Heartbeat(server, now)
		case localserver.Dropped:
		}
	}
}
