package operator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const configText = `revision = 4
backend_table = [{ name = "s", health_path = "/health", max_connections = 9 }]
[[route_table]]
name = "r"
hostname = "h.example"
path_prefix = "/a/"
route_type = "idempotent"
timeout_ms = 1000
priority = 1
backend = "s"
`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadAndDiff(t *testing.T) {
	body, a, err := Load(writeFile(t, "a.toml", configText))
	if err != nil {
		t.Fatal(err)
	}
	if _, encoded, err := Load(writeFile(t, "a.msgpack", string(body))); err != nil || len(Diff(a, encoded)) != 0 {
		t.Errorf("loading the encoded configuration: error %v, want none and no differences", err)
	}
	_, b, err := Load(writeFile(t, "b.toml", strings.NewReplacer("= 4", "= 5", "1000", "900", `"/a/"`, `"/b/"`).Replace(configText)))
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Join(Diff(a, b), "\n")
	for _, want := range []string{"revision: 4, then 5", "route h.example/a/: removed", "route h.example/b/: added"} {
		if !strings.Contains(got, want) {
			t.Errorf("the differences %q lack %q", got, want)
		}
	}
	for name, broken := range map[string]string{"x.toml": "revision = ", "y.yaml": "revision: [", "z.msgpack": "\xc1", "w.toml": "revision = 1\n[[route_table]]\nname=\"q\"\n"} {
		if _, _, err := Load(writeFile(t, name, broken)); err == nil {
			t.Errorf("Load accepted the invalid file %s", name)
		}
	}
}

// TestApplyRetriesUntilDefinite checks that Apply tries the next member after a 503 and follows the redirect of a follower to
// the leader.
func TestApplyRetriesUntilDefinite(t *testing.T) {
	body, _, err := Load(writeFile(t, "a.toml", configText))
	if err != nil {
		t.Fatal(err)
	}
	var received []byte
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Base-Revision") != "3" {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		received, _ = io.ReadAll(r.Body)
	}))
	defer leader.Close()
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }))
	defer busy.Close()
	follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, leader.URL+r.URL.Path, http.StatusTemporaryRedirect)
	}))
	defer follower.Close()
	c := &Client{Addresses: []string{busy.Listener.Addr().String(), follower.Listener.Addr().String()}}
	if err := c.Apply(context.Background(), 3, body); err != nil || string(received) != string(body) {
		t.Errorf("Apply returned %v, and the leader received %d of %d bytes", err, len(received), len(body))
	}
	if err := c.Apply(context.Background(), 2, body); !errors.Is(err, ErrStale) || !strings.Contains(err.Error(), "another version") {
		t.Errorf("Apply with a stale base revision: error %v, want ErrStale", err)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := c.Apply(ended, 3, body); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("Apply with a cancelled context: error %v, want ErrOutcomeUnknown", err)
	}
}
