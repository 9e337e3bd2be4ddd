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

// aloneNode is the one member of a quorum, on a disk in a folder of the test.
func aloneNode(t *testing.T) *Server {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	disk, err := store.Open(t.TempDir(), rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	n := &Server{
		log: slog.New(slog.DiscardHandler), startedAt: time.Now(), events: make(chan func(), 64), replaceSlots: make(chan struct{}, maxReplacing), ctx: ctx,
		replica: newReplica(disk, rpc.NewPool(ctx, rpc.PoolOptions{})), pool: rpc.NewPool(ctx, rpc.PoolOptions{}), hub: relay.NewHub(func() time.Duration { return 0 }),
	}
	const address = "127.0.0.1:1"
	n.settings.Store(&nodefile.Settings{Node: "n", Control: address, Seeds: []string{address}, Bootstrap: true, IP: "127.0.0.1", Ports: [2]int{2, 3}})
	if err := n.restore(1); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { defer close(ended); n.loop(ctx.Done()) }()
	t.Cleanup(func() { cancel(); <-ended; disk.Close() })
	return n
}

func encoded(t *testing.T, revision uint64, service string) string {
	t.Helper()
	body, err := msgpack.Marshal(&meshconfig.Config{Revision: revision, Backends: []meshconfig.Backend{{Name: service}}})
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// TestOperatorHTTPStatuses: the statuses that the results have, over a real connection.
func TestOperatorHTTPStatuses(t *testing.T) {
	server := httptest.NewServer(aloneNode(t).routes())
	defer server.Close()
	first, second := encoded(t, 3, "a"), encoded(t, 5, "a")
	for _, c := range []struct {
		name, method, path, base, body string
		status                         int
		want                           string // in the answer
	}{
		{"nothing yet", "GET", readPath, "", "", http.StatusNotFound, ""},
		{"no base", "POST", replacePath, "", first, http.StatusBadRequest, "Base-Revision"},
		{"cut short", "POST", replacePath, "0", first[:7], http.StatusBadRequest, "not readable"},
		{"too large", "POST", replacePath, "0", strings.Repeat("x", meshconfig.MaxBytes+1), http.StatusRequestEntityTooLarge, ""},
		{"the first", "POST", replacePath, "0", first, http.StatusOK, ""},
		{"read back", "GET", readPath, "", "", http.StatusOK, first},
		{"sent again", "POST", replacePath, "0", first, http.StatusOK, "already"},
		{"a stale base", "POST", replacePath, "0", second, http.StatusPreconditionFailed, ""},
		{"the same number", "POST", replacePath, "3", encoded(t, 3, "b"), http.StatusBadRequest, "not above"},
		{"the second", "POST", replacePath, "3", second, http.StatusOK, ""},
		{"the first once more", "POST", replacePath, "0", first, http.StatusOK, "already"},
		{"read back again", "GET", readPath, "", "", http.StatusOK, second},
		{"a backup", "GET", backupPath, "", "", http.StatusOK, "ivydeck backup"},
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
			t.Errorf("%s: %d, %.80q, %v; want %d with %.40q", c.name, response.StatusCode, body, err, c.status, c.want)
		}
	}
}

// TestSlowBodyIsNotInvalid: an operator's call ends for good on 400. One whose body does not come in time may be sent again.
func TestSlowBodyIsNotInvalid(t *testing.T) {
	server := httptest.NewUnstartedServer(aloneNode(t).routes())
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
		t.Errorf("%q, %v", answer, err)
	}
}

// TestChangeSizeIsBounded: what operators send is held so many times at most; who comes then is told to come again.
func TestChangeSizeIsBounded(t *testing.T) {
	n := aloneNode(t)
	post := func() int {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, replacePath, strings.NewReader(encoded(t, 3, "a")))
		r.Header.Set("Base-Revision", "0")
		n.routes().ServeHTTP(w, r)
		return w.Code
	}
	for range maxReplacing {
		n.replaceSlots <- struct{}{}
	}
	if status := post(); status != http.StatusServiceUnavailable {
		t.Errorf("%d with all places taken", status)
	}
	<-n.replaceSlots
	if status := post(); status != http.StatusOK || len(n.replaceSlots) != maxReplacing-1 {
		t.Errorf("%d with one place left, and %d are taken behind it", status, len(n.replaceSlots))
	}
}
