package agent

import (
	"context"
	"log/slog"
	"testing"

	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/transport/rpc"
)

// newAgent returns an agent of three seeds that does not run.
func newAgent(ctx context.Context) (a *Agent, seeds []string) {
	set := &nodefile.Settings{Node: "n9", Class: nodefile.SidecarMachine, IP: "127.7.0.9", Zone: "z", Ports: [2]int{1, 1},
		Seeds: []string{"127.7.0.1:2", "127.7.0.2:2", "127.7.0.3:2"}}
	a = New(Options{
		Settings: func() *nodefile.Settings { return set }, Pool: rpc.NewPool(ctx, rpc.PoolOptions{}), Seed: 1, Log: slog.New(slog.DiscardHandler),
		Servers: func() []localserver.Heartbeat { return nil }, Draining: func() bool { return false },
	})
	return a, set.SeedNodes()
}

// TestUnresponsiveQuorumMembersAreSkipped: the first that is asked says nothing, the second names the leader, which
// answers while the first is still silent.
func TestUnresponsiveQuorumMembersAreSkipped(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, seeds := newAgent(ctx)
	asked := make(chan string, maxLeaderCalls)
	silence := make(chan struct{})
	answer, ok := callLeader(ctx, a, func(ctx context.Context, address string) (string, bool, string) {
		asked <- address
		switch address {
		case seeds[0]:
			<-silence
			return "", false, ""
		case seeds[1]:
			return "", false, seeds[2]
		}
		return address, true, ""
	})
	close(silence)
	a.workers.Wait()
	if !ok || answer != seeds[2] || len(asked) != 3 {
		t.Errorf("answered by %q, %v, after %d questions; the leader is %s", answer, ok, len(asked), seeds[2])
	}
	if a.leader != seeds[2] {
		t.Errorf("the next call would go to %q", a.leader)
	}
	if _, ok := callLeader(ctx, a, func(context.Context, string) (struct{}, bool, string) { return struct{}{}, false, "" }); ok || a.leader != "" {
		t.Errorf("nobody is the leader: %v, %q", ok, a.leader)
	}
}
