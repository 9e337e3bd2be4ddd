// Package demo runs a small mesh on the local machine for the command meshlab demo. Three
// quorum members and three sidecars run as processes of the real programs, each with its
// own loopback address. Each sidecar has a stand-in server. During the run, clients send
// requests, a server is drained and the leader is killed.
package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/vmihailenco/msgpack/v5"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/operator"
	"ivydeck/internal/simulation/standin"
)

const (
	machinesPerKind = 3 // number of quorum members, and of sidecars
	host            = "demo.example"
	startWait       = 20 * time.Second
	stopWait        = 8 * time.Second
	maxInFlight     = 512 // maximum number of requests without a response
)

// Indexes in mesh.ports.
const (
	internalPort = iota
	controlPlanePort
	outboundPort
	readinessPort
	serverPort
)

// Options configures a run.
type Options struct {
	Programs string        // folder of ivydeck-data and ivydeck-control
	Duration time.Duration // duration of the traffic
	Rate     float64       // requests per second
	Output   io.Writer
}

// mesh is a running demo.
type mesh struct {
	Options
	dir    string
	subnet string // first three bytes of all addresses, such as 127.30.7
	ports  [5]int // the same on all machines; indexed by internalPort to serverPort

	mu        sync.Mutex
	processes map[string]*process
	servers   []*standin.Server
}

// process is a running program of a machine.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

func (m *mesh) ip(n int) string { return fmt.Sprintf("%s.%d", m.subnet, n) }

// address returns host:port of the n-th machine; port is an index in ports.
func (m *mesh) address(n, port int) string { return fmt.Sprintf("%s:%d", m.ip(n), m.ports[port]) }
func (m *mesh) printf(f string, a ...any)  { fmt.Fprintf(m.Output, f+"\n", a...) }

// Run runs the demo, and stops all processes and servers before it returns.
func Run(ctx context.Context, o Options) error {
	for _, name := range []string{"ivydeck-data", "ivydeck-control"} {
		if _, err := os.Stat(filepath.Join(o.Programs, name)); err != nil {
			return fmt.Errorf("demo: %s is missing from the folder of programs; go build -o bin/ ./cmd/... builds all into one folder", name)
		}
	}
	dir, err := os.MkdirTemp("", "ivydeck-demo-")
	if err != nil {
		return fmt.Errorf("demo: create directory: %w", err)
	}
	m := &mesh{Options: o, dir: dir, processes: map[string]*process{}, subnet: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	defer os.RemoveAll(dir)
	defer m.stop()
	for i := range m.ports {
		l, err := net.Listen("tcp", m.ip(1)+":0")
		if err != nil {
			return fmt.Errorf("demo: find a free port: %w", err)
		}
		defer l.Close()
		m.ports[i] = l.Addr().(*net.TCPAddr).Port
		l.Close()
	}
	controlPlane := &operator.Client{}
	for n := 1; n <= machinesPerKind; n++ {
		if err := m.start(n, "core", "ivydeck-control"); err != nil {
			return err
		}
		controlPlane.Addresses = append(controlPlane.Addresses, m.address(n, controlPlanePort))
	}
	for n := machinesPerKind + 1; n <= 2*machinesPerKind; n++ {
		if err := m.start(n, "sidecar", "ivydeck-data"); err != nil {
			return err
		}
	}
	m.printf("started 3 quorum members and 3 sidecars on %s.1 to .%d", m.subnet, 2*machinesPerKind)
	if err := m.prepare(ctx, controlPlane); err != nil {
		return err
	}
	return m.sendTraffic(ctx, controlPlane)
}

// start writes a machine's settings file and starts its program.
func (m *mesh) start(n int, class, program string) error {
	name := fmt.Sprintf("%s%d", class, n)
	text := fmt.Sprintf(`node_name=%s
machine_class=%s
ip_address=%s
zone=%s
listeners.control_plane=%s
listeners.outbound=%s
listeners.readiness=%s
app_address=%s
backend=shop
internal_ports=%d
bootstrap=true
data_dir=%s
heartbeat_ms=500
seed_nodes=%s,%s,%s
`, name, class, m.ip(n), string(rune('a'+(n-1)%machinesPerKind)), m.address(n, controlPlanePort), m.address(n, outboundPort), m.address(n, readinessPort), m.address(n, serverPort), m.ports[internalPort],
		filepath.Join(m.dir, name), m.address(1, controlPlanePort), m.address(2, controlPlanePort), m.address(3, controlPlanePort))
	file := filepath.Join(m.dir, name+".conf")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return fmt.Errorf("demo: write settings: %w", err)
	}
	logFile, err := os.Create(filepath.Join(m.dir, name+".log"))
	if err != nil {
		return fmt.Errorf("demo: create log file: %w", err)
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(m.Programs, program), "--settings", file)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("demo: start process: %w", err)
	}
	p := &process{cmd, make(chan struct{})}
	go func() { // ends with the process; stop waits for it
		cmd.Wait()
		close(p.done)
	}()
	m.mu.Lock()
	m.processes[name] = p
	m.mu.Unlock()
	return nil
}

