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

// mesh runs a complete mesh on the loopback range. Each machine has its own address
// and all use the same ports.
type mesh struct {
	t       testing.TB
	ports   [5]int // nodes, control, outbound, readiness, server
	dir     string
	ca      *identity.Authority // nil if connections use no TLS
	running sync.WaitGroup
}

// freePorts returns ports that are free on the first address.
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
	s, err := nodefile.Parse(m.settingsText(n, class, bootstrap))
	if err != nil {
		m.t.Fatal(err)
	}
	return s
}

// settingsText returns the content of a machine's settings file.
func (m *mesh) settingsText(n int, class nodefile.Class, bootstrap bool) string {
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
	return text
}

func (m *mesh) issue(role identity.Role, name string) identity.Files {
	m.t.Helper()
	f, err := m.ca.Issue(identity.Name{Role: role, Name: name}, time.Hour, m.dir)
	if err != nil {
		m.t.Fatal(err)
	}
	return f
}

// operator returns a client of the quorum with a certificate of the given role.
func (m *mesh) operator(role identity.Role) *operator.Client {
	client := &operator.Client{}
	for n := 1; n <= 3; n++ {
		client.Addresses = append(client.Addresses, fmt.Sprintf("127.7.0.%d:%d", n, m.ports[1]))
	}
	if m.ca == nil {
		return client
	}
	source, err := identity.Open(m.issue(role, "caller-"+string(role)), slog.New(slog.DiscardHandler))
	if err != nil {
		m.t.Fatal(err)
	}
	return client.WithIdentity(source)
}

// start runs a program in the background. stop ends it and waits until it has returned.
func (m *mesh) start(run func(context.Context, *nodefile.Settings, func() *nodefile.Settings, *slog.Logger) error, s *nodefile.Settings) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	m.running.Go(func() {
		defer close(done)
		noReload := func() *nodefile.Settings { <-ctx.Done(); return nil }
		if err := run(ctx, s, noReload, slog.New(slog.DiscardHandler)); err != nil {
			m.t.Errorf("%s: %v", s.Node, err)
		}
	})
	return func() { cancel(); <-done }
}

