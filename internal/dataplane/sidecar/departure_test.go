package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/controlplane/server"
	"ivydeck/internal/operator"
	"ivydeck/internal/program"
)

// programVariable makes the test binary run a program of the mesh, so that a test can kill and freeze its process.
const programVariable = "IVYDECK_TEST_PROGRAM"

func TestMain(m *testing.M) {
	switch os.Getenv(programVariable) {
	case string(nodefile.SidecarMachine):
		program.Main("ivydeck-data", "", nodefile.SidecarMachine, Run)
	case string(nodefile.QuorumMachine):
		program.Main("ivydeck-control", "", nodefile.QuorumMachine, server.Run)
	}
	os.Exit(m.Run())
}

const (
	departureDrain = 500 * time.Millisecond
	// departureWatch is the time for which a server that has left is watched for requests, after its drain time.
	departureWatch = 1500 * time.Millisecond
	callTimeout    = time.Second // of a server's call to its node

	leavingNode, entryNode = 8, 9 // machines of the server that leaves and of the clients
)

// processMesh is a mesh of processes: three quorum members and two sidecars, with a server on the leaving node's machine.
type processMesh struct {
	*mesh
	processes map[int]*exec.Cmd
	arrivedAt atomic.Int64 // time of the last request at the server, in ns since startedAt
	startedAt time.Time
}

// startProcess starts the process of a machine. It is killed at the end of the test.
func (m *processMesh) startProcess(n int, class nodefile.Class, bootstrap bool) {
	m.t.Helper()
	// The heartbeat interval is longer than the test, so that a restarted node adopts servers all the time.
	text := strings.Replace(m.settingsText(n, class, bootstrap), "heartbeat_ms=200", "heartbeat_ms=4000", 1) +
		fmt.Sprintf("bounds.drain_ms=%d\nfault_tolerance.machines=1\n", departureDrain.Milliseconds())
	path := filepath.Join(m.dir, fmt.Sprint("settings-", n))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		m.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "--settings", path)
	cmd.Env = append(os.Environ(), programVariable+"="+string(class))
	log, err := os.OpenFile(filepath.Join(m.dir, fmt.Sprint("log-", n)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		m.t.Fatal(err)
	}
	defer log.Close()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		m.t.Fatal(err)
	}
	m.processes[n] = cmd
	m.t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
		if text, err := os.ReadFile(log.Name()); err == nil && m.t.Failed() {
			m.t.Logf("log of machine %d: %s", n, text)
		}
	})
}

func (m *processMesh) kill(n int) {
	m.processes[n].Process.Kill()
	m.processes[n].Wait()
}

// call sends a call of server i-1 to the leaving node, and returns the status of the response, or 0 if there is none.
func (m *processMesh) call(action, status string, seq int) int {
	m.t.Helper()
	return m.callAs("i-1", action, status, seq)
}

// callAs is call for any server.
func (m *processMesh) callAs(member, action, status string, seq int) int {
	m.t.Helper()
	settings := m.settings(leavingNode, nodefile.SidecarMachine, false)
	body, err := msgpack.Marshal(map[string]any{"backend": "s", "address": settings.AppAddress, "zone": "z", "slots": 4, "status": status, "call_seq": seq})
	if err != nil {
		m.t.Fatal(err)
	}
	client := http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	response, err := client.Post("http://"+settings.Control+"/members/"+member+"/"+action, "application/msgpack", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// get sends a client's request at the entry node, and returns the status of the response.
func (m *processMesh) get() int {
	request, _ := http.NewRequest("GET", "http://"+m.settings(entryNode, nodefile.SidecarMachine, false).Outbound+"/one/x", nil)
	request.Host = "h"
	request.Header.Set("Attempt-Id", "a")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// startServer starts the server on the leaving node's machine. It runs until the end of the test.
func (m *processMesh) startServer() {
	m.t.Helper()
	listener, err := net.Listen("tcp", m.settings(leavingNode, nodefile.SidecarMachine, false).AppAddress)
	if err != nil {
		m.t.Fatal(err)
	}
	app := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.arrivedAt.Store(int64(time.Since(m.startedAt)))
		w.Header().Set("Server-Seal", "seal")
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	})}
	go app.Serve(listener)
	m.t.Cleanup(func() { app.Close() })
}

// awaitNode waits until the restarted leaving node accepts calls.
func (m *processMesh) awaitNode() {
	m.t.Helper()
	m.waitFor("the restarted node", func() bool { return m.call("nothing", "", 0) == http.StatusNotFound })
}

// leader returns the number of the quorum member that leads.
func (m *processMesh) leader(client *operator.Client) (leader int) {
	m.t.Helper()
	m.waitFor("a leader", func() bool {
		for n, address := range client.Addresses {
			single := *client
			single.Addresses = []string{address}
			if all, _ := single.Status(context.Background()); len(all) == 1 && all[0].IsLeader {
				leader = n + 1
				return true
			}
		}
		return false
	})
	return leader
}

