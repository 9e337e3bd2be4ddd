package sidecar

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ivydeck/internal/dataplane/proxy"
)

// encodeHeartbeat returns a valid heartbeat with one more field, whose encoded value is raw.
func encodeHeartbeat(t *testing.T, raw string) string {
	t.Helper()
	const placeholder = "placeholder"
	body, err := msgpack.Marshal(map[string]any{
		"backend": "shop", "address": "127.0.0.1:80", "zone": "z", "revision": "v1", "slots": 4, "status": "in_service", "warmup_left_ms": 2.5, "call_seq": 7, "zz": placeholder,
	})
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := msgpack.Marshal(placeholder)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Replace(string(body), string(encoded), raw, 1)
}

// TestHeartbeatCostIsBounded guards against heartbeats that take a node over its memory: each one announced a string of a
// megabyte, or nested a value as deep as its size allowed, and the node decodes as many at once as it has connections.
func TestHeartbeatCostIsBounded(t *testing.T) {
	const maxCost = 32 << 10 // bytes, of a heartbeat of up to 4 KiB
	for name, c := range map[string]struct{ body, want string }{
		"nested":           {encodeHeartbeat(t, strings.Repeat("\x91", 3500)), "nested more than 1000 levels"},
		"nested maps":      {encodeHeartbeat(t, strings.Repeat("\x81\xa0", 1700)), "nested more than 1000 levels"},
		"announced array":  {encodeHeartbeat(t, "\xdd\xff\xff\xff\xff"), "the data ends within a value"},
		"announced string": {"\x81\xa4zone\xdb\x7f\xff\xff\xff", "the data ends within a value"},
	} {
		const calls = 1000
		errs := make(chan error, calls)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range calls { // at once, each with a stack of its own
			go func() {
				_, err := readHeartbeat([]byte(c.body))
				errs <- err
			}()
		}
		for range calls {
			if err := <-errs; err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("%s: error %v, want one with %q", name, err, c.want)
			}
		}
		runtime.ReadMemStats(&after)
		if cost := (after.TotalAlloc - before.TotalAlloc + after.StackInuse - min(before.StackInuse, after.StackInuse)) / calls; cost > maxCost {
			t.Errorf("%s: a heartbeat of %d bytes took %d bytes, want at most %d", name, len(c.body), cost, maxCost)
		}
	}
}

// TestHeartbeatBoundsAreNamed checks the status and text of the answers to heartbeats that exceed a bound.
func TestHeartbeatBoundsAreNamed(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		status int
		want   string
	}{
		"too large": {encodeHeartbeat(t, "\xda\x20\x00"+strings.Repeat("x", 0x2000)), http.StatusRequestEntityTooLarge, "larger than 4096 bytes"},
		"nested":    {encodeHeartbeat(t, strings.Repeat("\x91", 2000)), http.StatusBadRequest, "nested more than 1000 levels"},
	} {
		w := httptest.NewRecorder()
		new(Node).serveHeartbeat(w, httptest.NewRequest(http.MethodPost, "/members/i-1/heartbeat", strings.NewReader(c.body)))
		if w.Code != c.status || !strings.Contains(w.Body.String(), c.want) {
			t.Errorf("%s: status %d, %q; want status %d and %q", name, w.Code, w.Body, c.status, c.want)
		}
	}
}

// TestHeartbeatIsRead checks a heartbeat with an unknown field of some depth.
func TestHeartbeatIsRead(t *testing.T) {
	got, err := readHeartbeat([]byte(encodeHeartbeat(t, strings.Repeat("\x91", 900)+"\xc0")))
	want := proxy.Heartbeat{Service: "shop", Address: "127.0.0.1:80", Zone: "z", Slots: 4, Seq: 7, WarmupLeft: 2_500_000}
	if err != nil || got != want {
		t.Errorf("%+v, error %v; want %+v", got, err, want)
	}
}
