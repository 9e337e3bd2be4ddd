package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"ivydeck/internal/simulation/standin"
)

// childrenOf returns the processes of the given roles, or all processes if no role is given.
func (r *run) childrenOf(roles ...role) (children []*child) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.children {
		if len(roles) == 0 || slices.Contains(roles, c.role) {
			children = append(children, c)
		}
	}
	return children
}

func (r *run) add(c *child) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children = append(r.children, c)
}

// stopAll stops the stand-in servers and kills all processes that the run has started. It waits until they have ended.
func (r *run) stopAll() {
	for _, s := range r.servers {
		s.Stop()
	}
	r.servers = nil
	r.killAll()
}

func (r *run) killAll(roles ...role) {
	var kills sync.WaitGroup
	for _, c := range r.childrenOf(roles...) {
		kills.Go(c.kill)
	}
	kills.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children = slices.DeleteFunc(r.children, func(c *child) bool { return len(roles) == 0 || slices.Contains(roles, c.role) })
}

// writeSettings writes the settings file of a real process and returns its path.
func (r *run) writeSettings(machine int, class string) (string, error) {
	ip := r.ip(machine)
	endpoint := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	var seeds []string
	for member := range quorumSize {
		seeds = append(seeds, fmt.Sprintf("%s:%d", r.ip(member), r.ports.Control))
	}
	lines := []string{
		"node_name=" + nodeName(machine), "machine_class=" + class, "ip_address=" + ip, "zone=" + r.zone(machine),
		"listeners.control_plane=" + endpoint(r.ports.Control), "listeners.outbound=" + endpoint(r.ports.Outbound),
		"listeners.readiness=" + endpoint(r.ports.Readiness), "metrics.address=" + endpoint(r.ports.Metrics), "app_address=" + endpoint(r.ports.Server),
		"backend=" + serviceName(machine%r.Services), fmt.Sprintf("internal_ports=%d", r.ports.Nodes), "bootstrap=true",
		"data_dir=" + filepath.Join(r.dir, nodeName(machine)), fmt.Sprintf("heartbeat_ms=%d", heartbeatInterval.Milliseconds()),
		"request_limits.memory_mb=2048", "seed_nodes=" + strings.Join(seeds, ","),
	}
	file := filepath.Join(r.dir, nodeName(machine)+".conf")
	return file, os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// startReal starts the program of a machine in a separate process.
func (r *run) startReal(machine int, class, program string, processRole role) error {
	file, err := r.writeSettings(machine, class)
	if err != nil {
		return err
	}
	c, err := startChild(r.dir, nodeName(machine), processRole, filepath.Join(r.Programs, program), "--settings", file)
	if err != nil {
		return err
	}
	c.machines, c.metricsURL = []int{machine}, fmt.Sprintf("http://%s:%d/metrics", r.ip(machine), r.ports.Metrics)
	r.add(c)
	return nil
}

// startQuorum starts a quorum member on each of the first quorumSize machines.
func (r *run) startQuorum() error {
	for machine := range quorumSize {
		if err := r.startReal(machine, "core", "ivydeck-control", quorumRole); err != nil {
			return err
		}
	}
	return nil
}

// startRealNodes starts the sidecars of the real nodes, on the machines after those of the quorum.
func (r *run) startRealNodes() error {
	for machine := quorumSize; machine < quorumSize+r.Real; machine++ {
		if err := r.startReal(machine, "sidecar", "ivydeck-data", realRole); err != nil {
			return err
		}
		r.running[machine] = true
	}
	return nil
}

// startServers starts a stand-in server beside each real node.
func (r *run) startServers() error {
	for machine := quorumSize; machine < quorumSize+r.Real; machine++ {
		ip := r.ip(machine)
		s, err := standin.Start(standin.Options{ID: serverName(machine), Service: serviceName(machine % r.Services), Zone: r.zone(machine),
			Address: fmt.Sprintf("%s:%d", ip, r.ports.Server), Control: fmt.Sprintf("%s:%d", ip, r.ports.Control), Slots: serverSlots, Heartbeat: heartbeatInterval})
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
	}
	return nil
}

// startHollow starts the processes for hollow nodes and records their base usage, before they run any nodes.
func (r *run) startHollow(ctx context.Context) error {
	first := quorumSize + r.Real
	for i := range r.processCount() {
		c, err := startChild(r.dir, fmt.Sprintf("hollow-%03d", i), hollowRole, r.Self, HollowCommand)
		if err != nil {
			return err
		}
		for machine := first + i*r.perProcess; machine < min(first+(i+1)*r.perProcess, quorumSize+r.Nodes); machine++ {
			c.machines = append(c.machines, machine)
		}
		r.add(c)
		if err := c.commands.Encode(&job{Network: r.network, Real: r.Real, Zones: r.Zones, Regions: r.Regions, Services: r.Services, Ports: r.ports}); err != nil {
			return fmt.Errorf("%s: %w", c.name, errExited)
		}
	}
	if _, err := r.each(func(*child) *command { return &command{State: true} }); err != nil { // waits until the processes respond
		return err
	}
	samples, err := r.samples(ctx, hollowRole)
	for c, s := range samples {
		c.baseResident, c.baseFiles = s.resident, s.files
		r.report.BaseMB += megabytes(s.resident) / float64(len(samples))
	}
	return err
}

// each sends commands to all hollow processes concurrently and returns their responses. build returns the command for a
// process, or nil to skip it.
func (r *run) each(build func(c *child) *command) ([]*response, error) {
	var mu sync.Mutex
	var responses []*response
	var errs []error
	var calls sync.WaitGroup
	for _, c := range r.childrenOf(hollowRole) {
		request := build(c)
		if request == nil {
			continue
		}
		calls.Go(func() {
			resp, err := c.call(request)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				errs = append(errs, err)
				return
			}
			responses = append(responses, resp)
		})
	}
	calls.Wait()
	return responses, errors.Join(errs...)
}

// sendToOwners sends a command to each hollow process that runs some of the machines. build returns the command for these.
func (r *run) sendToOwners(machines []int, build func(owned []int) *command) error {
	wanted := map[int]bool{}
	for _, m := range machines {
		wanted[m] = true
	}
	_, err := r.each(func(c *child) *command {
		var owned []int
		for _, m := range c.machines {
			if wanted[m] {
				owned = append(owned, m)
			}
		}
		if len(owned) == 0 {
			return nil
		}
		return build(owned)
	})
	return err
}

func (r *run) startNodes(machines []int) error {
	for _, m := range machines {
		r.running[m] = true
	}
	return r.sendToOwners(machines, func(owned []int) *command { return &command{Start: owned} })
}

// stopNodes ends hollow nodes, gracefully if planned is true, otherwise like machine failures.
func (r *run) stopNodes(machines []int, planned bool) error {
	for _, m := range machines {
		delete(r.running, m)
	}
	return r.sendToOwners(machines, func(owned []int) *command {
		if planned {
			return &command{Leave: owned}
		}
		return &command{Stop: owned}
	})
}

// hollowMachines returns the machines of all hollow nodes.
func (r *run) hollowMachines() (list []int) {
	for m := quorumSize + r.Real; m < quorumSize+r.Nodes; m++ {
		list = append(list, m)
	}
	return list
}
