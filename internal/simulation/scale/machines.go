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

// list returns the processes of some roles; of all if none is named.
func (r *run) list(roles ...role) (list []*child) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.children {
		if len(roles) == 0 || slices.Contains(roles, c.role) {
			list = append(list, c)
		}
	}
	return list
}

func (r *run) add(c *child) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children = append(r.children, c)
}

// stopAll kills all processes that the run has started, by their ids, and waits for their ends.
func (r *run) stopAll() {
	for _, s := range r.servers {
		s.Stop()
	}
	r.servers = nil
	r.killAll()
}

func (r *run) killAll(roles ...role) {
	var ending sync.WaitGroup
	for _, c := range r.list(roles...) {
		ending.Go(c.kill)
	}
	ending.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children = slices.DeleteFunc(r.children, func(c *child) bool { return len(roles) == 0 || slices.Contains(roles, c.role) })
}

// settings writes the settings file of a real process.
func (r *run) settings(machine int, class string) (string, error) {
	ip := r.ip(machine)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	var seeds []string
	for member := range quorumSize {
		seeds = append(seeds, fmt.Sprintf("%s:%d", r.ip(member), r.ports.Control))
	}
	lines := []string{
		"node_name=" + nodeName(machine), "machine_class=" + class, "ip_address=" + ip, "zone=" + r.zone(machine),
		"listeners.control_plane=" + at(r.ports.Control), "listeners.outbound=" + at(r.ports.Outbound),
		"listeners.readiness=" + at(r.ports.Readiness), "metrics.address=" + at(r.ports.Metrics), "app_address=" + at(r.ports.Server),
		"backend=" + serviceName(machine%r.Services), fmt.Sprintf("internal_ports=%d", r.ports.Nodes), "bootstrap=true",
		"data_dir=" + filepath.Join(r.dir, nodeName(machine)), fmt.Sprintf("heartbeat_ms=%d", heartbeat.Milliseconds()),
		"request_limits.memory_mb=2048", "seed_nodes=" + strings.Join(seeds, ","),
	}
	file := filepath.Join(r.dir, nodeName(machine)+".conf")
	return file, os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// startReal starts a real process of a machine.
func (r *run) startReal(machine int, class, program string, as role) error {
	file, err := r.settings(machine, class)
	if err != nil {
		return err
	}
	c, err := startChild(r.dir, nodeName(machine), as, filepath.Join(r.Programs, program), "--settings", file)
	if err != nil {
		return err
	}
	c.machines, c.metrics = []int{machine}, fmt.Sprintf("http://%s:%d/metrics", r.ip(machine), r.ports.Metrics)
	r.add(c)
	return nil
}

// startQuorum starts the quorum members.
func (r *run) startQuorum() error {
	for machine := range quorumSize {
		if err := r.startReal(machine, "core", "ivydeck-control", quorumRole); err != nil {
			return err
		}
	}
	return nil
}

// startRealNodes starts the real nodes.
func (r *run) startRealNodes() error {
	for machine := quorumSize; machine < quorumSize+r.Real; machine++ {
		if err := r.startReal(machine, "sidecar", "ivydeck-data", realRole); err != nil {
			return err
		}
		r.running[machine] = true
	}
	return nil
}

// startServers starts the stand-ins beside real nodes.
func (r *run) startServers() error {
	for machine := quorumSize; machine < quorumSize+r.Real; machine++ {
		ip := r.ip(machine)
		s, err := standin.Start(standin.Options{ID: serverName(machine), Service: serviceName(machine % r.Services), Zone: r.zone(machine),
			Address: fmt.Sprintf("%s:%d", ip, r.ports.Server), Control: fmt.Sprintf("%s:%d", ip, r.ports.Control), Slots: slots, Heartbeat: heartbeat})
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
	}
	return nil
}

// startHollow starts the processes of hollow nodes, without any nodes yet.
func (r *run) startHollow(ctx context.Context) error {
	first := quorumSize + r.Real
	for i := range r.processes() {
		c, err := startChild(r.dir, fmt.Sprintf("hollow-%03d", i), hollowRole, r.Self, HollowCommand)
		if err != nil {
			return err
		}
		for machine := first + i*r.perProcess; machine < min(first+(i+1)*r.perProcess, quorumSize+r.Nodes); machine++ {
			c.machines = append(c.machines, machine)
		}
		r.add(c)
		if err := c.in.Encode(&job{Network: r.network, Real: r.Real, Zones: r.Zones, Regions: r.Regions, Services: r.Services, Ports: r.ports}); err != nil {
			return fmt.Errorf("%s: %w", c.name, errEnded)
		}
	}
	if _, err := r.each(func(*child) *command { return &command{State: true} }); err != nil { // they are there
		return err
	}
	samples, err := r.samples(ctx, hollowRole)
	for c, s := range samples {
		c.base, c.baseFiles = s.resident, s.files
		r.report.BaseMB += megabytes(s.resident) / float64(len(samples))
	}
	return err
}

// each calls all hollow processes concurrently; f makes the command for each, nil: none.
func (r *run) each(f func(c *child) *command) ([]*answer, error) {
	var mu sync.Mutex
	var answers []*answer
	var faults []error
	var asking sync.WaitGroup
	for _, c := range r.list(hollowRole) {
		q := f(c)
		if q == nil {
			continue
		}
		asking.Go(func() {
			a, err := c.call(q)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				faults = append(faults, err)
				return
			}
			answers = append(answers, a)
		})
	}
	asking.Wait()
	return answers, errors.Join(faults...)
}

// change starts or stops hollow nodes of some machines, in each process its own.
func (r *run) change(machines []int, build func(mine []int) *command) error {
	wanted := map[int]bool{}
	for _, m := range machines {
		wanted[m] = true
	}
	_, err := r.each(func(c *child) *command {
		var mine []int
		for _, m := range c.machines {
			if wanted[m] {
				mine = append(mine, m)
			}
		}
		if len(mine) == 0 {
			return nil
		}
		return build(mine)
	})
	return err
}

func (r *run) startNodes(machines []int) error {
	for _, m := range machines {
		r.running[m] = true
	}
	return r.change(machines, func(mine []int) *command { return &command{Start: mine} })
}

// stopNodes ends hollow nodes: planned ones gracefully, others like the loss of their machines.
func (r *run) stopNodes(machines []int, planned bool) error {
	for _, m := range machines {
		delete(r.running, m)
	}
	return r.change(machines, func(mine []int) *command {
		if planned {
			return &command{Leave: mine}
		}
		return &command{Stop: mine}
	})
}

// hollowMachines are all hollow nodes.
func (r *run) hollowMachines() (list []int) {
	for m := quorumSize + r.Real; m < quorumSize+r.Nodes; m++ {
		list = append(list, m)
	}
	return list
}
