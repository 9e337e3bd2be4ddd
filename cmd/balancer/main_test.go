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

// The test's program stands in for the command where this variable is set.
const asCommand = "CURLEWRING_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(asCommand) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// command prepares the program with a configuration.
func command(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asCommand+"=1", "LB_CONFIG="+path)
	var log bytes.Buffer
	cmd.Stderr = &log
	return cmd, &log
}

// A bad configuration must end the start with one clear line and a code that
// the platform can see, not with a node that can't serve.
func TestBadConfigurationEndsTheStart(t *testing.T) {
	cmd, log := command(t, `{"listen":"nowhere"}`)
	err := cmd.Run()
	if _, failed := err.(*exec.ExitError); !failed {
		t.Errorf("ended with %v, want an exit code other than 0", err)
	}
	if text := log.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, "listen") {
		t.Errorf("printed %q", text)
	}
}

// config is one with which the program listens at address.
func config(address, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"5",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
		"known":{"generation":1,"reset":true,"instances":[
			{"instanceId":"s0","hostPort":"127.0.0.1:1","lifecycle":"SERVING"}]},
		"settings":{"registry_mode":"subscribe","categories":[{"name":"look","semantics":"repeatable",
			"aim_ns":1000000000,"deadline_ns":2000000000,"worth":1}]}}`, address, discovery)
}

// freeAddress is one to listen at.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// waitReady waits until the program serves.
func waitReady(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatalf("never ready: %v", err)
		}
	}
}

// The program must serve from its last list, and end in order on SIGTERM.
func TestStartAndPlannedEnd(t *testing.T) {
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
		t.Errorf("ended with %v: %s", err, log)
	}
}

// With little alive the heap must be collected before it has grown by much: a
// node's memory counts as growing until it has reached its level.
func TestHeapLevelsOffEarly(t *testing.T) {
	limitMemory(64)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	if m.HeapAlloc > 4<<20 {
		t.Fatalf("the test itself holds %d bytes", m.HeapAlloc)
	}
	if m.NextGC > 8<<20 {
		t.Errorf("with %d bytes alive the heap is next collected at %d", m.HeapAlloc, m.NextGC)
	}
}

// On SIGHUP the program must turn to the discovery that the file names now, and
// keep what it has where the file is bad.
func TestReplacedConfiguration(t *testing.T) {
	asked := make(chan struct{}, 100)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked <- struct{}{}
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
	kept := make(chan bool, 1)
	go func() { // ends with the program
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if strings.Contains(lines.Text(), "config.reload_failed") {
				kept <- true
			}
		}
		close(kept)
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
	late := time.AfterFunc(20*time.Second, func() { cmd.Process.Kill() })
	defer late.Stop()
	replace("{")
	if !<-kept {
		t.Fatal("a bad configuration was not logged, or ended the program")
	}
	waitReady(t, address)
	replace(config(address, discovery.Listener.Addr().String()))
	select {
	case <-asked:
	case <-time.After(20 * time.Second):
		t.Error("the new address was not asked")
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for range kept { // the log is read to its end
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}
