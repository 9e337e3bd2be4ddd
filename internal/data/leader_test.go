package data

import (
	"context"
	"log/slog"
	"testing"

	"ivydeck/internal/gossip"
	"ivydeck/internal/nodefile"
	"ivydeck/internal/rpc"
	"ivydeck/internal/wire"
)

// TestSilentCoreMachinesAreNotWaitedFor: the first that is asked says nothing, the second names the leader, which
// answers while the first is still silent.
func TestSilentCoreMachinesAreNotWaitedFor(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := &Node{log: slog.New(slog.DiscardHandler), pool: rpc.NewPool(ctx)}
	set := (&mesh{t: t, dir: t.TempDir(), ports: [5]int{1, 2, 3, 4, 5}}).settings(9, nodefile.Sidecar, true)
	n.set.Store(set)
	n.gossip = gossip.New(&wire.Member{Name: "n9", Address: set.Internal()}, 1, n.pool, set.SeedNodes, n.log)
	seeds := set.SeedNodes()
	asked := make(chan string, mostAsked)
	silence := make(chan struct{})
	answer, ok := atLeader(ctx, n, func(ctx context.Context, address string) (string, bool, string) {
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
	n.workers.Wait()
	if !ok || answer != seeds[2] || len(asked) != 3 {
		t.Errorf("answered by %q, %v, after %d questions; the leader is %s", answer, ok, len(asked), seeds[2])
	}
	if n.leader != seeds[2] {
		t.Errorf("the next call would go to %q", n.leader)
	}
	if _, ok := atLeader(ctx, n, func(context.Context, string) (struct{}, bool, string) { return struct{}{}, false, "" }); ok || n.leader != "" {
		t.Errorf("nobody is the leader: %v, %q", ok, n.leader)
	}
}