// stop stops all servers and processes. It kills processes that are still running after
// stopWait.
func (m *mesh) stop() {
	for _, s := range m.servers {
		s.Stop()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
	timeout := time.After(stopWait)
	for _, p := range m.processes {
		select {
		case <-p.done:
		case <-timeout:
			p.cmd.Process.Kill()
			<-p.done
		}
	}
}

// checkProcesses returns an error with the last part of the log if a process has ended
// unexpectedly.
func (m *mesh) checkProcesses() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.processes {
		select {
		case <-p.done:
			text, _ := os.ReadFile(filepath.Join(m.dir, name+".log"))
			return fmt.Errorf("demo: process %s has ended unexpectedly; last part of its log: %s", name, bytes.TrimSpace(text[max(0, len(text)-400):]))
		default:
		}
	}
	return nil
}

// waitFor polls until f returns true, for at most startWait. Its error names the condition.
func (m *mesh) waitFor(ctx context.Context, condition string, f func(ctx context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for !f(ctx) {
		if err := m.checkProcesses(); err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("demo: wait for %s: %w", condition, ctx.Err())
		}
	}
	return nil
}

// prepare applies the configuration, starts the servers, and waits until all nodes are
// ready.
func (m *mesh) prepare(ctx context.Context, controlPlane *operator.Client) error {
	startedAt := time.Now()
	route := func(name string, kind meshconfig.Kind, priority int) *meshconfig.Route {
		return &meshconfig.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, TimeoutMs: 2000, TargetLatencyMs: 200,
			Priority: priority, Backend: "shop", MaxAttempts: 3}
	}
	body, err := msgpack.Marshal(&meshconfig.Config{Revision: 1, Backends: []meshconfig.Backend{{Name: "shop"}}, Routes: []*meshconfig.Route{
		route("order", meshconfig.NonIdempotent, 0), route("ask", meshconfig.Idempotent, 1), route("browse", meshconfig.Idempotent, 2)}})
	if err != nil {
		return fmt.Errorf("demo: encode configuration: %w", err)
	}
	if err := m.waitFor(ctx, "a leader", func(ctx context.Context) bool { return controlPlane.Apply(ctx, 0, body) == nil }); err != nil {
		return err
	}
	m.printf("%5.1f s  the quorum has a leader, and the configuration is on a majority of its disks", time.Since(startedAt).Seconds())
	for n := machinesPerKind + 1; n <= 2*machinesPerKind; n++ {
		id := fmt.Sprintf("shop-%d", n)
		s, err := standin.Start(standin.Options{ID: id, Service: "shop", Zone: "a", Address: m.address(n, serverPort), Control: m.address(n, controlPlanePort), Slots: slots,
			Heartbeat: heartbeatInterval, Handler: workHandler(id)})
		if err != nil {
			return err
		}
		m.servers = append(m.servers, s)
	}
	for n := machinesPerKind + 1; n <= 2*machinesPerKind; n++ {
		if err := m.waitFor(ctx, "the nodes to be ready", func(ctx context.Context) bool { return m.isReady(ctx, n) }); err != nil {
			return err
		}
	}
	m.printf("%5.1f s  three nodes are ready, with three servers", time.Since(startedAt).Seconds())
	return nil
}

