package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/controlplane/server"
	"ivydeck/internal/operator"
	"ivydeck/internal/transport/identity"
)

// mesh is a whole one on the loopback range: each machine has an address of its
// own there, and ports are alike on all.
type mesh struct {
	t       testing.TB
	ports   [5]int // nodes, control, outbound, readiness, server
	dir     string
	ca      *identity.Authority // nil: nobody shows who it is
	running sync.WaitGroup
}

// freePorts finds ports that are free on all addresses used.
func freePorts(t testing.TB) (ports [5]int) {
	for i := range ports {
		l, err := net.Listen("tcp", "127.7.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports
}

func (m *mesh) settings(n int, class nodefile.Class, bootstrap bool) *nodefile.Settings {
	m.t.Helper()
	ip := fmt.Sprint("127.7.0.", n)
	text := fmt.Sprintf(`node_name=n%d
machine_class=%s
ip_address=%s
zone=z
listeners.control_plane=%s:%d
listeners.outbound=%s:%d
listeners.readiness=%s:%d
app_address=%s:%d
backend=s
internal_ports=%d
bootstrap=%v
data_dir=%s
heartbeat_ms=200
bounds.grace_s=4
trace.keep=64
access.part=0.5
seed_nodes=127.7.0.1:%d,127.7.0.2:%d,127.7.0.3:%d
`, n, class, ip, ip, m.ports[1], ip, m.ports[2], ip, m.ports[3], ip, m.ports[4], m.ports[0], bootstrap,
		filepath.Join(m.dir, fmt.Sprint(n)), m.ports[1], m.ports[1], m.ports[1])
	if m.ca != nil {
		role := identity.Node
		if class == nodefile.QuorumMachine {
			role = identity.QuorumMember
		}
		f := m.issue(role, fmt.Sprint("n", n))
		text += fmt.Sprintf("tls.cert=%s\ntls.key=%s\ntls.bundle=%s\ntls.operator=true\n", f.Cert, f.Key, f.Bundle)
	}
	s, err := nodefile.Parse(text)
	if err != nil {
		m.t.Fatal(err)
	}
	return s
}

func (m *mesh) issue(role identity.Role, name string) identity.Files {
	m.t.Helper()
	f, err := m.ca.Issue(identity.Name{Role: role, Name: name}, time.Hour, m.dir)
	if err != nil {
		m.t.Fatal(err)
	}
	return f
}

// operator returns what calls the core as an operator, or with another role as one who is none.
func (m *mesh) operator(role identity.Role) *operator.Client {
	core := &operator.Client{}
	for n := 1; n <= 3; n++ {
		core.Addresses = append(core.Addresses, fmt.Sprintf("127.7.0.%d:%d", n, m.ports[1]))
	}
	if m.ca == nil {
		return core
	}
	source, err := identity.Open(m.issue(role, "caller-"+string(role)), slog.New(slog.DiscardHandler))
	if err != nil {
		m.t.Fatal(err)
	}
	return core.With(source)
}

// start runs a program until stop is called, which waits for its end.
func (m *mesh) start(run func(context.Context, *nodefile.Settings, func() *nodefile.Settings, *slog.Logger) error, s *nodefile.Settings) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	m.running.Go(func() {
		defer close(done)
		never := func() *nodefile.Settings { <-ctx.Done(); return nil }
		if err := run(ctx, s, never, slog.New(slog.DiscardHandler)); err != nil {
			m.t.Errorf("%s: %v", s.Node, err)
		}
	})
	return func() { cancel(); <-done }
}

func (m *mesh) until(what string, f func() bool) {
	m.t.Helper()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	m.t.Fatalf("waited for too long: %s", what)
}

func config(t testing.TB, revision int, prefix string) []byte {
	t.Helper()
	body, err := msgpack.Marshal(map[string]any{"revision": revision, "backend_table": []map[string]any{{"name": "s"}},
		"route_table": []map[string]any{{"name": "r", "hostname": "h", "path_prefix": prefix, "route_type": "idempotent",
			"timeout_ms": 20000, "target_latency_ms": 5000, "priority": 0, "backend": "s", "max_attempts": 2}}})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestWholeMesh starts three quorum members and one sidecar, serves a request, loses
// the disk of one quorum member and then the leader, and finds all that was acknowledged.
func TestWholeMesh(t *testing.T) {
	t.Run("plain", func(t *testing.T) { wholeMesh(t, nil) })
	t.Run("secured", func(t *testing.T) {
		ca, err := identity.NewAuthority(t.TempDir(), 2*time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		wholeMesh(t, ca)
	})
}

func wholeMesh(t *testing.T, ca *identity.Authority) {
	m := &mesh{t: t, ports: freePorts(t), dir: t.TempDir(), ca: ca}
	stops := map[int]func(){}
	defer m.running.Wait()
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	for n := 1; n <= 3; n++ {
		stops[n] = m.start(server.Run, m.settings(n, nodefile.QuorumMachine, true))
	}
	core := m.operator(identity.Operator)
	ctx := context.Background()
	first := config(t, 3, "/one/")
	m.until("the first configuration", func() bool { return core.Apply(ctx, 0, first) == nil })
	if ca != nil {
		node := m.operator(identity.Node)
		if err := node.Apply(ctx, 3, config(t, 4, "/x/")); err == nil || !strings.Contains(err.Error(), "a certificate of an operator is needed") {
			t.Errorf("a node changes the configuration: %v", err)
		}
		if all, errs := node.Status(ctx); len(all) != 3 {
			t.Errorf("a node can't ask who is there: %v", errs)
		}
	}
	if err := core.Apply(ctx, 0, first); err != nil {
		t.Errorf("the same again: %v", err)
	}
	if err := core.Apply(ctx, 0, config(t, 4, "/x/")); err == nil {
		t.Error("a stale base was taken")
	}

	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Seal", "seal")
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		io.WriteString(w, r.URL.Path)
	}))
	defer app.Close()
	side := m.settings(9, nodefile.SidecarMachine, true)
	stops[9] = m.start(Run, side)
	get := func(path string) int {
		req, _ := http.NewRequest("GET", "http://"+side.Outbound+path, nil)
		req.Host = "h"
		req.Header.Set("Attempt-Id", "a")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	beat, _ := msgpack.Marshal(map[string]any{"backend": "s", "address": strings.TrimPrefix(app.URL, "http://"), "zone": "z",
		"slots": 4, "status": "in_service", "call_seq": 1})
	beats, stopBeats := context.WithCancel(ctx)
	defer stopBeats()
	m.running.Go(func() {
		for beats.Err() == nil {
			if resp, err := http.Post("http://"+side.Control+"/members/i-1/heartbeat", "application/msgpack", bytes.NewReader(beat)); err == nil {
				resp.Body.Close()
			}
			select {
			case <-time.After(50 * time.Millisecond):
			case <-beats.Done():
			}
		}
	})
	m.until("a ready node", func() bool {
		resp, err := http.Get("http://" + side.Readiness + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
	m.until("a served request", func() bool { return get("/one/x") == 200 })
	for n := range core.Addresses { // calls may be answered by any of them
		one := *core
		one.Addresses = core.Addresses[n : n+1]
		m.until("a quorum member that knows of the node", func() bool { all, err := one.Nodes(ctx); return err == nil && all.Queried > 0 })
	}
	if all, err := core.Nodes(ctx); err != nil || all.Queried != 1 || all.Unresponsive != 0 || len(all.Nodes) != 1 || all.Nodes[0].Served == 0 ||
		len(all.Nodes[0].Services) != 1 || len(all.Nodes[0].Servers) != 1 || all.Nodes[0].Servers[0].Server != "i-1" {
		t.Errorf("the nodes see %+v, %v", all, err)
	}
	way, err := core.Trace(ctx, "a")
	var last []server.NodeTrace // of the served one
	if len(way.Parts) > 1 {
		last = way.Parts[len(way.Parts)-2:]
	}
	if err != nil || way.Queried != 1 || way.Unresponsive != 0 || len(last) != 2 || !last[0].Entry || last[0].Route != "r" || last[0].Status != 200 ||
		last[0].Attempts != 1 || last[1].Entry || last[1].Server != "i-1" || last[1].Status != 200 || last[1].AgoMs > last[0].AgoMs {
		t.Errorf("the way of a request is %+v, %v", way, err)
	}

	second := config(t, 7, "/two/")
	m.until("a second configuration", func() bool { return core.Apply(ctx, 3, second) == nil })
	m.until("its routes on the node", func() bool { return get("/two/x") == 200 })
	if got := get("/one/x"); got != 404 {
		t.Errorf("the old route answers %d beside the new one", got)
	}
	before := ""
	all, _ := core.Status(ctx)
	for _, s := range all {
		for _, p := range s.Members {
			if strings.HasPrefix(p.Address, "127.7.0.2:") {
				before = p.Identity
			}
		}
	}
	stops[2]()
	lost := m.settings(2, nodefile.QuorumMachine, false)
	lost.DataDir = filepath.Join(m.dir, "empty")
	stops[2] = m.start(server.Run, lost)
	read := func() []byte {
		body, _, err := core.Read(ctx)
		if err != nil {
			return nil
		}
		return body
	}
	m.until("the configuration after a lost disk", func() bool { return bytes.Equal(read(), second) })
	// While the lost one is still a member, a further loss is more than is to be borne.
	m.until("a core of three voters, one of them new", func() bool {
		all, _ := core.Status(ctx)
		for _, s := range all {
			voters, old := 0, false
			for _, p := range s.Members {
				if p.Voter {
					voters++
				}
				old = old || p.Identity == before
			}
			if s.IsLeader {
				return voters == 3 && !old && len(s.Servers) == 1
			}
		}
		return false
	})
	third := config(t, 9, "/three/")
	m.until("a third configuration", func() bool { return core.Apply(ctx, 7, third) == nil })
	// Whoever leads goes: the two that are left are enough once the new member votes.
	stops[1]()
	delete(stops, 1)
	m.until("the configuration after the loss of a machine", func() bool { return bytes.Equal(read(), third) })
	m.until("its routes on the node", func() bool { return get("/three/x") == 200 })

	// All that the core has is lost but a backup, and a change that came after it.
	kept, err := core.Backup(ctx)
	if err != nil || kept.State.Revision() != 9 || len(kept.State.Servers()) != 1 {
		t.Fatalf("a backup: %v, %v", kept, err)
	}
	m.until("a fourth configuration", func() bool { return core.Apply(ctx, 9, config(t, 11, "/four/")) == nil })
	m.until("its routes on the node", func() bool { return get("/four/x") == 200 })
	for n := 2; n <= 3; n++ {
		stops[n]()
		delete(stops, n)
	}
	for n := 1; n <= 3; n++ {
		set := m.settings(n, nodefile.QuorumMachine, false)
		set.DataDir = filepath.Join(m.dir, fmt.Sprint("restored", n))
		if n == 1 {
			if err := kept.Restore(set.DataDir, set.Internal(), set.Control, rand.New(rand.NewPCG(1, 1))); err != nil {
				t.Fatal(err)
			}
		}
		stops[n] = m.start(server.Run, set)
	}
	m.until("the configuration of the backup", func() bool { return bytes.Equal(read(), third) })
	m.until("its routes on a node that has outlived the core", func() bool { return get("/three/x") == 200 && get("/four/x") == 404 })
	m.until("a change on top of it", func() bool { return core.Apply(ctx, 9, config(t, 12, "/five/")) == nil })
	m.until("its routes on the node", func() bool { return get("/five/x") == 200 })
}

// BenchmarkChanges measures configurations that are acknowledged one after another by
// a core of three on loopback, each on the disks of a majority.
func BenchmarkChanges(b *testing.B) {
	m := &mesh{t: b, ports: freePorts(b), dir: b.TempDir()}
	defer m.running.Wait()
	core := &operator.Client{}
	for n := 1; n <= 3; n++ {
		defer m.start(server.Run, m.settings(n, nodefile.QuorumMachine, true))()
		core.Addresses = append(core.Addresses, fmt.Sprintf("127.7.0.%d:%d", n, m.ports[1]))
	}
	ctx := context.Background()
	m.until("the first configuration", func() bool { return core.Apply(ctx, 0, config(b, 1, "/a/")) == nil })
	revision := 1
	for b.Loop() {
		if err := core.Apply(ctx, uint64(revision), config(b, revision+1, "/a/")); err != nil {
			b.Fatal(err)
		}
		revision++
	}
}
