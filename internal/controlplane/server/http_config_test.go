package server

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/transport/rpc"
)

// newSingleMember starts the only member of a quorum, with its store in a temporary directory.
func newSingleMember(t *testing.T) *Server {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	disk, err := store.Open(t.TempDir(), rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	srv := &Server{
		log: slog.New(slog.DiscardHandler), startedAt: time.Now(), events: make(chan func(), 64), uploads: newUploads(), ctx: ctx,
		replica: newReplica(disk, rpc.NewPool(ctx, rpc.PoolOptions{})), pool: rpc.NewPool(ctx, rpc.PoolOptions{}), hub: relay.NewHub(func() time.Duration { return 0 }),
	}
	const address = "127.0.0.1:1"
	srv.settings.Store(&nodefile.Settings{Node: "n", Control: address, Seeds: []string{address}, Bootstrap: true, IP: "127.0.0.1", Ports: [2]int{2, 3}})
	if err := srv.restore(1); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); srv.loop(ctx.Done()) }()
	t.Cleanup(func() { cancel(); <-done; disk.Close() })
	return srv
}

// encodeConfig returns the encoded configuration with a revision and one backend.
func encodeConfig(t *testing.T, revision uint64, service string) string {
	t.Helper()
	body, err := msgpack.Marshal(&meshconfig.Config{Revision: revision, Backends: []meshconfig.Backend{{Name: service}}})
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// TestOperatorHTTPStatuses checks the HTTP status of each result over a TCP connection.
func TestOperatorHTTPStatuses(t *testing.T) {
	server := httptest.NewServer(newSingleMember(t).routes())
	defer server.Close()
	first, second := encodeConfig(t, 3, "a"), encodeConfig(t, 5, "a")
	for _, c := range []struct {
		name, method, path, base, body string
		status                         int
		want                           string // substring of the body
	}{
		{"no configuration", "GET", readPath, "", "", http.StatusNotFound, ""},
		{"missing base revision", "POST", replacePath, "", first, http.StatusBadRequest, "Base-Revision"},
		{"truncated body", "POST", replacePath, "0", first[:7], http.StatusBadRequest, "not readable"},
		{"too large", "POST", replacePath, "0", strings.Repeat("x", meshconfig.MaxBytes+1), http.StatusRequestEntityTooLarge, "larger than 8388608 bytes"},
		{"nested value, cut short", "POST", replacePath, "0", "\x81\xa2zz" + strings.Repeat("\x91", 4_000_000), http.StatusBadRequest, "nested more than 1000 levels"},
		{"announced count", "POST", replacePath, "0", "\x81\xadbackend_table\xdd\xff\xff\xff\xff", http.StatusBadRequest, "the data ends within a value"},
		{"first change", "POST", replacePath, "0", first, http.StatusOK, ""},
		{"read first change", "GET", readPath, "", "", http.StatusOK, first},
		{"first change resent", "POST", replacePath, "0", first, http.StatusOK, "already"},
		{"stale base revision", "POST", replacePath, "0", second, http.StatusPreconditionFailed, ""},
		{"revision not increased", "POST", replacePath, "3", encodeConfig(t, 3, "b"), http.StatusBadRequest, "not above"},
		{"second change", "POST", replacePath, "3", second, http.StatusOK, ""},
		{"first change resent after the second", "POST", replacePath, "0", first, http.StatusOK, "already"},
		{"read second change", "GET", readPath, "", "", http.StatusOK, second},
		{"backup", "GET", backupPath, "", "", http.StatusOK, "ivydeck backup"},
	} {
		request, err := http.NewRequest(c.method, server.URL+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		if c.base != "" {
			request.Header.Set("Base-Revision", c.base)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != c.status || !strings.Contains(string(body), c.want) {
			t.Errorf("%s: status %d, body %.80q, error %v; want status %d, body containing %.40q", c.name, response.StatusCode, body, err, c.status, c.want)
		}
	}
}

// TestSlowBody checks that a body that arrives too slowly returns 408, which operators retry, and not 400,
// which they don't.
func TestSlowBody(t *testing.T) {
	server := httptest.NewUnstartedServer(newSingleMember(t).routes())
	server.Config.ReadTimeout = 50 * time.Millisecond
	server.Start()
	defer server.Close()
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	io.WriteString(connection, "POST "+replacePath+" HTTP/1.1\r\nHost: h\r\nBase-Revision: 0\r\nContent-Length: 9\r\n\r\nhalf")
	answer, err := io.ReadAll(io.LimitReader(connection, 12))
	if err != nil || string(answer) != "HTTP/1.1 408" {
		t.Errorf("status line = %q, error %v; want HTTP/1.1 408", answer, err)
	}
}

// TestChangeSizeIsBounded checks that a call beyond maxConcurrentReplaces returns 503, and that calls release their
// slot.
func TestChangeSizeIsBounded(t *testing.T) {
	srv := newSingleMember(t)
	post := func() int {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, replacePath, strings.NewReader(encodeConfig(t, 3, "a")))
		r.Header.Set("Base-Revision", "0")
		srv.routes().ServeHTTP(w, r)
		return w.Code
	}
	if !srv.uploads.slots.TryAcquire(maxConcurrentReplaces) {
		t.Fatal("slots are in use before the first call")
	}
	if status := post(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d with all slots in use, want 503", status)
	}
	srv.uploads.slots.Release(1)
	if status, free := post(), srv.uploads.slots.TryAcquire(1); status != http.StatusOK || !free || srv.uploads.slots.TryAcquire(1) {
		t.Errorf("status %d with one free slot, want 200; free afterwards: %t, want one", status, free)
	}
}

// TestStaleChangeIsNotProposed guards against rejected configurations that fill the log, and with it the memory of all members:
// each of several operators that replace the same revision added its whole configuration.
func TestStaleChangeIsNotProposed(t *testing.T) {
	srv := newSingleMember(t)
	handler := srv.routes()
	post := func(base, body string) int {
		r := httptest.NewRequest(http.MethodPost, replacePath, strings.NewReader(body))
		r.Header.Set("Base-Revision", base)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w.Code
	}
	committed := func() uint64 {
		index, err := callInLoop(t.Context(), srv, func() uint64 { return srv.consensus.Committed() })
		if err != nil {
			t.Fatal(err)
		}
		return index
	}
	if status := post("0", encodeConfig(t, 3, "a")); status != http.StatusOK {
		t.Fatalf("first change: status %d, want 200", status)
	}
	before := committed()
	for _, base := range []string{"0", "2"} {
		if status := post(base, encodeConfig(t, 4, "b")); status != http.StatusPreconditionFailed {
			t.Errorf("a change of revision %s: status %d, want 412", base, status)
		}
	}
	if after := committed(); after != before {
		t.Errorf("stale changes added %d entries to the log, want none", after-before)
	}
	if status := post("3", encodeConfig(t, 4, "b")); status != http.StatusOK || committed() != before+1 {
		t.Errorf("a change of the current revision: status %d, %d more entries; want 200 and 1", status, committed()-before)
	}
}
