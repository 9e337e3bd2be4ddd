// Command answers is case 4: clients that are slow to read get large answers at the same time. The platform ends the process for its
// memory, and the requests of all other clients on the machine are lost.
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
	"sync/atomic"
	"syscall"
	"time"

	"review2/mesh"
)

const (
	memoryMB    = 284      // request_limits.memory_mb of the machine
	largeAnswer = 32 << 20 // bytes, half of what a request may have (max_body_bytes, 67,108,864)
	smallAnswer = 5000     // bytes, the mean of the site's answers
	smallBody   = 1200     // bytes, the mean of the site's requests
	slowClients = 16
	slowRead    = 256 << 10             // bytes that a slow client reads at a time
	slowPause   = 20 * time.Millisecond // its pause after that: 32 MiB in 2.6 s
	keptClients = 12
	budgetMs    = 4000
	warmUp      = 3 * time.Second
	watchTime   = 8 * time.Second
	maxLost     = 3 // LOST: more than three times
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
	config := mesh.Config(1, []string{"crew"}, mesh.Route("hours-approve", "non_idempotent", "/hours/", "crew", 4000, 800, 1, 2),
		mesh.Route("roster-view", "idempotent", "/roster/", "crew", 4000, 1000, 2, 1))
	var answer atomic.Int64
	nodes, servers := m.StartAll(config, []string{"crew", "crew"}, func(int) mesh.ServerOptions {
		return mesh.ServerOptions{Run: func(s *mesh.Server, conn net.Conn, request *http.Request, _ []byte) bool {
			if request.Method == "GET" {
				return s.Answer(conn, request.Header.Get("Attempt-Id"), 200, strings.Repeat("a", int(answer.Load())))
			}
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
	answer.Store(smallAnswer)
	if trouble {
		answer.Store(largeAnswer)
	}
	var slow sync.WaitGroup
	for i := range slowClients {
		slow.Add(1)
		go func() { defer slow.Done(); readSlowly(m, node.N, i) }()
	}
	slow.Wait()
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

// readSlowly sends one request and reads its answer slowly, but within its time.
func readSlowly(m *mesh.Mesh, n, i int) {
	time.Sleep(time.Duration(i) * 10 * time.Millisecond)
	conn, err := net.DialTimeout("tcp", m.Address(n, mesh.Outbound), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(slowRead)
	id, start, total := mesh.NewID(), time.Now(), 0
	conn.SetDeadline(start.Add(budgetMs * time.Millisecond))
	conn.Write(mesh.Request("GET", "/roster/all", id, budgetMs, nil))
	buffer := make([]byte, slowRead)
	first := ""
	for {
		k, err := conn.Read(buffer)
		if first == "" && k > 12 {
			first = string(buffer[9:12])
		}
		total += k
		if err != nil || total >= int(largeAnswer) || total > smallAnswer && k < 1000 || first != "200" || total > smallAnswer && total < 2*smallAnswer {
			m.Record.Logf("slow client %d: %s, status %s, %d bytes read in %v (%v)", i, id, first, total, time.Since(start).Round(time.Millisecond), err)
			return
		}
		time.Sleep(slowPause)
	}
}
