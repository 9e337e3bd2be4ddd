package catalog

import (
	"bytes"
	"fmt"
	"testing"

	"ivydeck/internal/transport/wire"
)

// TestImageIsImmutable checks that an image encodes the state at its creation, after the catalog has accepted other
// configurations and has added, changed and removed servers.
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
	depart := func(name string, phase wire.Departure_Phase) *wire.Command {
		return &wire.Command{Change: &wire.Command_Departures{Departures: &wire.Departures{Departures: []*wire.Departure{{Member: name, Phase: phase}}}}}
	}
	if data, err := c.Image().Encode(); err != nil {
		t.Fatal(err)
	} else if empty, err := Decode(data); err != nil || empty.Index() != 0 {
		t.Errorf("decoded empty state has index %d, want 0; %v", empty.Index(), err)
	}
	for revision := uint64(1); revision <= 40; revision++ {
		apply(put(revision-1, encodeConfig(t, revision, nil)))
		apply(server(fmt.Sprint("m", revision), "n"))
		apply(server("m1", fmt.Sprint("n", revision)))
		if revision%5 == 0 {
			apply(remove(fmt.Sprint("m", revision)))
			apply(depart(fmt.Sprint("m", revision), wire.Departure_DRAINING))
		}
		want, err := c.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		image := c.Image()
		apply(server("m1", "elsewhere"))
		apply(server(fmt.Sprint("later", revision), "n"))
		apply(remove(fmt.Sprint("m", revision-1)))
		apply(depart(fmt.Sprint("m", revision), wire.Departure_DEREGISTERED))
		if got, err := image.Encode(); err != nil || !bytes.Equal(got, want) {
			t.Fatalf("revision %d: image differs from the state at its creation: %d bytes, want %d; %v", revision, len(got), len(want), err)
		}
	}
}

// routesOf8MB is the number of routes in a configuration of 8 MB.
const routesOf8MB = 27000

// BenchmarkImage measures the part of a snapshot that runs in the server's loop, which also sends heartbeats.
func BenchmarkImage(b *testing.B) {
	c := largeCatalog(b, routesOf8MB)
	for b.Loop() {
		c.Image()
	}
}

// BenchmarkSnapshot measures the encoding of a snapshot, which runs outside the server's loop.
func BenchmarkSnapshot(b *testing.B) {
	c := largeCatalog(b, routesOf8MB)
	for b.Loop() {
		if _, err := c.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(c.body)), "config-bytes")
}

// BenchmarkRestore measures the decoding of a received snapshot, which runs outside a follower's loop.
func BenchmarkRestore(b *testing.B) {
	data, err := largeCatalog(b, routesOf8MB).Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
