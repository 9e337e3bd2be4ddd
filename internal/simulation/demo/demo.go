// Package demo starts a small mesh on this machine: three core and three sidecar
// processes of the real programs, each with a loopback address of its own, a model
// server beside each sidecar, and clients. It shows what the mesh does while a
// server drains and the leader is lost.
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
	machines  = 3 // of each kind
	host      = "demo.example"
	startWait = 20 * time.Second
	stopWait  = 8 * time.Second
	maxAway   = 512 // requests under way
)

// Options say what to show.
type Options struct {
	Programs string        // folder of ivydeck-data and ivydeck-control
	Length   time.Duration // of the traffic
	Rate     float64       // requests a second
	Out      io.Writer
}

// mesh is the demo under way.
type mesh struct {
	Options
	dir   string
	net   string // the first three numbers of all addresses
	ports [5]int // nodes, control, outbound, readiness, server

	mu        sync.Mutex
	processes map[string]*process
	servers   []*standin.Server
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed at its end
}

func (m *mesh) ip(n int) string        { return fmt.Sprintf("%s.%d", m.net, n) }
func (m *mesh) at(n, port int) string  { return fmt.Sprintf("%s:%d", m.ip(n), m.ports[port]) }
func (m *mesh) say(f string, a ...any) { fmt.Fprintf(m.Out, f+"\n", a...) }

