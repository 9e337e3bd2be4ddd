package catalog

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// manyRoutes returns the encoding of a configuration of 400 routes, one of which has the given timeout.
func manyRoutes(t *testing.T, revision uint64, timeout float64) []byte {
	t.Helper()
	c := meshconfig.Config{Revision: revision, Backends: []meshconfig.Backend{{Name: "s"}}}
	for i := range 400 {
		r := &meshconfig.Route{Name: fmt.Sprint("r", i), Host: "h.example", Prefix: fmt.Sprintf("/%d/", i), Kind: meshconfig.NonIdempotent, TimeoutMs: 1000, Backend: "s"}
		if i == 200 {
			r.TimeoutMs = timeout
		}
		c.Routes = append(c.Routes, r)
	}
	body, err := msgpack.Marshal(&c)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func command(t *testing.T, current Current, base uint64, body []byte) *wire.Command {
	t.Helper()
	config, err := current.Parse(body)
	if err != nil {
		t.Fatal(err)
	}
	return current.Command(base, config, body)
}

// TestCommandsAreDeltas checks that a command holds a delta, that replicas rebuild the same body from it, and that deltas
// are accepted or rejected like whole bodies.
func TestCommandsAreDeltas(t *testing.T) {
	c, replica := New(), New()
	apply := func(cmd *wire.Command) (bool, error) {
		t.Helper()
		changes, err := c.Apply(cmd)
		other, otherErr := replica.Apply(cmd)
		if !proto.Equal(changes, other) || fmt.Sprint(err) != fmt.Sprint(otherErr) || !bytes.Equal(c.Body(), replica.Body()) {
			t.Fatalf("replicas differ: %v and %v", err, otherErr)
		}
		return changes != nil, err
	}
	first := manyRoutes(t, 3, 1000)
	if accepted, err := apply(command(t, c.Current(), 0, first)); !accepted || err != nil {
		t.Fatal(err)
	}
	before := c.Current()
	second := manyRoutes(t, 5, 2000)
	cmd := command(t, before, 3, second)
	if size := proto.Size(cmd); size > 200 || cmd.GetConfig().Body != nil {
		t.Errorf("command for one changed route has %d bytes, the body has %d", size, len(second))
	}
	if accepted, err := apply(cmd); !accepted || err != nil || !bytes.Equal(c.Body(), second) || c.Revision() != 5 {
		t.Fatalf("second change: error %v, revision %d, want revision 5", err, c.Revision())
	}
	if accepted, err := apply(cmd); accepted || err != nil {
		t.Errorf("resent delta: accepted %v, error %v; want neither", accepted, err)
	}
	if accepted, err := apply(command(t, c.Current(), 3, second)); accepted || err != nil {
		t.Errorf("resent as a whole body: accepted %v, error %v; want neither", accepted, err)
	}
	if accepted, err := apply(command(t, before, 3, manyRoutes(t, 6, 3000))); accepted || !errors.Is(err, ErrStale) {
		t.Errorf("another change on a stale base: accepted %v, error %v; want ErrStale", accepted, err)
	}
	if accepted, err := apply(command(t, c.Current(), 5, manyRoutes(t, 4, 3000))); accepted || !errors.Is(err, ErrInvalid) {
		t.Errorf("old revision: accepted %v, error %v; want ErrInvalid", accepted, err)
	}
	wrong := command(t, c.Current(), 5, manyRoutes(t, 8, 3000))
	wrong.GetConfig().Hash[0]++
	if accepted, err := apply(wrong); accepted || !errors.Is(err, ErrStale) || !bytes.Equal(c.Body(), second) {
		t.Errorf("delta for another body: accepted %v, error %v; want ErrStale and an unchanged body", accepted, err)
	}
	if accepted, err := apply(command(t, c.Current(), 5, manyRoutes(t, 8, 3000))); !accepted || err != nil {
		t.Errorf("valid change after rejected ones: accepted %v, %v", accepted, err)
	}
}

// TestNestedConfigurationStaysReadable guards against a bound on nested values that makes a quorum unable to read what an
// earlier version has accepted: the log, a snapshot, and the same configuration sent again.
func TestNestedConfigurationStaysReadable(t *testing.T) {
	const depth = 800_000
	nested := func(revision uint64) []byte {
		marker := []byte("\xa1x")
		body := encodeConfig(t, revision, func(c map[string]any) { c["zz"] = "x" })
		return bytes.Replace(body, append([]byte("\xa2zz"), marker...), []byte("\xa2zz"+strings.Repeat("\x91", depth)+"\xc0"), 1)
	}
	c, body := New(), nested(3)
	if changes, err := c.Apply(put(0, body)); changes == nil || err != nil {
		t.Fatalf("a committed configuration: error %v", err)
	}
	snapshot, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Decode(snapshot)
	if err != nil || !bytes.Equal(restored.Body(), body) {
		t.Fatalf("the restored state: error %v, body of %d bytes, want %d", err, len(restored.Body()), len(body))
	}
	if config, err := restored.Current().Parse(body); err != nil || config.Revision != 3 {
		t.Errorf("the same configuration sent again: error %v", err)
	}
	if _, err := restored.Current().Parse(nested(5)); err == nil || !strings.Contains(err.Error(), "nested more than 1000 levels") {
		t.Errorf("a new configuration: error %v, want one that names the bound", err)
	}
}
