package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The test binary runs main instead of the tests if this variable is set.
const runMainVariable = "BALANCER_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// command returns a command that runs the program with a configuration file, and the
// buffer for its log.
func command(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runMainVariable+"=1", "LB_CONFIG="+path)
	var log bytes.Buffer
	cmd.Stderr = &log
	return cmd, &log
}

// With an invalid configuration the program must print one line and exit with a non-zero
// code.
func TestStartWithInvalidConfiguration(t *testing.T) {
	cmd, log := command(t, `{"listen":"nowhere"}`)
	err := cmd.Run()
	if _, failed := err.(*exec.ExitError); !failed {
		t.Errorf("the program returned %v, want a non-zero exit code", err)
	}
	if text := log.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, "listen") {
		t.Errorf("printed %q, want one line that mentions listen", text)
	}
}

// config returns a configuration file with the given addresses.
func config(address, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"5",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
		"known":{"generation":1,"reset":true,"instances":[
			{"instanceId":"s0","hostPort":"127.0.0.1:1","lifecycle":"SERVING"}]},
		"settings":{"registry_mode":"subscribe","categories":[{"name":"look","semantics":"repeatable",
			"aim_ns":1000000000,"deadline_ns":2000000000,"worth":1}]}}`, address, discovery)
}

// freeAddress returns an address that is free to listen on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// waitReady waits until the program reports that it is ready.
func waitReady(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until the program is ready: %v", err)
		}
	}
}

// The program must serve from its stored list and exit gracefully on SIGTERM.
func TestStartAndShutdown(t *testing.T) {
	address := freeAddress(t)
	cmd, log := command(t, config(address, "127.0.0.1:1"))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	waitReady(t, address)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program returned %v: %s", err, log)
	}
}

// With a small live heap, the next collection must follow after little growth: a heap that
// grows for a long time looks like a leak.
func TestSmallHeapGrowth(t *testing.T) {
	limitMemory(64)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	if m.HeapAlloc > 4<<20 {
		t.Fatalf("the test itself uses %d bytes of heap", m.HeapAlloc)
	}
	if m.NextGC > 8<<20 {
		t.Errorf("with %d live bytes the next collection is at %d bytes, want at most 8 MiB", m.HeapAlloc, m.NextGC)
	}
}

// On SIGHUP the program must use the new address of discovery, and keep its configuration
// if the file is invalid.
func TestReplacedConfiguration(t *testing.T) {
	called := make(chan struct{}, 100)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		called <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer discovery.Close()
	address := freeAddress(t)
	cmd, _ := command(t, config(address, "127.0.0.1:1"))
	cmd.Stderr = nil
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	reloadFailed := make(chan bool, 1)
	go func() { // ends with the program
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if strings.Contains(lines.Text(), "config.reload_failed") {
				reloadFailed <- true
			}
		}
		close(reloadFailed)
	}()
	waitReady(t, address)
	replace := func(text string) {
		t.Helper()
		var path string
		for _, v := range cmd.Env {
			if name, value, _ := strings.Cut(v, "="); name == "LB_CONFIG" {
				path = value
			}
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	watchdog := time.AfterFunc(20*time.Second, func() { cmd.Process.Kill() })
	defer watchdog.Stop()
	replace("{")
	if !<-reloadFailed {
		t.Fatal("an invalid configuration was not logged, or ended the program")
	}
	waitReady(t, address)
	replace(config(address, discovery.Listener.Addr().String()))
	select {
	case <-called:
	case <-time.After(20 * time.Second):
		t.Error("the new address of discovery was not called")
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for range reloadFailed { // read the log to its end
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program returned %v", err)
	}
}