func (m *mesh) waitFor(condition string, holds func() bool) {
	m.t.Helper()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	m.t.Fatalf("timed out waiting for %s", condition)
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

// TestWholeMesh checks that acknowledged configurations survive the loss of a quorum
// member's disk, the loss of a quorum member's machine, and a restore from a backup.
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
	client := m.operator(identity.Operator)
	ctx := context.Background()
	first := config(t, 3, "/one/")
	m.waitFor("the first configuration", func() bool { return client.Apply(ctx, 0, first) == nil })
	if ca != nil {
		node := m.operator(identity.Node)
		if err := node.Apply(ctx, 3, config(t, 4, "/x/")); err == nil || !strings.Contains(err.Error(), "a certificate of an operator is needed") {
			t.Errorf("applying a configuration with a node's certificate: %v", err)
		}
		if all, errs := node.Status(ctx); len(all) != 3 {
			t.Errorf("reading the status with a node's certificate: %v", errs)
		}
	}
	if err := client.Apply(ctx, 0, first); err != nil {
		t.Errorf("applying the same configuration again: %v", err)
	}
	if err := client.Apply(ctx, 0, config(t, 4, "/x/")); err == nil {
		t.Error("a configuration with a stale base revision was accepted")
	}

	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Seal", "seal")
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		io.WriteString(w, r.URL.Path)
	}))
	defer app.Close()
	sidecar := m.settings(9, nodefile.SidecarMachine, true)
	stops[9] = m.start(Run, sidecar)
	get := func(path string) int {
		req, _ := http.NewRequest("GET", "http://"+sidecar.Outbound+path, nil)
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
	heartbeat, _ := msgpack.Marshal(map[string]any{"backend": "s", "address": strings.TrimPrefix(app.URL, "http://"), "zone": "z",
		"slots": 4, "status": "in_service", "call_seq": 1})
	heartbeatCtx, stopHeartbeats := context.WithCancel(ctx)
	defer stopHeartbeats()
	m.running.Go(func() {
		for heartbeatCtx.Err() == nil {
			if resp, err := http.Post("http://"+sidecar.Control+"/members/i-1/heartbeat", "application/msgpack", bytes.NewReader(heartbeat)); err == nil {
				resp.Body.Close()
			}
			select {
			case <-time.After(50 * time.Millisecond):
			case <-heartbeatCtx.Done():
			}
		}
	})
	m.waitFor("a ready node", func() bool {
		resp, err := http.Get("http://" + sidecar.Readiness + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
	m.waitFor("a served request", func() bool { return get("/one/x") == 200 })
	for n := range client.Addresses { // a call may reach any quorum member
		single := *client
		single.Addresses = client.Addresses[n : n+1]
		m.waitFor("a quorum member that lists the node", func() bool { all, err := single.Nodes(ctx); return err == nil && all.Queried > 0 })
	}
	if all, err := client.Nodes(ctx); err != nil || all.Queried != 1 || all.Unresponsive != 0 || len(all.Nodes) != 1 || all.Nodes[0].Served == 0 ||
		len(all.Nodes[0].Services) != 1 || len(all.Nodes[0].Servers) != 1 || all.Nodes[0].Servers[0].Server != "i-1" {
		t.Errorf("the status of the nodes is %+v, %v", all, err)
	}
	requestTrace, err := client.Trace(ctx, "a")
	var last []server.NodeTrace // the last two records belong to the served request
	if len(requestTrace.Parts) > 1 {
		last = requestTrace.Parts[len(requestTrace.Parts)-2:]
	}
	if err != nil || requestTrace.Queried != 1 || requestTrace.Unresponsive != 0 || len(last) != 2 || !last[0].Entry || last[0].Route != "r" || last[0].Status != 200 ||
		last[0].Attempts != 1 || last[1].Entry || last[1].Server != "i-1" || last[1].Status != 200 || last[1].AgoMs > last[0].AgoMs {
		t.Errorf("the trace of a request is %+v, %v", requestTrace, err)
	}

	second := config(t, 7, "/two/")
	m.waitFor("a second configuration", func() bool { return client.Apply(ctx, 3, second) == nil })
	m.waitFor("the routes of the second configuration on the node", func() bool { return get("/two/x") == 200 })
	if got := get("/one/x"); got != 404 {
		t.Errorf("the old route responds with %d after its removal, want 404", got)
	}
	replacedIdentity := ""
	all, _ := client.Status(ctx)
	for _, s := range all {
		for _, p := range s.Members {
			if strings.HasPrefix(p.Address, "127.7.0.2:") {
				replacedIdentity = p.Identity
			}
		}
	}
	stops[2]()
	replacement := m.settings(2, nodefile.QuorumMachine, false)
	replacement.DataDir = filepath.Join(m.dir, "empty")
	stops[2] = m.start(server.Run, replacement)
	read := func() []byte {
		body, _, err := client.Read(ctx)
		if err != nil {
			return nil
		}
		return body
	}
	m.waitFor("the configuration after a lost disk", func() bool { return bytes.Equal(read(), second) })
	// A further loss is tolerated only once the replacement has become a voter instead of the lost member.
	m.waitFor("a quorum of three voters, one of them new", func() bool {
		all, _ := client.Status(ctx)
		for _, s := range all {
			voters, old := 0, false
			for _, p := range s.Members {
				if p.Voter {
					voters++
				}
				old = old || p.Identity == replacedIdentity
			}
			if s.IsLeader {
				return voters == 3 && !old && len(s.Servers) == 1
			}
		}
		return false
	})
	third := config(t, 9, "/three/")
	m.waitFor("a third configuration", func() bool { return client.Apply(ctx, 7, third) == nil })
	// The two remaining voters, one of them the replacement, form a majority without member 1.
	stops[1]()
	delete(stops, 1)
	m.waitFor("the configuration after the loss of a machine", func() bool { return bytes.Equal(read(), third) })
	m.waitFor("the routes of the third configuration on the node", func() bool { return get("/three/x") == 200 })

	// All quorum members lose their data after a backup and one later change, and are restored from the backup.
	backup, err := client.Backup(ctx)
	if err != nil || backup.State.Revision() != 9 || len(backup.State.Servers()) != 1 {
		t.Fatalf("taking a backup: %v, %v", backup, err)
	}
	m.waitFor("a fourth configuration", func() bool { return client.Apply(ctx, 9, config(t, 11, "/four/")) == nil })
	m.waitFor("the routes of the fourth configuration on the node", func() bool { return get("/four/x") == 200 })
	for n := 2; n <= 3; n++ {
		stops[n]()
		delete(stops, n)
	}
	for n := 1; n <= 3; n++ {
		set := m.settings(n, nodefile.QuorumMachine, false)
		set.DataDir = filepath.Join(m.dir, fmt.Sprint("restored", n))
		if n == 1 {
			if err := backup.Restore(set.DataDir, set.Internal(), set.Control, rand.New(rand.NewPCG(1, 1))); err != nil {
				t.Fatal(err)
			}
		}
		stops[n] = m.start(server.Run, set)
	}
	m.waitFor("the configuration of the backup", func() bool { return bytes.Equal(read(), third) })
	m.waitFor("the routes of the backup on a node that kept running", func() bool { return get("/three/x") == 200 && get("/four/x") == 404 })
	m.waitFor("a configuration change after the restore", func() bool { return client.Apply(ctx, 9, config(t, 12, "/five/")) == nil })
	m.waitFor("the routes of the fifth configuration on the node", func() bool { return get("/five/x") == 200 })
}

// BenchmarkChanges measures successive configuration changes on a quorum of three on
// loopback. Each is acknowledged once it is on the disks of a majority.
func BenchmarkChanges(b *testing.B) {
	m := &mesh{t: b, ports: freePorts(b), dir: b.TempDir()}
	defer m.running.Wait()
	client := &operator.Client{}
	for n := 1; n <= 3; n++ {
		defer m.start(server.Run, m.settings(n, nodefile.QuorumMachine, true))()
		client.Addresses = append(client.Addresses, fmt.Sprintf("127.7.0.%d:%d", n, m.ports[1]))
	}
	ctx := context.Background()
	m.waitFor("the first configuration", func() bool { return client.Apply(ctx, 0, config(b, 1, "/a/")) == nil })
	revision := 1
	for b.Loop() {
		if err := client.Apply(ctx, uint64(revision), config(b, revision+1, "/a/")); err != nil {
			b.Fatal(err)
		}
		revision++
	}
}
