package agent

import (
	"context"
	"log/slog"
	"testing"

	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/transport/rpc"
)

// newAgent returns an agent with three seeds, without running it.
func newAgent(ctx context.Context) (a *Agent, seeds []string) {
	settings := &nodefile.Settings{Node: "n9", Class: nodefile.SidecarMachine, IP: "127.7.0.9", Zone: "z", Ports: [2]int{1, 1},
		Seeds: []string{"127.7.0.1:2", "127.7.0.2:2", "127.7.0.3:2"}}
	a = New(Options{
		Settings: func() *nodefile.Settings { return settings }, Pool: rpc.NewPool(ctx, rpc.PoolOptions{}), Seed: 1, Log: slog.New(slog.DiscardHandler),
		Servers: func() []localserver.Heartbeat { return nil }, Draining: func() bool { return false },
	})
	return a, settings.SeedNodes()
}

// TestUnresponsiveQuorumMembersAreSkipped guards against waiting for a quorum member that does not respond: the second member
// returns the leader's address, and the leader responds while the first call is still blocked.
func TestUnresponsiveQuorumMembersAreSkipped(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, seeds := newAgent(ctx)
	called := make(chan string, maxLeaderCalls)
	unblock := make(chan struct{})
	response, ok := callLeader(ctx, a, func(ctx context.Context, address string) (string, bool, string) {
		called <- address
		switch address {
		case seeds[0]:
			<-unblock
			return "", false, ""
		case seeds[1]:
			return "", false, seeds[2]
		}
		return address, true, ""
	})
	close(unblock)
	a.workers.Wait()
	if !ok || response != seeds[2] || len(called) != 3 {
		t.Errorf("response from %q, ok %v, after %d calls; want 3 calls and a response from %s", response, ok, len(called), seeds[2])
	}
	if a.leader != seeds[2] {
		t.Errorf("the recorded leader is %q, want the one that responded", a.leader)
	}
	if _, ok := callLeader(ctx, a, func(context.Context, string) (struct{}, bool, string) { return struct{}{}, false, "" }); ok || a.leader != "" {
		t.Errorf("without a leader: ok %v, recorded leader %q", ok, a.leader)
	}
}