func newProcessMesh(t *testing.T) (m *processMesh, client *operator.Client) {
	m = &processMesh{mesh: &mesh{t: t, ports: freePorts(t), dir: t.TempDir()}, processes: map[int]*exec.Cmd{}, startedAt: time.Now()}
	for n := 1; n <= 3; n++ {
		m.startProcess(n, nodefile.QuorumMachine, true)
	}
	m.startProcess(leavingNode, nodefile.SidecarMachine, true)
	m.startProcess(entryNode, nodefile.SidecarMachine, true)
	client = m.operator("")
	m.waitFor("the configuration", func() bool { return client.Apply(context.Background(), 0, config(t, 3, "/one/")) == nil })
	m.startServer()
	m.waitFor("a heartbeat", func() bool { return m.call("heartbeat", "in_service", 1) == http.StatusOK })
	m.waitFor("a served request", func() bool { return m.get() == http.StatusOK })
	return m, client
}

// TestAcknowledgedDepartureSurvivesNode guards against requests that reach a server after the drain time of its departure,
// because the node's process was killed after it had acknowledged the departure.
func TestAcknowledgedDepartureSurvivesNode(t *testing.T) {
	kill := func(m *processMesh, leader int) { m.kill(leader) }
	freeze := func(m *processMesh, leader int) { m.processes[leader].Process.Signal(syscall.SIGSTOP) }
	restart := func(m *processMesh, leader int) { m.startProcess(leader, nodefile.QuorumMachine, false) }
	thaw := func(m *processMesh, leader int) { m.processes[leader].Process.Signal(syscall.SIGCONT) }
	nothing := func(*processMesh, int) {}
	for _, c := range []struct {
		name           string
		before, after  func(m *processMesh, leader int) // before the departure, and after the node was killed
		action, status string
		restartedFirst bool // the node is also killed before the departure
		lateHeartbeat  bool // a heartbeat from before the departure reaches the restarted node
	}{
		{name: "deregistered after the loss of the leader", before: kill, after: restart, action: "deregister"},
		{name: "deregistered while the leader is frozen", before: freeze, after: thaw, action: "deregister"},
		{name: "draining after the loss of the leader", before: kill, after: restart, action: "heartbeat", status: "draining"},
		{name: "deregistered at a restarted node without a leader", before: kill, after: restart, action: "deregister", restartedFirst: true},
		{name: "late heartbeat after a deregistration", before: nothing, after: nothing, action: "deregister", lateHeartbeat: true},
		{name: "late heartbeat after draining without a leader", before: kill, after: nothing, action: "heartbeat", status: "draining", lateHeartbeat: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, client := newProcessMesh(t)
			leader := m.leader(client)
			c.before(m, leader)
			if c.restartedFirst {
				m.kill(leavingNode)
				m.startProcess(leavingNode, nodefile.SidecarMachine, false)
				m.awaitNode()
			}
			if got := m.call(c.action, c.status, 9); got != http.StatusOK {
				t.Fatalf("the departure got status %d, want 200 although the quorum has no leader", got)
			}
			acknowledged := time.Now()
			m.kill(leavingNode)
			c.after(m, leader)
			m.startProcess(leavingNode, nodefile.SidecarMachine, false)
			m.awaitNode()
			for seq := 2; c.lateHeartbeat && seq < 5; seq++ {
				m.call("heartbeat", "in_service", seq)
			}
			m.leader(client)
			for end := time.Now().Add(departureWatch); time.Now().Before(end); {
				m.get()
			}
			deadline := acknowledged.Add(departureDrain).Sub(m.startedAt)
			if arrived := time.Duration(m.arrivedAt.Load()); arrived > deadline {
				t.Errorf("a request reached the server %v after the drain time of its acknowledged departure", arrived-deadline)
			}
		})
	}
}

// TestReplacedServerStaysEnded guards against the end of a running server by a late heartbeat of the server that it has
// replaced, which a restarted node took for a newer one.
func TestReplacedServerStaysEnded(t *testing.T) {
	m, _ := newProcessMesh(t)
	m.waitFor("the successor", func() bool { return m.callAs("i-2", "heartbeat", "in_service", 1) == http.StatusOK })
	m.waitFor("the record", func() bool {
		text, err := os.ReadFile(filepath.Join(m.dir, fmt.Sprint("log-", leavingNode)))
		return err == nil && bytes.Contains(text, []byte("server.replacement_recorded"))
	})
	m.kill(leavingNode)
	m.startProcess(leavingNode, nodefile.SidecarMachine, false)
	m.awaitNode()
	m.waitFor("the rejection of a late heartbeat", func() bool { return m.call("heartbeat", "in_service", 2) == http.StatusConflict })
	if got := m.callAs("i-2", "heartbeat", "in_service", 2); got != http.StatusOK {
		t.Errorf("the heartbeat of the running server got status %d, want 200", got)
	}
	m.waitFor("a served request", func() bool { return m.get() == http.StatusOK })
}
