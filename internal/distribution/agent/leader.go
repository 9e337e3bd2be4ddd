package agent

import (
	"context"
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	callTimeout      = time.Second
	hedgeDelay       = 120 * time.Millisecond // without an answer from one quorum member, the next is called as well
	leaderRetryPause = 100 * time.Millisecond // after a round of calls that has found no leader
	maxLeaderCalls   = 6
)

// quorumAddresses returns the addresses of quorum members, the leader first, and those without a connection last.
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
		if a.Pool.Up(address) {
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

// callLeader makes a call to the leader, and finds the leader if it has changed: f makes the call at an address and returns
// whether that was the leader, and otherwise the leader's address if the answer named it. A member that does not answer
// within hedgeDelay is not waited for before the next is called: after a loss of all power, some machines are up long
// before others.
func callLeader[T any](ctx context.Context, a *Agent, f func(ctx context.Context, address string) (answer T, done bool, leader string)) (answer T, ok bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type reply struct {
		address, leader string
		answer          T
		done            bool
	}
	todo, called, open := a.quorumAddresses(), map[string]bool{}, 0
	replies := make(chan reply, maxLeaderCalls)
	next := func() {
		for len(todo) > 0 && len(called) < maxLeaderCalls {
			address := todo[0]
			if todo = todo[1:]; called[address] {
				continue
			}
			called[address] = true
			open++
			a.workers.Go(func() {
				call, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				r := reply{address: address}
				r.answer, r.done, r.leader = f(call, address)
				replies <- r
			})
			return
		}
	}
	next()
	for open > 0 {
		timer := time.NewTimer(hedgeDelay)
		select {
		case r := <-replies:
			open--
			if r.done {
				timer.Stop()
				a.setLeader(r.address)
				return r.answer, true
			}
			if r.leader != "" && !called[r.leader] {
				todo = slices.Insert(todo, 0, r.leader)
			}
			next()
		case <-timer.C:
			next()
		case <-ctx.Done():
			timer.Stop()
			return answer, false
		}
		timer.Stop()
	}
	a.setLeader("")
	return answer, false
}

// LatestIndex asks the leader for the index of the latest update; ok is false if no leader has answered.
func (a *Agent) LatestIndex(ctx context.Context) (index uint64, ok bool) {
	return callLeader(ctx, a, func(ctx context.Context, address string) (uint64, bool, string) {
		answer := new(wire.LatestResponse)
		if err := a.Pool.Call(ctx, address, "latest", &wire.Empty{}, answer); err != nil {
			return 0, false, ""
		}
		return answer.Index, answer.Known, answer.Leader
	})
}
