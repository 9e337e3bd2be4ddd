// Command bodies is case 4: four clients send a body of half of max_body_bytes each, at the same time. The platform ends the
// process for its memory, and the requests of all other clients on the machine are lost.
package main

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"review2/mesh"
)

const (
	memoryMB     = 284      // request_limits.memory_mb of the machine
	largeBody    = 32 << 20 // bytes, half of max_body_bytes (67,108,864)
	smallBody    = 1200     // bytes, the mean of the site's requests
	largeClients = 4
	keptClients  = 24
	budgetMs     = 3000
	warmUp       = 3 * time.Second
	watchTime    = 8 * time.Second
	maxLost      = 3 // LOST: more than three times
)

// sent is a request of a client with a kept connection.
type sent struct {
	id     string
	at     time.Time
	status int // 0 if the connection ended without a whole answer
	ended  time.Time
	err    error
}

func main() {
	mesh.Main(mesh.Options{MemoryMB: memoryMB}, run)
}

func run(m *mesh.Mesh, trouble bool) bool {
	config := mesh.Config(1, []string{"crew"}, mesh.Route("hours-approve", "non_idempotent", "/hours/", "crew", 3000, 800, 1, 2))
	nodes, servers := m.StartAll(config, []string{"crew", "crew"}, func(int) mesh.ServerOptions {
		return mesh.ServerOptions{Run: func(s *mesh.Server, conn net.Conn, request *http.Request, _ []byte) bool {
			time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond) // 210 ms on average, as hours-approve
			return s.Answer(conn, request.Header.Get("Attempt-Id"), 200, "done")
		}}
	})
	node := nodes[0]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	results := make(chan sent, 100_000)
	for range keptClients {
		clients.Add(1)
		go func() { defer clients.Done(); keepSending(m, node.N, stop, results) }()
	}
	time.Sleep(warmUp)

	killed := make(chan struct{})
	watching := make(chan struct{})
	go watchMemory(m, node, killed, watching)
	size := smallBody
	if trouble {
		size = largeBody
	}
	body := bytes.Repeat([]byte("x"), size)
	var large sync.WaitGroup
	for i := range largeClients {
		large.Add(1)
		go func() {
			defer large.Done()
			id := mesh.NewID()
			m.Record.Logf("client %d sends %s, a body of %d bytes, on a new connection", i, id, size)
			a := m.Do(node.N, "POST", "/hours/large", id, budgetMs, body)
			m.Record.Logf("client %d: %s is answered %d after %v (%v); run %d times", i, id, a.Status, a.Took.Round(time.Millisecond), a.Err, servers[0].Ran(id)+servers[1].Ran(id))
		}()
	}
	large.Wait()
	select {
	case <-killed:
	case <-time.After(watchTime):
	}
	close(watching)
	close(stop)
	clients.Wait()
	close(results)
	time.Sleep(300 * time.Millisecond)

	lost, answered := 0, 0
	for r := range results {
		runs := servers[0].Ran(r.id) + servers[1].Ran(r.id)
		switch {
		case r.status != 0:
			answered++
		case runs > 0 && r.ended.Sub(r.at) < budgetMs*time.Millisecond:
			lost++
			m.Record.Logf("LOST: %s was sent on a kept connection, run %d times, and its connection ended without an answer after %v: %v", r.id, runs, r.ended.Sub(r.at).Round(time.Millisecond), r.err)
		default:
			m.Record.Logf("no answer to %s after %v: %v; not run", r.id, r.ended.Sub(r.at).Round(time.Millisecond), r.err)
		}
	}
	_, peak := node.RSS()
	m.Record.Say("%d requests answered, %d passed on to a sound server and ended without an answer (bound: %d); ended for its memory: %v; peak now %d MiB", answered, lost, maxLost, node.Ended(), peak)
	return lost > maxLost
}

// watchMemory is the platform: it ends a process that goes over memory_mb. It counts the anonymous memory alone, without the
// program's own file.
func watchMemory(m *mesh.Mesh, x *mesh.Machine, killed, done chan struct{}) {
	highest := 0
	for {
		select {
		case <-done:
			m.Record.Logf("the process's memory was %d MiB at most", highest)
			return
		case <-time.After(time.Millisecond):
		}
		highest = max(highest, anonymousMB(x.Pid()))
		if highest > memoryMB {
			x.Signal(syscall.SIGKILL)
			m.Record.Logf("the platform ends the process of machine %d: %d MiB of anonymous memory, memory_mb is %d", x.N, highest, memoryMB)
			<-x.Done
			close(killed)
			<-done
			return
		}
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

// keepSending sends one request after another on one connection. It ends with the connection.
func keepSending(m *mesh.Mesh, n int, stop chan struct{}, results chan sent) {
	conn, err := net.DialTimeout("tcp", m.Address(n, mesh.Outbound), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	body := bytes.Repeat([]byte("y"), smallBody)
	for {
		select {
		case <-stop:
			return
		default:
		}
		s := sent{id: mesh.NewID(), at: time.Now()}
		conn.SetDeadline(s.at.Add((budgetMs + 500) * time.Millisecond))
		conn.Write(mesh.Request("POST", "/hours/kept", s.id, budgetMs, body))
		a := mesh.ReadAnswer(r, "POST")
		s.status, s.err, s.ended = a.Status, a.Err, time.Now()
		results <- s
		if a.Status == 0 {
			return
		}
	}
}
