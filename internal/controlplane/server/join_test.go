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

// eventLog hands a process's log events on by name.
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
	default: // nobody waits for so many
	}
	return nil
}

// until waits for an event that a condition holds of.
func (l eventLog) until(t *testing.T, name string, holds func(attrs map[string]slog.Value) bool) {
	t.Helper()
	limit := time.After(time.Minute)
	for {
		select {
		case r := <-l.events:
			attrs := map[string]slog.Value{}
			r.Attrs(func(a slog.Attr) bool { attrs[a.Key] = a.Value; return true })
			if r.Message == name && holds(attrs) {
				return
			}
		case <-limit:
			t.Fatalf("%s is not logged", name)
		}
	}
}

// quorum is a few members in this process.
type quorum struct {
	t        *testing.T
	settings []*nodefile.Settings
}

// newQuorum has as many members as there are numbers, none of which runs.
func newQuorum(t *testing.T, members int) *quorum {
	q := &quorum{t: t}
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

// start runs a member until the returned function is called.
func (q *quorum) start(i int) (eventLog, func()) {
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

// register has the first member, or whom it knows to lead, take servers by their numbers.
func (q *quorum) register(from, to int) {
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
		q.t.Fatal("the servers are not all registered in time")
	}
}

// TestEmptyMemberCatchesUp: a member that joins after thousands of changes gets the state over a stream of its own, in
// pieces, has it on disk with the entries behind it, and starts again from there.
func TestEmptyMemberCatchesUp(t *testing.T) {
	q := newQuorum(t, 2)
	leader, _ := q.start(0)
	leader.until(t, "leadership.acquired", func(map[string]slog.Value) bool { return true })
	q.register(0, 6000)
	joining, stopJoining := q.start(1)
	var index uint64
	joining.until(t, "snapshot.installed", func(attrs map[string]slog.Value) bool {
		index = attrs["index"].Uint64()
		return index > 1 && attrs["bytes"].Uint64() > 2*chunkBytes
	})
	leader.until(t, string(raft.MemberPromoted), func(map[string]slog.Value) bool { return true })
	q.register(6000, 12000)
	joining.until(t, "snapshot.created", func(attrs map[string]slog.Value) bool { // of the state that it was given, and what came since
		return attrs["bytes"].Int64() > 8*chunkBytes
	})
	stopJoining()
	held, err := store.Inspect(q.settings[1].DataDir)
	if err != nil {
		t.Fatal(err)
	}
	if held.Snapshot.GetIndex() < index || len(held.Snapshot.Data) < 2*chunkBytes {
		t.Errorf("the snapshot on disk is at %d, with %d bytes; at %d it was installed", held.Snapshot.GetIndex(), len(held.Snapshot.Data), index)
	}
	if names, err := filepath.Glob(filepath.Join(q.settings[1].DataDir, "log", "incoming-*")); err != nil || len(names) > 0 {
		t.Errorf("pieces are left: %v", names)
	}
	again, _ := q.start(1)
	again.until(t, "control.started", func(attrs map[string]slog.Value) bool { return !attrs["empty"].Bool() })
}
