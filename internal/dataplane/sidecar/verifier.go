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
	requestTimeout = time.Second            // a longer request is repeated, with the servers that have come since
	retryPause     = 100 * time.Millisecond // pause after a request without an answer
)

// Errors of verifier.Heartbeat.
var (
	errIncarnationEnded  = errors.New("this incarnation has ended")
	errTooManyUnverified = errors.New("too many servers wait for verification")
)

// departureLog records departures at a majority of the quorum, and looks them up there. agent.Agent implements it.
type departureLog interface {
	RecordDepartures(ctx context.Context, departures ...*wire.Departure) bool
	FindDepartures(ctx context.Context, members []string) (found []*wire.Departure, ok bool)
}

// verifier holds back the servers that this process does not know until a majority of the quorum has answered that they have
// not deregistered: see localserver.Unverified. It records the servers that others have replaced, so that a late heartbeat of
// one does not end its successor in a later process. Its methods are safe for concurrent use.
type verifier struct {
	inbound    *proxy.Inbound
	departures departureLog
	log        *slog.Logger
	wake       chan struct{} // buffered; receives when there is work for run

	mu         sync.Mutex // also held while servers are passed to inbound, so that their events stay in order
	unverified localserver.Unverified
}

func newVerifier(inbound *proxy.Inbound, departures departureLog, log *slog.Logger) *verifier {
	return &verifier{inbound: inbound, departures: departures, log: log, wake: make(chan struct{}, 1)}
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

// run looks up the servers that are held back and records those that were replaced, until ctx is done.
func (v *verifier) run(ctx context.Context) {
	var replaced []string
	for ctx.Err() == nil {
		members := v.held()
		replaced = append(replaced, v.inbound.TakeReplaced()...)
		if len(members) == 0 && len(replaced) == 0 {
			select {
			case <-v.wake:
			case <-ctx.Done():
			}
			continue
		}
		verified, recorded := v.verify(ctx, members), v.recordReplaced(ctx, replaced)
		if recorded {
			replaced = nil
		}
		if !verified || !recorded {
			timerpool.Sleep(ctx, retryPause)
		}
	}
}

// verify looks up servers and passes them on. It returns false if the lookup failed.
func (v *verifier) verify(ctx context.Context, members []string) bool {
	if len(members) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	found, ok := v.departures.FindDepartures(ctx, members)
	if ok {
		v.release(members, found, time.Now())
	}
	return ok
}

// recordReplaced records that servers have ended. It returns false if that failed.
func (v *verifier) recordReplaced(ctx context.Context, members []string) bool {
	if len(members) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var departures []*wire.Departure
	for _, member := range members {
		departures = append(departures, &wire.Departure{Member: member, Phase: wire.Departure_DEREGISTERED})
	}
	if !v.departures.RecordDepartures(ctx, departures...) {
		return false
	}
	v.log.Info("server.replacement_recorded", "members", members)
	return true
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
	v.signal() // servers may have been replaced
}
