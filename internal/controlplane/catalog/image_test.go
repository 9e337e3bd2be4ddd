package catalog

import (
	"bytes"
	"fmt"
	"testing"

	"ivydeck/internal/transport/wire"
)

// TestImageIsImmutable while the state that it was taken of goes on: servers come, change and go, and configurations
// are accepted.
func TestImageIsImmutable(t *testing.T) {
	c := New()
	apply := func(cmd *wire.Command) {
		t.Helper()
		if _, err := c.Apply(cmd); err != nil {
			t.Fatal(err)
		}
	}
	server := func(name, node string) *wire.Command {
		return &wire.Command{Change: &wire.Command_Server{Server: &wire.Server{Member: name, Service: "s", Node: node}}}
	}
	remove := func(names ...string) *wire.Command {
		return &wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: names}}}
	}
	if data, err := c.Image().Encode(); err != nil {
		t.Fatal(err)
	} else if empty, err := Decode(data); err != nil || empty.Index() != 0 {
		t.Errorf("the state before all updates comes back at %d, %v", empty.Index(), err)
	}
	for revision := uint64(1); revision <= 40; revision++ {
		apply(put(revision-1, config(t, revision, nil)))
		apply(server(fmt.Sprint("m", revision), "n"))
		apply(server("m1", fmt.Sprint("n", revision)))
		if revision%5 == 0 {
			apply(remove(fmt.Sprint("m", revision)))
		}
		want, err := c.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		image := c.Image()
		apply(server("m1", "elsewhere"))
		apply(server(fmt.Sprint("later", revision), "n"))
		apply(remove(fmt.Sprint("m", revision-1)))
		if got, err := image.Encode(); err != nil || !bytes.Equal(got, want) {
			t.Fatalf("revision %d: the image has changed with the state: %d bytes, not %d, %v", revision, len(got), len(want), err)
		}
	}
}

// routesOf8MB make a configuration of 8 MB.
const routesOf8MB = 27000

// BenchmarkImage is what a snapshot costs in the loop that sends heartbeats.
func BenchmarkImage(b *testing.B) {
	c := large(b, routesOf8MB)
	for b.Loop() {
		c.Image()
	}
}

// BenchmarkSnapshot is what it cost there when the state was encoded in the loop.
func BenchmarkSnapshot(b *testing.B) {
	c := large(b, routesOf8MB)
	for b.Loop() {
		if _, err := c.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(c.body)), "config-bytes")
}

// BenchmarkRestore is what a follower's loop would wait for, and a goroutine of its own does.
func BenchmarkRestore(b *testing.B) {
	data, err := large(b, routesOf8MB).Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
