package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"ivydeck/internal/transport/rpc"
)

// role is the role of a process in the mesh. It is written to logs and reports.
type role string

const (
	quorumRole role = "quorum"
	realRole   role = "real"
	hollowRole role = "hollow"
)

const metricsTimeout = 8 * time.Second

const clockTicks = 100 // clock ticks per second in /proc (USER_HZ)

var errExited = errors.New("the process has exited")

// child is a process that the run has started.
type child struct {
	name       string
	role       role
	machines   []int  // machines that the process runs
	logPath    string // path of its log file
	cmd        *exec.Cmd
	startedAt  time.Time
	done       chan struct{} // closed after the process has exited
	metricsURL string        // empty for a hollow process
	// Resident bytes and descriptors of a hollow process before its first node.
	baseResident int64
	baseFiles    int

	mu        sync.Mutex // serializes commands to a hollow process
	commands  *json.Encoder
	responses *json.Decoder
}

// startChild starts a program that logs to a file in dir. The standard input and output of a hollow process carry JSON
// messages.
func startChild(dir, name string, r role, program string, arguments ...string) (*child, error) {
	c := &child{name: name, role: r, logPath: filepath.Join(dir, name+".log"), cmd: exec.Command(program, arguments...), done: make(chan struct{})}
	logFile, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	c.cmd.Stderr = logFile
	if r != hollowRole {
		c.cmd.Stdout = logFile
		return c, c.start()
	}
	stdin, err := c.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.commands, c.responses = json.NewEncoder(stdin), json.NewDecoder(stdout)
	return c, c.start()
}

func (c *child) start() error {
	c.startedAt = time.Now()
	if err := c.cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", c.name, err)
	}
	if c.role == hollowRole {
		return nil // Wait closes the output pipe, so kill calls it instead
	}
	go c.wait()
	return nil
}

// wait waits until the process has exited, and closes done.
func (c *child) wait() {
	c.cmd.Wait()
	close(c.done)
}

// kill kills the process and waits until it has exited.
func (c *child) kill() {
	c.cmd.Process.Kill()
	if c.role == hollowRole {
		c.wait()
		return
	}
	<-c.done
}

// exited returns an error with the end of the log if the process has exited. For a hollow process it returns nil until kill.
func (c *child) exited() error {
	select {
	case <-c.done:
		text, _ := os.ReadFile(c.logPath)
		return fmt.Errorf("%s has exited: %s", c.name, bytes.TrimSpace(text[max(0, len(text)-300):]))
	default:
		return nil
	}
}

// call sends a command to a hollow process and returns the response. It is safe for concurrent use.
func (c *child) call(request *command) (*response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.commands.Encode(request); err != nil {
		return nil, fmt.Errorf("%s: %w", c.name, errExited)
	}
	resp := new(response)
	if err := c.responses.Decode(resp); err != nil {
		return nil, fmt.Errorf("%s: %w", c.name, errExited)
	}
	if resp.Fault != "" {
		return nil, fmt.Errorf("%s: %s", c.name, resp.Fault)
	}
	return resp, nil
}

// sample is the usage of a process at one time. Processor time and traffic count from the start of the process.
type sample struct {
	at         time.Time
	processor  float64 // seconds
	resident   int64   // bytes
	files      int
	sockets    int
	goroutines int
	traffic    rpc.Traffic
	index      uint64 // index of the latest update that a real node has
	members    int    // alive members in the view of a real node
}

// sample reads the usage of the process.
func (c *child) sample(ctx context.Context) (s sample, err error) {
	proc := "/proc/" + strconv.Itoa(c.cmd.Process.Pid)
	s.at = time.Now()
	if s.processor, err = processorTime(proc); err != nil {
		return s, fmt.Errorf("%s: %w", c.name, err)
	}
	if s.resident, err = residentBytes(proc); err != nil {
		return s, fmt.Errorf("%s: %w", c.name, err)
	}
	files, err := os.ReadDir(proc + "/fd")
	if err != nil {
		return s, fmt.Errorf("%s: %w", c.name, err)
	}
	s.files = len(files)
	if c.role == hollowRole {
		s.sockets = s.files - c.baseFiles // nodes open only sockets, and a readlink for each of thousands is slow
		resp, err := c.call(&command{Usage: true})
		if err != nil {
			return s, err
		}
		s.traffic, s.goroutines = resp.Usage.Traffic, resp.Usage.Goroutines
		return s, nil
	}
	for _, f := range files {
		if target, err := os.Readlink(proc + "/fd/" + f.Name()); err == nil && strings.HasPrefix(target, "socket:") {
			s.sockets++
		}
	}
	return s, s.readMetrics(ctx, c.metricsURL)
}

// processorTime returns the user and system time of the process at the /proc path proc, in seconds.
func processorTime(proc string) (float64, error) {
	text, err := os.ReadFile(proc + "/stat")
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ") // skip the process name, which may contain spaces
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, fmt.Errorf("%s/stat has %d fields", proc, len(fields))
	}
	user, err := strconv.ParseFloat(fields[userField], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[systemField], 64)
	return (user + system) / clockTicks, err
}

func residentBytes(proc string) (int64, error) {
	text, err := os.ReadFile(proc + "/statm")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, fmt.Errorf("%s/statm has %d fields", proc, len(fields))
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// loadAverage returns the machine's load average over a minute, or 0 if it can't be read.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}

// readMetrics reads the metrics of a real process in the Prometheus text format.
func (s *sample) readMetrics(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	s.traffic.Methods = map[string]rpc.MethodTraffic{}
	for line := range strings.Lines(string(text)) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && !strings.HasPrefix(name, "#") {
			if number, err := strconv.ParseFloat(value, 64); err == nil {
				s.setMetric(name, number)
			}
		}
	}
	return nil
}

// setMetric stores the value of one metric, and ignores metrics that the report does not use.
func (s *sample) setMetric(name string, value float64) {
	switch name {
	case "go_goroutines":
		s.goroutines = int(value)
	case "ivydeck_news_number", "ivydeck_update_index":
		s.index = uint64(value)
	case `ivydeck_members{state="alive"}`:
		s.members = int(value)
	case `ivydeck_rpc_bytes{direction="in"}`:
		s.traffic.BytesReceived = uint64(value)
	case `ivydeck_rpc_bytes{direction="out"}`:
		s.traffic.BytesSent = uint64(value)
	case `ivydeck_rpc_frames{direction="in"}`:
		s.traffic.FramesReceived = uint64(value)
	case `ivydeck_rpc_frames{direction="out"}`:
		s.traffic.FramesSent = uint64(value)
	}
	var direction, method string
	countsBytes := strings.HasPrefix(name, "ivydeck_rpc_method_bytes")
	if !countsBytes && !strings.HasPrefix(name, "ivydeck_rpc_method_messages") {
		return
	}
	if parts := strings.Split(name, `"`); len(parts) == 5 { // {direction="in",method="probe"}
		direction, method = parts[1], parts[3]
	}
	m := s.traffic.Methods[method]
	switch {
	case countsBytes && direction == "in":
		m.BytesReceived = uint64(value)
	case countsBytes:
		m.BytesSent = uint64(value)
	case direction == "in":
		m.MessagesReceived = uint64(value)
	default:
		m.MessagesSent = uint64(value)
	}
	s.traffic.Methods[method] = m
}
