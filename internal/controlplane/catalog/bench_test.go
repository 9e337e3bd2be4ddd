package catalog

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// largeBody is a configuration of some routes, each to a service of its own, of which a revision changes one.
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

// large is a state of 28,000 servers and some routes.
func large(b *testing.B, routes int) *Catalog {
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

// BenchmarkOneChange measures what one change of one route costs in each place, beside 28,000 servers.
func BenchmarkOneChange(b *testing.B) {
	for _, routes := range []int{10, 400, 2000} {
		c := large(b, routes)
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
		name := func(what string) string { return fmt.Sprintf("%s/%d", what, routes) }
		b.Run(name("propose"), func(b *testing.B) { // at the leader, of the operator's body
			for b.Loop() {
				config, _ := before.Parse(body)
				before.Command(1, config, body)
			}
			b.ReportMetric(float64(proto.Size(cmd)), "log-bytes")
			b.ReportMetric(float64(len(body)), "body-bytes")
		})
		b.Run(name("apply"), func(b *testing.B) { // at each quorum member, of the log's entry
			for b.Loop() {
				again := &Catalog{view: NewView(), body: before.Body, config: before.Config}
				if _, err := again.Apply(cmd); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(name("encode"), func(b *testing.B) { // at each relay, once for all its children
			for b.Loop() {
				if _, err := proto.Marshal(c.view.Changes(c.Index() - 1)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(feed)), "feed-bytes")
		})
		node.Config()
		b.Run(name("node"), func(b *testing.B) { // at each node: decode, apply, patch the configuration
			index := node.Index()
			for b.Loop() {
				got := new(wire.Changes)
				if err := proto.Unmarshal(feed, got); err != nil {
					b.Fatal(err)
				}
				got.From, got.To = index, index+1
				for _, r := range got.Resources {
					r.Index = got.To
				}
				if !node.Apply(got) {
					b.Fatal("not applied")
				}
				node.Config()
				index++
			}
		})
	}
}