// Run plays the demo, and ends all that it has started.
func Run(ctx context.Context, o Options) error {
	for _, name := range []string{"ivydeck-data", "ivydeck-control"} {
		if _, err := os.Stat(filepath.Join(o.Programs, name)); err != nil {
			return fmt.Errorf("demo: %s is not beside this program; go build -o bin/ ./cmd/... puts all in one folder", name)
		}
	}
	dir, err := os.MkdirTemp("", "ivydeck-demo-")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	m := &mesh{Options: o, dir: dir, processes: map[string]*process{}, net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	defer os.RemoveAll(dir)
	defer m.end()
	for i := range m.ports {
		l, err := net.Listen("tcp", m.ip(1)+":0")
		if err != nil {
			return fmt.Errorf("demo: no port: %w", err)
		}
		defer l.Close()
		m.ports[i] = l.Addr().(*net.TCPAddr).Port
		l.Close()
	}
	core := &operator.Client{}
	for n := 1; n <= machines; n++ {
		if err := m.start(n, "core", "ivydeck-control"); err != nil {
			return err
		}
		core.Addresses = append(core.Addresses, m.at(n, 1))
	}
	for n := machines + 1; n <= 2*machines; n++ {
		if err := m.start(n, "sidecar", "ivydeck-data"); err != nil {
			return err
		}
	}
	m.say("started 3 core and 3 sidecar processes on %s.1 to .%d", m.net, 2*machines)
	if err := m.ready(ctx, core); err != nil {
		return err
	}
	return m.play(ctx, core)
}

// start writes a machine's settings and starts its program.
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
`, name, class, m.ip(n), string(rune('a'+(n-1)%machines)), m.at(n, 1), m.at(n, 2), m.at(n, 3), m.at(n, 4), m.ports[0],
		filepath.Join(m.dir, name), m.at(1, 1), m.at(2, 1), m.at(3, 1))
	file := filepath.Join(m.dir, name+".conf")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	out, err := os.Create(filepath.Join(m.dir, name+".log"))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(m.Programs, program), "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	p := &process{cmd, make(chan struct{})}
	go func() { // ends with the process, for which end waits
		cmd.Wait()
		close(p.done)
	}()
	m.mu.Lock()
	m.processes[name] = p
	m.mu.Unlock()
	return nil
}

// end stops all processes and servers.
func (m *mesh) end() {
	for _, s := range m.servers {
		s.Stop()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
	patience := time.After(stopWait)
	for _, p := range m.processes {
		select {
		case <-p.done:
		case <-patience:
			p.cmd.Process.Kill()
			<-p.done
		}
	}
}

// died tells which process has ended by itself, with the end of its log.
func (m *mesh) died() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.processes {
		select {
		case <-p.done:
			text, _ := os.ReadFile(filepath.Join(m.dir, name+".log"))
			return fmt.Errorf("demo: %s has ended: %s", name, bytes.TrimSpace(text[max(0, len(text)-400):]))
		default:
		}
	}
	return nil
}

// wait asks f until it holds.
func (m *mesh) wait(ctx context.Context, what string, f func(ctx context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for !f(ctx) {
		if err := m.died(); err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("demo: waited too long for %s: %w", what, ctx.Err())
		}
	}
	return nil
}

// ready brings the mesh to where it serves.
func (m *mesh) ready(ctx context.Context, core *operator.Client) error {
	began := time.Now()
	route := func(name string, kind meshconfig.Kind, priority int) *meshconfig.Route {
		return &meshconfig.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, TimeoutMs: 2000, TargetLatencyMs: 200,
			Priority: priority, Backend: "shop", MaxAttempts: 3}
	}
	body, err := msgpack.Marshal(&meshconfig.Config{Revision: 1, Backends: []meshconfig.Backend{{Name: "shop"}}, Routes: []*meshconfig.Route{
		route("order", meshconfig.NonIdempotent, 0), route("ask", meshconfig.Idempotent, 1), route("browse", meshconfig.Idempotent, 2)}})
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if err := m.wait(ctx, "the core", func(ctx context.Context) bool { return core.Apply(ctx, 0, body) == nil }); err != nil {
		return err
	}
	m.say("%5.1f s  the core has a leader, and the configuration on a majority of its disks", time.Since(began).Seconds())
	for n := machines + 1; n <= 2*machines; n++ {
		id := fmt.Sprintf("shop-%d", n)
		s, err := standin.Start(standin.Options{ID: id, Service: "shop", Zone: "a", Address: m.at(n, 4), Control: m.at(n, 1), Slots: slots,
			Heartbeat: heartbeatEvery, Handler: work(id)})
		if err != nil {
			return err
		}
		m.servers = append(m.servers, s)
	}
	for n := machines + 1; n <= 2*machines; n++ {
		err := m.wait(ctx, "the nodes to be ready", func(ctx context.Context) bool {
			req, err := http.NewRequestWithContext(ctx, "GET", "http://"+m.at(n, 3)+"/ready", nil)
			if err != nil {
				return false
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == 200
		})
		if err != nil {
			return err
		}
	}
	m.say("%5.1f s  three nodes are ready, with three servers", time.Since(began).Seconds())
	return nil
}

// tally counts the answers of some time.
type tally struct {
	mu                     sync.Mutex
	sent, ok, back, failed int
	served                 map[string]int
	latency                *hdrhistogram.Histogram
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
		t.back++
	default:
		t.failed++
	}
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := func(q float64) float64 { return float64(t.latency.ValueAtQuantile(q)) / 1000 }
	line := fmt.Sprintf("%5d requests, %5d answered (p50 %5.1f ms, p99 %5.1f ms), %d refused, %d failed; by", t.sent, t.ok, at(50), at(99), t.back, t.failed)
	for n := machines + 1; n <= 2*machines; n++ {
		line += fmt.Sprintf(" %d", t.served[fmt.Sprintf("shop-%d", n)])
	}
	return line
}

// play sends traffic, drains a server at a third, and ends the leader at two thirds.
func (m *mesh) play(ctx context.Context, core *operator.Client) error {
	ctx, cancel := context.WithTimeout(ctx, m.Length)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	all, now := newTally(), newTally()
	var away atomic.Int64
	var running sync.WaitGroup
	defer running.Wait()
	began := time.Now()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	next := time.NewTicker(time.Duration(float64(time.Second) / m.Rate))
	defer next.Stop()
	drained, ended := false, false
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			running.Wait()
			m.say("in all:  %v", all)
			if err := m.died(); err != nil && !ended {
				return err
			}
			if all.ok == 0 {
				return errors.New("demo: nothing was answered")
			}
			return nil
		case <-second.C:
			m.say("%5.1f s  %v", time.Since(began).Seconds(), now)
			now = newTally()
		case <-next.C:
		}
		if spent := time.Since(began); !drained && spent > m.Length/3 {
			drained = true
			m.say("         shop-%d drains", machines+1)
			m.servers[0].Drain()
		} else if !ended && spent > 2*m.Length/3 {
			ended = true
			if err := m.endLeader(ctx, core); err != nil {
				return err
			}
		}
		if away.Load() >= maxAway {
			continue
		}
		away.Add(1)
		tallies := []*tally{all, now}
		running.Go(func() {
			defer away.Add(-1)
			status, server, took := m.ask(client, i)
			for _, t := range tallies {
				t.add(status, server, took)
			}
		})
	}
}

// endLeader kills the quorum member that leads.
func (m *mesh) endLeader(ctx context.Context, core *operator.Client) error {
	states, err := core.Status(ctx)
	for _, s := range states {
		if s.IsLeader {
			m.say("         the leader, %s, is killed", s.Node)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.processes[s.Node].cmd.Process.Kill()
			<-m.processes[s.Node].done
			delete(m.processes, s.Node)
			return nil
		}
	}
	return fmt.Errorf("demo: nobody leads: %w", errors.Join(err...))
}

var paths = []string{"/order/", "/ask/", "/browse/", "/browse/"}

// ask sends one request to one of the nodes.
func (m *mesh) ask(client *http.Client, i int) (status int, server string, took time.Duration) {
	began := time.Now()
	req, err := http.NewRequest("GET", fmt.Sprintf("http://%s%s%d", m.at(machines+1+i%machines, 2), paths[i%len(paths)], i), nil)
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
	return resp.StatusCode, resp.Header.Get("Served-By"), time.Since(began)
}
