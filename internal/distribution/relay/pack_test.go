package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// TestPackedChanges guards against changes that differ after pack and unpack, and against large ones that are not compressed.
func TestPackedChanges(t *testing.T) {
	for _, servers := range []int{1, 10, 1000} {
		changes := &wire.Changes{To: 9}
		for i := range servers {
			changes.Resources = append(changes.Resources, &wire.Resource{Index: 9, Value: &wire.Resource_Server{Server: &wire.Server{
				Member: fmt.Sprint("i-", i*7919), Service: "shop", Node: fmt.Sprint("node-", i), Address: "10.1.0.1:7380", Zone: "hall-a", Slots: 18}}})
		}
		feed, err := pack(changes)
		if err != nil {
			t.Fatal(err)
		}
		if size, plain := proto.Size(feed), proto.Size(changes); servers == 1000 && size*3 > plain || size > plain+10 {
			t.Errorf("%d servers: the feed has %d bytes, the changes have %d", servers, size, plain)
		}
		if err := unpack(feed); err != nil || !proto.Equal(feed.Changes, changes) {
			t.Errorf("%d servers: the unpacked changes differ, or unpack failed: %v", servers, err)
		}
	}
}

// TestMalformedFeeds guards against packed changes that are accepted although they are corrupt or too large.
func TestMalformedFeeds(t *testing.T) {
	compress := func(data []byte) []byte {
		var b bytes.Buffer
		w, _ := flate.NewWriter(&b, flate.BestSpeed)
		w.Write(data)
		w.Close()
		return b.Bytes()
	}
	for name, packed := range map[string][]byte{
		"not compressed": []byte("plain"), "not a message": compress([]byte{0xff}), "too large": compress(make([]byte, maxUnpacked+1)),
		"truncated": compress(make([]byte, 1000))[:4], "too many elements": compress(bytes.Repeat([]byte{5<<3 | 2, 0}, maxElements+1)),
	} {
		if err := unpack(&wire.Feed{Packed: packed}); !errors.Is(err, errUnpack) {
			t.Errorf("%s: unpack returned %v, want errUnpack", name, err)
		}
	}
}

// TestLargestStateIsUnpacked guards against bounds on feeds that keep a large but valid state from the nodes.
func TestLargestStateIsUnpacked(t *testing.T) {
	const routes, weighted, servers = 100_000, 500_000, 60_000 // the bounds of packages meshconfig and catalog
	changes := &wire.Changes{To: 9, Full: true}
	for i := range servers {
		changes.Resources = append(changes.Resources, &wire.Resource{Index: 9, Value: &wire.Resource_Server{Server: &wire.Server{
			Member: fmt.Sprintf("i-%08x", i*7919), Service: "shop", Node: fmt.Sprint("node-", i), Address: "10.1.0.1:7380", Zone: "hall-a", Slots: 18}}})
	}
	for i := range routes {
		backend := &wire.Backend{Name: fmt.Sprint("service-", i), HealthPath: "/health", Protocol: "h1"}
		route := &wire.Route{Name: fmt.Sprint("r", i), Host: "h.example", Prefix: fmt.Sprintf("/%d/", i), Kind: "idempotent", TimeoutMs: 1000}
		for range weighted / routes {
			route.Backends = append(route.Backends, &wire.WeightedBackend{Backend: backend.Name, Weight: 1})
		}
		changes.Resources = append(changes.Resources, &wire.Resource{Index: 9, Value: &wire.Resource_Backend{Backend: backend}}, &wire.Resource{Index: 9, Value: &wire.Resource_Route{Route: route}})
	}
	feed, err := pack(changes)
	if err != nil {
		t.Fatal(err)
	}
	if err := unpack(feed); err != nil || len(feed.Changes.GetResources()) != len(changes.Resources) {
		t.Errorf("%d of %d resources, error %v", len(feed.Changes.GetResources()), len(changes.Resources), err)
	}
}
