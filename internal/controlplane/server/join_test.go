package server

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

// eventLog is a slog.Handler that passes log records to the test.
type eventLog struct {
	slog.Handler
	events chan slog.Record
}

// Enabled implements slog.Handler.
func (eventLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l eventLog) Handle(_ context.Context, r slog.Record) error {
	select {
	case l.events <- r.Clone():
	default: // drop the record if the buffer is full
	}
	return nil
}

// waitFor waits for an event with the given name and matching attributes. The test fails after a minute without one.
func (l eventLog) waitFor(t *testing.T, name string, matches func(attrs map[string]slog.Value) bool) {
	t.Helper()
	timeout := time.After(time.Minute)
	for {
		select {
		case r := <-l.events:
			attrs := map[string]slog.Value{}
			r.Attrs(func(a slog.Attr) bool { attrs[a.Key] = a.Value; return true })
			if r.Message == name && matches(attrs) {
				return
			}
		case <-timeout:
			t.Fatalf("event %s was not logged within a minute", name)
		}
	}
}

// testQuorum runs several members in the test process.
type testQuorum struct {
	t        *testing.T
	settings []*nodefile.Settings
}

// newTestQuorum returns a quorum of the given number of members, none of which is started.
func newTestQuorum(t *testing.T, members int) *testQuorum {
	q := &testQuorum{t: t}
	subnet := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	var ports [2]int
	for i := range ports {
		l, err := net.Listen("tcp", subnet+".1:0")
		if err != nil {
			t.Fatal(err)
		}
		ports[i] = l.Addr().(*net.TCPAddr).Port
		defer l.Close()
	}
	seed := fmt.Sprintf("%s.1:%d", subnet, ports[1])
	for i := range members {
		ip := fmt.Sprintf("%s.%d", subnet, i+1)
		q.settings = append(q.settings, &nodefile.Settings{
			Node: fmt.Sprint("member-", i), IP: ip, Zone: "z", Control: fmt.Sprintf("%s:%d", ip, ports[1]), Ports: [2]int{ports[0], ports[0]},
			Seeds: []string{seed}, Bootstrap: i == 0, QuorumMember: true, DataDir: t.TempDir(), HeartbeatInterval: time.Second,
		})
	}
	return q
}

// start runs member i until the returned function is called.
func (q *testQuorum) start(i int) (eventLog, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	log := eventLog{slog.DiscardHandler, make(chan slog.Record, 4096)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := Run(ctx, q.settings[i], func() *nodefile.Settings { <-ctx.Done(); return nil }, slog.New(log)); err != nil {
			q.t.Errorf("member %d: %v", i, err)
		}
	}()
	stop := sync.OnceFunc(func() { cancel(); <-done })
	q.t.Cleanup(stop)
	return log, stop
}

// register registers the servers with numbers in [from, to). It sends proposals to the first member, and then to the
// leader named in responses.
func (q *testQuorum) register(from, to int) {
	ctx, cancel := context.WithTimeout(q.t.Context(), time.Minute)
	defer cancel()
	pool := rpc.NewPool(ctx, rpc.PoolOptions{})
	var leader atomic.Pointer[string]
	first := q.settings[0].Internal()
	leader.Store(&first)
	var workers sync.WaitGroup
	next := make(chan int)
	for range 64 {
		workers.Go(func() {
			for i := range next {
				server := &wire.Server{Member: fmt.Sprintf("server-%d", i), Service: "some-service", Node: fmt.Sprintf("node-%d", i), Address: "10.0.0.1:80"}
				propose := &wire.ProposeRequest{Command: &wire.Command{Change: &wire.Command_Server{Server: server}}}
				for answer := new(wire.ProposeResponse); !answer.Committed && ctx.Err() == nil; {
					answer = new(wire.ProposeResponse)
					pool.Call(ctx, *leader.Load(), "propose", propose, answer)
					if answer.Leader != "" {
						leader.Store(&answer.Leader)
					}
				}
			}
		})
	}
	for i := from; i < to; i++ {
		next <- i
	}
	close(next)
	workers.Wait()
	if ctx.Err() != nil {
		q.t.Fatal("the servers were not registered within a minute")
	}
}

// TestEmptyMemberCatchesUp checks that a member joining after thousands of changes installs a snapshot sent in chunks,
// is promoted, compacts its log, and restarts from its disk.
func TestEmptyMemberCatchesUp(t *testing.T) {
	q := newTestQuorum(t, 2)
	leader, _ := q.start(0)
	leader.waitFor(t, "leadership.acquired", func(map[string]slog.Value) bool { return true })
	q.register(0, 6000)
	joining, stopJoining := q.start(1)
	var index uint64
	joining.waitFor(t, "snapshot.installed", func(attrs map[string]slog.Value) bool {
		index = attrs["index"].Uint64()
		return index > 1 && attrs["bytes"].Uint64() > 2*chunkBytes
	})
	leader.waitFor(t, string(raft.MemberPromoted), func(map[string]slog.Value) bool { return true })
	q.register(6000, 12000)
	joining.waitFor(t, "snapshot.created", func(attrs map[string]slog.Value) bool { // contains the installed state and later changes
		return attrs["bytes"].Int64() > 8*chunkBytes
	})
	stopJoining()
	stored, err := store.Inspect(q.settings[1].DataDir)
	if err != nil {
		t.Fatal(err)
	}
	if stored.Snapshot.GetIndex() < index || len(stored.Snapshot.Data) < 2*chunkBytes {
		t.Errorf("snapshot on disk has index %d and %d bytes; the installed one had index %d", stored.Snapshot.GetIndex(), len(stored.Snapshot.Data), index)
	}
	if leftovers, err := filepath.Glob(filepath.Join(q.settings[1].DataDir, "log", "incoming-*")); err != nil || len(leftovers) > 0 {
		t.Errorf("incoming chunks were not removed: %v", leftovers)
	}
	restarted, _ := q.start(1)
	restarted.waitFor(t, "control.started", func(attrs map[string]slog.Value) bool { return !attrs["empty"].Bool() })
}
