// Command backend is case 6: the server of a machine ends, its address goes to a server of another service, and the settings file of
// the running node changes: it names that service from then on. With TROUBLE=0 the file names it when the node starts.
package main

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"review2/mesh"
)

const (
	addressReuse = 2 * time.Second // bounds.addr_reuse_s
	drain        = 2 * time.Second // bounds.drain_ms
	settle       = 6 * time.Second // more than contact_ms and config_apply_ms, from the last start and signal
	grace        = 6 * time.Second // bounds.grace_s
	restartAfter = 500 * time.Millisecond
)

func main() { mesh.Main(mesh.Options{}, run) }

func run(m *mesh.Mesh, trouble bool) bool {
	const moved, other = 4, 5 // machines
	config := mesh.Config(1, []string{"crew-desk", "punch-ledger"},
		mesh.Route("clock-post", "non_idempotent", "/clock/", "punch-ledger", 1500, 400, 0, 2), mesh.Route("roster-view", "idempotent", "/roster/", "crew-desk", 2500, 600, 2, 2))
	var mu sync.Mutex
	callers := map[string][]string{} // Caller-Service of each run, by Attempt-Id
	options := mesh.ServerOptions{Run: func(s *mesh.Server, conn net.Conn, request *http.Request, _ []byte) bool {
		id := request.Header.Get("Attempt-Id")
		mu.Lock()
		callers[id] = append(callers[id], request.Header.Get("Caller-Service"))
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		return s.Answer(conn, id, 200, "done")
	}}
	nodes, servers := m.StartAll(config, []string{"crew-desk", "punch-ledger", "punch-ledger", "crew-desk"}, func(int) mesh.ServerOptions { return options })
	service := "crew-desk"
	wrong := 0
	send := func(label string) {
		for range 10 {
			for _, path := range []string{"/clock/1", "/roster/1"} {
				id := mesh.NewID()
				a := m.Do(moved, "POST", path, id, 1500, []byte("hours"))
				mu.Lock()
				for _, caller := range callers[id] {
					if caller != service {
						wrong++
						m.Record.Logf("UNASKED: %s of %s was run with Caller-Service %q; the server on machine %d is of %q", id, path, caller, moved, service)
					}
				}
				m.Record.Logf("%s: %s %s is answered %d, Caller-Service %v", label, id, path, a.Status, callers[id])
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	send("before")
	// The server of the machine leaves in order, and the node is stopped and started, as the pages say.
	old := servers[0]
	old.SetStatus("draining")
	m.WaitFor("the server's draining is acknowledged", 5*time.Second, func() bool { return old.Beat() == 200 })
	time.Sleep(drain + 500*time.Millisecond)
	m.Record.Logf("server %s deregisters: %d", old.ID, old.Deregister())
	old.Close()
	ended := time.Now()
	nodes[0].Signal(syscall.SIGTERM)
	select {
	case <-nodes[0].Done:
	case <-time.After(grace):
		mesh.Unable("the node has not ended in grace_s")
	}
	time.Sleep(restartAfter)
	named := service // by the settings file at the start
	service = "punch-ledger"
	if !trouble {
		named = service
	}
	node := m.Start(moved, "sidecar", named, false)
	time.Sleep(max(time.Second, addressReuse+500*time.Millisecond-time.Since(ended)))

	// The address goes to a server of another service, which the settings file names from now on, if it did not before.
	if trouble {
		m.Rewrite(moved, service)
		node.Signal(syscall.SIGHUP)
	}
	options.Service, options.Machine = service, moved
	m.StartServer(options)
	time.Sleep(settle)
	m.WaitFor("machine 4 is ready", 10*time.Second, func() bool { return m.Ready(moved) })
	send("after")
	m.Record.Say("%d runs had a Caller-Service that is not the service of the machine where the request began", wrong)
	return wrong > 0
}
