// Command backend is case 6: the server of a machine ends, its address goes to a server of another service, and the settings file
// names that service from then on.
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
	settle       = 5 * time.Second // more than contact_ms and config_apply_ms
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
	if trouble {
		old := servers[0]
		old.SetStatus("draining")
		m.WaitFor("the server's draining is acknowledged", 5*time.Second, func() bool { return old.Beat() == 200 })
		time.Sleep(drain + 500*time.Millisecond)
		m.Record.Logf("server %s deregisters: %d", old.ID, old.Deregister())
		old.Close()
		time.Sleep(addressReuse + 500*time.Millisecond)
		service = "punch-ledger"
		m.Rewrite(moved, service)
		nodes[0].Signal(syscall.SIGHUP)
		options.Service, options.Machine = service, moved
		m.StartServer(options)
	}
	time.Sleep(settle)
	m.WaitFor("machine 4 is ready", 10*time.Second, func() bool { return m.Ready(moved) })
	send("after")
	m.Record.Say("%d runs had a Caller-Service that is not the service of the machine where the request began", wrong)
	return wrong > 0
}
