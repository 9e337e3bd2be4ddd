package catalog

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// largeBody returns the encoding of a configuration in which each route has its own backend. The revision selects the route
// with a different timeout.
func largeBody(b *testing.B, routes int, revision uint64) []byte {
	c := meshconfig.Config{Revision: revision}
	for i := range routes {
		name := fmt.Sprint("s", i)
		c.Backends = append(c.Backends, meshconfig.Backend{Name: name, Health: "/health", MaxConns: 100, Protocol: "h1"})
		r := &meshconfig.Route{Name: fmt.Sprint("route-", i), Host: fmt.Sprintf("host%d.example", i%50), Prefix: fmt.Sprintf("/some/path%d/", i),
			Kind: meshconfig.Idempotent, TimeoutMs: 1000, TargetLatencyMs: 200, Priority: i % 3, Backend: name, MaxAttempts: 2}
		if uint64(i) == revision%uint64(routes) {
			r.TimeoutMs += float64(revision)
		}
		c.Routes = append(c.Routes, r)
	}
	body, err := msgpack.Marshal(&c)
	if err != nil {
		b.Fatal(err)
	}
	return body
}

// largeCatalog returns a catalog with 28,000 servers and the given number of routes.
func largeCatalog(b *testing.B, routes int) *Catalog {
	b.Helper()
	c := New()
	for i := range 28000 {
		s := &wire.Server{Member: fmt.Sprintf("i-%08x", i*7919), Service: fmt.Sprint("s", i%routes), Node: fmt.Sprint("node-", i), Address: "10.1.2.3:7380", Zone: "zone-a", Slots: 12, ProtocolVersion: 1}
		c.Apply(&wire.Command{Change: &wire.Command_Server{Server: s}})
	}
	if _, err := c.Apply(put(0, largeBody(b, routes, 1))); err != nil {
		b.Fatal(err)
	}
	return c
}

// BenchmarkOneChange measures each step of the change of one route, in a state with 28,000 servers.
func BenchmarkOneChange(b *testing.B) {
	for _, routes := range []int{10, 400, 2000} {
		c := largeCatalog(b, routes)
		body := largeBody(b, routes, 2)
		before := c.Current()
		config, err := before.Parse(body)
		if err != nil {
			b.Fatal(err)
		}
		cmd := before.Command(1, config, body)
		node := NewView()
		node.Apply(c.FullChanges())
		changes, err := c.Apply(cmd)
		if err != nil {
			b.Fatal(err)
		}
		feed, err := proto.Marshal(changes)
		if err != nil {
			b.Fatal(err)
		}
		name := func(step string) string { return fmt.Sprintf("%s/%d", step, routes) }
		b.Run(name("propose"), func(b *testing.B) { // on the leader: parse the operator's body, encode the command
			for b.Loop() {
				config, _ := before.Parse(body)
				before.Command(1, config, body)
			}
			b.ReportMetric(float64(proto.Size(cmd)), "log-bytes")
			b.ReportMetric(float64(len(body)), "body-bytes")
		})
		b.Run(name("apply"), func(b *testing.B) { // on each quorum member: apply the log entry
			for b.Loop() {
				replica := &Catalog{view: NewView(), body: before.Body, config: before.Config}
				if _, err := replica.Apply(cmd); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(name("encode"), func(b *testing.B) { // on each relay, once for all its children
			for b.Loop() {
				if _, err := proto.Marshal(c.view.Changes(c.Index() - 1)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(feed)), "feed-bytes")
		})
		node.Config()
		b.Run(name("node"), func(b *testing.B) { // on each node: decode, apply, patch the configuration
			index := node.Index()
			for b.Loop() {
				received := new(wire.Changes)
				if err := proto.Unmarshal(feed, received); err != nil {
					b.Fatal(err)
				}
				received.From, received.To = index, index+1
				for _, r := range received.Resources {
					r.Index = received.To
				}
				if !node.Apply(received) {
					b.Fatal("changes were not applied")
				}
				node.Config()
				index++
			}
		})
	}
}
