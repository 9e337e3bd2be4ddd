// Command nested is case 5: an operator sends one invalid configuration, which cannot be read whole, until it gets a clear answer.
package main

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"review2/mesh"
)

const (
	memoryMB     = 280             // request_limits.memory_mb of a core machine
	bodyBytes    = 4_000_000       // size of the invalid configuration
	callWait     = 3 * time.Second // "a second of silence (more for large bodies)"
	firstPause   = 200 * time.Millisecond
	maxPause     = 2 * time.Second
	restartAfter = 500 * time.Millisecond
	sendFor      = 60 * time.Second
	endsPerCore  = 3 // "processes end by themselves three times"
	coresAtFault = 2 // half of the core, and two at least
)

func main() { mesh.Main(mesh.Options{}, run) }

func run(m *mesh.Mesh, trouble bool) bool {
	config := mesh.Config(1, []string{"crew-desk"}, mesh.Route("roster-view", "idempotent", "/roster/", "crew-desk", 2500, 600, 2, 1))
	m.StartAll(config, []string{"crew-desk"}, func(int) mesh.ServerOptions { return mesh.ServerOptions{Work: 20 * time.Millisecond} })
	time.Sleep(2 * time.Second)

	// The platform ends a process that goes over its memory, and starts it again.
	done := make(chan struct{})
	var ends [4]atomic.Int64
	for n := 1; n <= m.Cores; n++ {
		go watch(m, n, &ends[n], done)
	}

	// A configuration with one more key, whose value is cut short: arrays, nested with the trouble, flat without it.
	valid := mesh.Encode(mesh.Map{"revision": 2, "zz": "x"})
	body := append([]byte{}, valid[:bytes.Index(valid, []byte("\x02zz"))+3]...)
	if trouble {
		body = append(body, bytes.Repeat([]byte{0x91}, bodyBytes)...) // an array of one element, which is an array of one element, ...
	} else {
		body = append(append(body, 0xdd, 0x00, 0xff, 0xff, 0xff), bytes.Repeat([]byte{0x01}, bodyBytes)...) // an array of 16,777,215 numbers
	}
	status := sendUntilAnswered(m, body)
	close(done)
	time.Sleep(100 * time.Millisecond)

	atFault, total := 0, int64(0)
	for n := 1; n <= m.Cores; n++ {
		total += ends[n].Load()
		if ends[n].Load() >= endsPerCore {
			atFault++
		}
	}
	m.Record.Say("the invalid configuration's last answer: %d; core processes ended for their memory: %d, %d and %d times; machines with %d or more: %d", status, ends[1].Load(), ends[2].Load(), ends[3].Load(), endsPerCore, atFault)
	return atFault >= coresAtFault
}

// sendUntilAnswered sends the order to one member after another, as the page says, until it gets a 400, 409, 412, 413 or 422.
func sendUntilAnswered(m *mesh.Mesh, body []byte) int {
	client := &http.Client{Timeout: callWait, Transport: &http.Transport{DisableKeepAlives: true}}
	status, pause := 0, firstPause
	for n, end := 1, time.Now().Add(sendFor); time.Now().Before(end); n = n%m.Cores + 1 {
		req, _ := http.NewRequest("POST", "http://"+m.Address(n, mesh.Control)+"/config/replace", bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/msgpack")
		req.Header.Set("Base-Revision", "1")
		start := time.Now()
		resp, err := client.Do(req)
		text := []byte(nil)
		status = 0
		if err == nil {
			text, _ = io.ReadAll(resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
		}
		m.Record.Logf("operator: an invalid configuration of %d bytes to machine %d: %d %.80s (%v) after %v", len(body), n, status, strings.TrimSpace(string(text)), err, time.Since(start).Round(time.Millisecond))
		switch status {
		case 400, 409, 412, 413, 422:
			return status
		}
		time.Sleep(pause)
		pause = min(2*pause, maxPause)
	}
	return status
}

// watch is the platform at one core machine.
func watch(m *mesh.Mesh, n int, ends *atomic.Int64, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
		x := m.Machine(n)
		held := anonymousMB(x.Pid())
		byItself := x.Ended()
		if held <= memoryMB && !byItself {
			continue
		}
		if !byItself {
			x.Signal(syscall.SIGKILL)
			<-x.Done
		}
		ends.Add(1)
		m.Record.Logf("machine %d: the process has ended, for its memory: %v (%d MiB of anonymous memory; memory_mb is %d)", n, !byItself, held, memoryMB)
		select {
		case <-done:
			return
		case <-time.After(restartAfter):
		}
		m.Start(n, "core", "", false)
	}
}

func anonymousMB(pid int) int {
	text, _ := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	for line := range strings.SplitSeq(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}
