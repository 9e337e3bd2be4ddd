// Command latebeat is case 7: a server goes down and comes up again, and the only heartbeat of its first life comes seconds late. The
// node takes the dead life for the newest, ends the one that runs, and refuses its heartbeats from then on.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"review2/mesh"
)

const (
	period   = 1300 * time.Millisecond // gap_s of srv_flap: down for half of it, then up
	lateness = 3 * time.Second         // "A beat may come seconds late"
	settle   = 5 * time.Second
	traffic  = 25 * time.Second
	machine  = 6 // of the service's only server
)

func main() { mesh.Main(mesh.Options{}, run) }

func run(m *mesh.Mesh, trouble bool) bool {
	services := []string{"crew-desk", "punch-ledger"}
	config := mesh.Config(1, services, mesh.Route("roster-view", "idempotent", "/roster/", services[0], 2500, 600, 2, 2), mesh.Route("clock-post", "non_idempotent", "/clock/", services[1], 1500, 400, 0, 2))
	options := mesh.ServerOptions{Work: 40 * time.Millisecond, Quiet: true}
	for n := 1; n <= m.Cores; n++ {
		m.Start(n, "core", "", true)
	}
	for n := 4; n <= machine; n++ {
		m.Start(n, "sidecar", services[n/machine], true)
	}
	m.WaitFor("the first configuration is acknowledged", 20*time.Second, func() bool { return m.Replace(0, config) == 200 })
	for n := 4; n < machine; n++ {
		options.Service, options.Machine = services[0], n
		m.StartServer(options)
	}
	for n := 4; n <= machine; n++ {
		m.WaitFor(fmt.Sprintf("machine %d is ready", n), 20*time.Second, func() bool { return m.Ready(n) })
	}

	// The first life: one heartbeat, through a proxy that delays it, and an end without a word. Nobody has sent it a request.
	delay := time.Duration(0)
	if trouble {
		delay = lateness
	}
	start := time.Now()
	firstLife := mesh.NewID()[:8]
	heartbeat(m, proxy(m, delay), "i-"+firstLife)
	time.Sleep(period / 2)
	m.Record.Logf("server i-%s, the first life, has crashed", firstLife)
	time.Sleep(period / 2)

	// The second life, at the same address.
	options.Service, options.Machine = services[1], machine
	second := m.StartServer(options)
	m.WaitFor("the second life's heartbeat is acknowledged", 10*time.Second, func() bool { return second.Beat() == 200 })
	time.Sleep(lateness + settle - time.Since(start))

	served, sent := [2]int{}, [2]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for end, i := time.Now().Add(traffic), 0; time.Now().Before(end); i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			kind := i % 2
			method, path := "GET", "/roster/1"
			if kind == 1 {
				method, path = "POST", "/clock/1"
			}
			id := mesh.NewID()
			a := m.Do(4+i%3, method, path, id, 1500, []byte("x"))
			m.Record.Logf("%s %s %s is answered %d after %v", id, method, path, a.Status, a.Took.Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			sent[kind]++
			if a.Status == 200 {
				served[kind]++
			}
		}()
		time.Sleep(50 * time.Millisecond)
		if i%20 == 0 {
			m.Record.Logf("a heartbeat of the second life is answered %d", second.Beat())
		}
	}
	clients.Wait()
	all := float64(served[0]+served[1]) / float64(sent[0]+sent[1])
	share := float64(served[1]) / float64(sent[1])
	m.Record.Say("clock-post: %d of %d served; all requests: %.3f; the server runs, and its heartbeat is answered %d", served[1], sent[1], all, second.Beat())
	return share < all/4
}

// heartbeat sends the first heartbeat of a server that crashes soon after. It does not wait for the answer.
func heartbeat(m *mesh.Mesh, address, id string) {
	body := mesh.Encode(mesh.Map{"backend": "punch-ledger", "address": m.Address(machine, mesh.App), "zone": "hall-c", "revision": "v1", "slots": 12, "status": "in_service", "warmup_left_ms": 0, "call_seq": 1})
	go func() {
		client := &http.Client{Timeout: 10 * time.Second}
		resp, err := client.Post("http://"+address+"/members/"+id+"/heartbeat", "application/msgpack", bytes.NewReader(body))
		if err != nil {
			m.Record.Logf("heartbeat of %s: %v", id, err)
			return
		}
		resp.Body.Close()
		m.Record.Logf("the heartbeat of %s, of the first life, is answered %d", id, resp.StatusCode)
	}()
}

// proxy returns the address of a proxy to the node's control_plane address, which delays what it is sent.
func proxy(m *mesh.Mesh, delay time.Duration) string {
	ln, err := net.Listen("tcp", m.IP(machine)+":0")
	if err != nil {
		mesh.Unable("proxy: %v", err)
	}
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		buffer := make([]byte, 8<<10)
		n, _ := conn.Read(buffer)
		time.Sleep(50 * time.Millisecond)
		conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		more, _ := conn.Read(buffer[n:])
		time.Sleep(delay)
		node, err := net.Dial("tcp", m.Address(machine, mesh.Control))
		if err != nil {
			return
		}
		defer node.Close()
		node.Write(buffer[:n+more])
		node.SetReadDeadline(time.Now().Add(2 * time.Second))
		io.Copy(conn, node)
	}()
	return ln.Addr().String()
}
