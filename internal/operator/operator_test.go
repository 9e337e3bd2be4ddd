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

const text = `revision = 4
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

func file(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadAndDiff(t *testing.T) {
	body, a, err := Load(file(t, "a.toml", text))
	if err != nil {
		t.Fatal(err)
	}
	if _, packed, err := Load(file(t, "a.msgpack", string(body))); err != nil || len(Diff(a, packed)) != 0 {
		t.Errorf("packed and read again: %v", err)
	}
	_, b, err := Load(file(t, "b.toml", strings.NewReplacer("= 4", "= 5", "1000", "900", `"/a/"`, `"/b/"`).Replace(text)))
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Join(Diff(a, b), "\n")
	for _, want := range []string{"revision: 4, then 5", "route h.example/a/: removed", "route h.example/b/: added"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q lacks %q", got, want)
		}
	}
	for name, broken := range map[string]string{"x.toml": "revision = ", "y.yaml": "revision: [", "z.msgpack": "\xc1", "w.toml": "revision = 1\n[[route_table]]\nname=\"q\"\n"} {
		if _, _, err := Load(file(t, name, broken)); err == nil {
			t.Errorf("%s was read", name)
		}
	}
}

// TestApplyRetriesUntilDefinite: the first machine is busy, the second is not
// the leader, and the leader takes it.
func TestApplyRetriesUntilDefinite(t *testing.T) {
	body, _, err := Load(file(t, "a.toml", text))
	if err != nil {
		t.Fatal(err)
	}
	var taken []byte
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Base-Revision") != "3" {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		taken, _ = io.ReadAll(r.Body)
	}))
	defer leader.Close()
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }))
	defer busy.Close()
	follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, leader.URL+r.URL.Path, http.StatusTemporaryRedirect)
	}))
	defer follower.Close()
	c := &Client{Addresses: []string{busy.Listener.Addr().String(), follower.Listener.Addr().String()}}
	if err := c.Apply(context.Background(), 3, body); err != nil || string(taken) != string(body) {
		t.Errorf("%v, %d bytes taken of %d", err, len(taken), len(body))
	}
	if err := c.Apply(context.Background(), 2, body); !errors.Is(err, ErrStale) || !strings.Contains(err.Error(), "another version") {
		t.Errorf("a stale base: %v", err)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := c.Apply(ended, 3, body); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("given up before an answer: %v", err)
	}
}
