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

// role is the role of a process in the mesh.
type role string

const (
	quorumRole role = "quorum"
	realRole   role = "real"
	hollowRole role = "hollow"
)

const metricsWait = 8 * time.Second

const clockTicks = 100 // of processor time in a second, as /proc counts it

var errEnded = errors.New("the process has ended")

// child is a process that the run has started.
type child struct {
	name     string
	role     role
	machines []int // it stands for
	log      string
	command  *exec.Cmd
	began    time.Time
	ended    chan struct{}
	metrics  string // URL; of real processes
	// Of a hollow process before its first node: resident bytes, and descriptors.
	base      int64
	baseFiles int

	mu        sync.Mutex // of a hollow process's standard input and output
	in        *json.Encoder
	responses *json.Decoder
}

// startChild starts a program, with a log file in a folder.
func startChild(dir, name string, r role, program string, arguments ...string) (*child, error) {
	c := &child{name: name, role: r, log: filepath.Join(dir, name+".log"), command: exec.Command(program, arguments...), ended: make(chan struct{})}
	log, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c.command.Stderr = log
	if r != hollowRole {
		c.command.Stdout = log
		return c, c.start()
	}
	in, err := c.command.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.in, c.responses = json.NewEncoder(in), json.NewDecoder(stdout)
	return c, c.start()
}

func (c *child) start() error {
	c.began = time.Now()
	if err := c.command.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", c.name, err)
	}
	if c.role == hollowRole {
		return nil // Wait would close its output before that is read
	}
	go c.wait()
	return nil
}

// wait waits for the end of the process.
func (c *child) wait() {
	c.command.Wait()
	close(c.ended)
}

// kill ends the process and waits for its end.
func (c *child) kill() {
	c.command.Process.Kill()
	if c.role == hollowRole {
		c.wait()
		return
	}
	<-c.ended
}

// exited returns an error if the process has ended by itself.
func (c *child) exited() error {
	select {
	case <-c.ended:
		text, _ := os.ReadFile(c.log)
		return fmt.Errorf("%s has ended: %s", c.name, bytes.TrimSpace(text[max(0, len(text)-300):]))
	default:
		return nil
	}
}

// call sends a command to a hollow process and returns its answer.
func (c *child) call(q *command) (*answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.in.Encode(q); err != nil {
		return nil, fmt.Errorf("%s: %w", c.name, errEnded)
	}
	a := new(answer)
	if err := c.responses.Decode(a); err != nil {
		return nil, fmt.Errorf("%s: %w", c.name, errEnded)
	}
	if a.Fault != "" {
		return nil, fmt.Errorf("%s: %s", c.name, a.Fault)
	}
	return a, nil
}

// sample is the usage of a process so far, and its memory and descriptors now.
type sample struct {
	at         time.Time
	processor  float64 // seconds
	resident   int64   // bytes
	files      int
	sockets    int
	goroutines int
	traffic    rpc.Traffic
	index      uint64 // newest update that a real node knows of
	members    int    // others that a real node knows
}

// sample reads the usage of the process.
func (c *child) sample(ctx context.Context) (s sample, err error) {
	proc := "/proc/" + strconv.Itoa(c.command.Process.Pid)
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
		s.sockets = s.files - c.baseFiles // it opens nothing else, and has some thousands
		a, err := c.call(&command{Usage: true})
		if err != nil {
			return s, err
		}
		s.traffic, s.goroutines = a.Usage.Traffic, a.Usage.Goroutines
		return s, nil
	}
	for _, f := range files {
		if target, err := os.Readlink(proc + "/fd/" + f.Name()); err == nil && strings.HasPrefix(target, "socket:") {
			s.sockets++
		}
	}
	return s, s.readMetrics(ctx, c.metrics)
}

// processorTime is the processor time of a process, in seconds.
func processorTime(proc string) (float64, error) {
	text, err := os.ReadFile(proc + "/stat")
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ") // behind the name, which may hold anything
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

// loadAverage is the machine's, over a minute; 0 where it can't be read.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}

// readMetrics reads the metrics of a real process.
func (s *sample) readMetrics(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, metricsWait)
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
				s.take(name, number)
			}
		}
	}
	return nil
}

// take takes one metric.
func (s *sample) take(name string, value float64) {
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
	bytes := strings.HasPrefix(name, "ivydeck_rpc_method_bytes")
	if !bytes && !strings.HasPrefix(name, "ivydeck_rpc_method_messages") {
		return
	}
	if parts := strings.Split(name, `"`); len(parts) == 5 { // {direction="in",method="probe"}
		direction, method = parts[1], parts[3]
	}
	m := s.traffic.Methods[method]
	switch {
	case bytes && direction == "in":
		m.BytesReceived = uint64(value)
	case bytes:
		m.BytesSent = uint64(value)
	case direction == "in":
		m.MessagesReceived = uint64(value)
	default:
		m.MessagesSent = uint64(value)
	}
	s.traffic.Methods[method] = m
}