// isReady reports whether the readiness check of the n-th machine succeeds.
func (m *mesh) isReady(ctx context.Context, n int) bool {
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+m.address(n, readinessPort)+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// tally counts the responses of a period.
type tally struct {
	mu                        sync.Mutex
	sent, ok, refused, failed int
	served                    map[string]int // number of responses by server
	latency                   *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{served: map[string]int{}, latency: hdrhistogram.New(1, 60_000_000, 3)}
}

func (t *tally) add(status int, server string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch status {
	case 200:
		t.ok++
		t.served[server]++
		t.latency.RecordValue(max(1, took.Microseconds()))
	case 503:
		t.refused++
	default:
		t.failed++
	}
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	percentile := func(q float64) float64 { return float64(t.latency.ValueAtQuantile(q)) / 1000 }
	text := fmt.Sprintf("%5d requests, %5d answered (p50 %5.1f ms, p99 %5.1f ms), %d refused, %d failed; by", t.sent, t.ok, percentile(50), percentile(99), t.refused, t.failed)
	for n := machinesPerKind + 1; n <= 2*machinesPerKind; n++ {
		text += fmt.Sprintf(" %d", t.served[fmt.Sprintf("shop-%d", n)])
	}
	return text
}

// sendTraffic sends requests. It drains a server after a third of the time, and kills the
// leader after two thirds.
func (m *mesh) sendTraffic(ctx context.Context, controlPlane *operator.Client) error {
	ctx, cancel := context.WithTimeout(ctx, m.Duration)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	total, current := newTally(), newTally()
	var inFlight atomic.Int64
	var running sync.WaitGroup
	defer running.Wait()
	startedAt := time.Now()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	next := time.NewTicker(time.Duration(float64(time.Second) / m.Rate))
	defer next.Stop()
	drained, leaderKilled := false, false
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			running.Wait()
			m.printf("in all:  %v", total)
			if err := m.checkProcesses(); err != nil && !leaderKilled {
				return err
			}
			if total.ok == 0 {
				return errors.New("demo: no request was answered with status 200")
			}
			return nil
		case <-second.C:
			m.printf("%5.1f s  %v", time.Since(startedAt).Seconds(), current)
			current = newTally()
		case <-next.C:
		}
		if elapsed := time.Since(startedAt); !drained && elapsed > m.Duration/3 {
			drained = true
			m.printf("         shop-%d drains", machinesPerKind+1)
			m.servers[0].Drain()
		} else if !leaderKilled && elapsed > 2*m.Duration/3 {
			leaderKilled = true
			if err := m.killLeader(ctx, controlPlane); err != nil {
				return err
			}
		}
		if inFlight.Load() >= maxInFlight {
			continue
		}
		inFlight.Add(1)
		tallies := []*tally{total, current}
		running.Go(func() {
			defer inFlight.Add(-1)
			status, server, took := m.sendRequest(client, i)
			for _, t := range tallies {
				t.add(status, server, took)
			}
		})
	}
}

// killLeader kills the quorum member that is the leader.
func (m *mesh) killLeader(ctx context.Context, controlPlane *operator.Client) error {
	states, errs := controlPlane.Status(ctx)
	for _, s := range states {
		if s.IsLeader {
			m.printf("         the leader, %s, is killed", s.Node)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.processes[s.Node].cmd.Process.Kill()
			<-m.processes[s.Node].done
			delete(m.processes, s.Node)
			return nil
		}
	}
	return fmt.Errorf("demo: kill leader: no quorum member is the leader: %w", errors.Join(errs...))
}

// paths are the path prefixes that requests use in turn.
var paths = []string{"/order/", "/ask/", "/browse/", "/browse/"}

// sendRequest sends the i-th request to one of the nodes, in turn. It returns a zero status if
// the request fails.
func (m *mesh) sendRequest(client *http.Client, i int) (status int, server string, took time.Duration) {
	startedAt := time.Now()
	req, err := http.NewRequest("GET", fmt.Sprintf("http://%s%s%d", m.address(machinesPerKind+1+i%machinesPerKind, outboundPort), paths[i%len(paths)], i), nil)
	if err != nil {
		return 0, "", 0
	}
	req.Host = host
	req.Header.Set("Attempt-Id", fmt.Sprintf("demo%d", i))
	req.Header.Set("Time-Budget", "2000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, "", 0
	}
	return resp.StatusCode, resp.Header.Get("Served-By"), time.Since(startedAt)
}
