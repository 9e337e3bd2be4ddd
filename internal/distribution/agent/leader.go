package agent

import (
	"context"
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	callTimeout      = time.Second            // timeout of a single call
	hedgeDelay       = 120 * time.Millisecond // time without a response after which the next quorum member is called as well
	leaderRetryPause = 100 * time.Millisecond // pause after a round of calls that found no leader
	maxLeaderCalls   = 6                      // maximum number of calls in a round
)

// quorumAddresses returns the addresses of the quorum members and the seeds, the last known leader first, and those without
// a connection last.
func (a *Agent) quorumAddresses() []string {
	var list, others []string
	a.leaderMu.Lock()
	if a.leader != "" {
		list = append(list, a.leader)
	}
	a.leaderMu.Unlock()
	for _, m := range a.Gossip.Members() {
		if m.QuorumMember {
			others = append(others, m.Address)
		}
	}
	others = append(others, a.seeds()...)
	var unconnected []string
	for _, address := range others {
		if a.Pool.IsConnected(address) {
			list = append(list, address)
		} else {
			unconnected = append(unconnected, address)
		}
	}
	return append(list, unconnected...)
}

func (a *Agent) setLeader(address string) {
	a.leaderMu.Lock()
	a.leader = address
	a.leaderMu.Unlock()
}

// callLeader calls quorum members until one of them is the leader, and records the leader's address. send calls one address.
// It returns done if the leader handled the call, and otherwise the leader's address if the response contained it.
func callLeader[T any](ctx context.Context, a *Agent, send func(ctx context.Context, address string) (response T, done bool, leader string)) (response T, ok bool) {
	response, leader := callQuorum(ctx, a, send)
	if leader != "" || ctx.Err() == nil {
		a.setLeader(leader)
	}
	return response, leader != ""
}

// callQuorum calls quorum members until one of them has handled the call, and returns that member's address, or "" if none has.
// send calls one address. It returns done if the member handled the call, and otherwise the address of the member to call next,
// if the response contained one. If a member does not respond within hedgeDelay, the next one is called as well: after a power
// failure, some machines start long before others.
func callQuorum[T any](ctx context.Context, a *Agent, send func(ctx context.Context, address string) (response T, done bool, next string)) (response T, handledBy string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type reply struct {
		address, next string
		response      T
		done          bool
	}
	pending, called, inFlight := a.quorumAddresses(), map[string]bool{}, 0
	replies := make(chan reply, maxLeaderCalls)
	callNext := func() {
		for len(pending) > 0 && len(called) < maxLeaderCalls {
			address := pending[0]
			if pending = pending[1:]; called[address] {
				continue
			}
			called[address] = true
			inFlight++
			a.workers.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				r := reply{address: address}
				r.response, r.done, r.next = send(callCtx, address)
				replies <- r
			})
			return
		}
	}
	callNext()
	for inFlight > 0 {
		timer := time.NewTimer(hedgeDelay)
		select {
		case r := <-replies:
			inFlight--
			if r.done {
				timer.Stop()
				return r.response, r.address
			}
			if r.next != "" && !called[r.next] {
				pending = slices.Insert(pending, 0, r.next)
			}
			callNext()
		case <-timer.C:
			callNext()
		case <-ctx.Done():
			timer.Stop()
			return response, ""
		}
		timer.Stop()
	}
	return response, ""
}

// LatestIndex queries the leader for the index of the latest update. ok is false if no leader responded.
func (a *Agent) LatestIndex(ctx context.Context) (index uint64, ok bool) {
	return callLeader(ctx, a, func(ctx context.Context, address string) (uint64, bool, string) {
		response := new(wire.LatestResponse)
		if err := a.Pool.Call(ctx, address, "latest", &wire.Empty{}, response); err != nil {
			return 0, false, ""
		}
		return response.Index, response.Known, response.Leader
	})
}
