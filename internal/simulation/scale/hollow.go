package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/distribution/agent"
	"ivydeck/internal/transport/rpc"
)

// HollowCommand is the command of Options.Self that calls RunHollow.
const HollowCommand = "hollow"

const (
	heartbeatInterval = 500 * time.Millisecond
	maxArrivals       = 1024 // maximum number of arrivals that a node keeps
	serverSlots       = 16   // concurrent requests that a server accepts

	deregisterTimeout = 2 * time.Second // maximum time until the registry has dropped the server of a leaving node
	deregisterPoll    = 50 * time.Millisecond
	leaveTimeout      = 300 * time.Millisecond // timeout of the leave message to other members
)

// hollowNode is the control-plane part of a node. It carries no requests.
type hollowNode struct {
	machine        int
	agent          *agent.Agent
	server         localserver.Heartbeat
	deregistered   atomic.Bool   // the node no longer reports its server
	serversChanged chan struct{} // signals a change of deregistered to the agent
	cancel         context.CancelFunc
	done           chan struct{} // closed when all goroutines of the node have ended

	mu       sync.Mutex
	arrivals []arrival // oldest first
}

// arrival records when a node first had all updates up to an index.
type arrival struct {
	index uint64
	at    time.Time
}

// hollowProcess holds the hollow nodes of this process.
type hollowProcess struct {
	job     job
	network *network
	nodes   map[int]*hollowNode
}

// RunHollow reads a job and then commands from input as JSON, and writes a response to each command to output. At the end
// of the input, it stops all nodes and returns.
func RunHollow(input io.Reader, output io.Writer) error {
	decoder, encoder := json.NewDecoder(input), json.NewEncoder(output)
	p := &hollowProcess{nodes: map[int]*hollowNode{}}
	defer func() {
		for machine := range p.nodes {
			p.stop(machine)
		}
	}()
	if err := decoder.Decode(&p.job); err != nil {
		return fmt.Errorf("reading the job: %w", err)
	}
	p.network = newNetwork(&p.job)
	for {
		var c command
		if err := decoder.Decode(&c); err != nil {
			return nil // the parent process has closed the pipe or ended
		}
		if err := encoder.Encode(p.handle(&c)); err != nil {
			return nil
		}
	}
}

// handle executes a command. It returns at the first node that fails to start.
func (p *hollowProcess) handle(c *command) (resp response) {
	for _, machine := range c.Stop {
		p.stop(machine)
	}
	p.leave(c.Leave)
	for _, machine := range c.Start {
		if err := p.start(machine); err != nil {
			resp.Fault = err.Error()
			return resp
		}
	}
	if c.Partition != nil {
		p.network.setPartition(*c.Partition)
	}
	if c.State {
		resp.State = p.state()
	}
	if c.Index > 0 {
		resp.Arrivals = p.arrivals(c.Index)
	}
	if c.Usage {
		resp.Usage = &usage{Traffic: rpc.ReadTraffic(), Goroutines: runtime.NumGoroutine()}
	}
	return resp
}

// settings returns the node settings of a hollow node.
func (j *job) settings(machine int) *nodefile.Settings {
	settings := &nodefile.Settings{
		Node: nodeName(machine), Class: nodefile.SidecarMachine, IP: address(j.Network, machine), Zone: zoneName(j.zoneOf(machine), j.Zones, j.Regions),
		Ports: [2]int{j.Ports.Nodes, j.Ports.Nodes}, HeartbeatInterval: heartbeatInterval, Backend: serviceName(machine % j.Services), Bootstrap: true,
	}
	for member := range quorumSize {
		settings.Seeds = append(settings.Seeds, fmt.Sprintf("%s:%d", address(j.Network, member), j.Ports.Control))
	}
	return settings
}

func nodeName(machine int) string    { return fmt.Sprintf("node-%05d", machine) }
func serverName(machine int) string  { return fmt.Sprintf("server-%05d", machine) }
func serviceName(service int) string { return fmt.Sprintf("service-%04d", service) }

// start starts a hollow node, which runs until leave or stop.
func (p *hollowProcess) start(machine int) error {
	settings := p.job.settings(machine)
	listener, err := net.Listen("tcp", settings.Internal())
	if err != nil {
		return fmt.Errorf("node %d: %w", machine, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	pool := rpc.NewPool(ctx, rpc.PoolOptions{Dial: p.network.dialer(machine)})
	heartbeat := localserver.Heartbeat{ID: serverName(machine), Service: settings.Backend, Address: fmt.Sprintf("%s:%d", settings.IP, p.job.Ports.Server), Zone: settings.Zone, Slots: serverSlots}
	n := &hollowNode{machine: machine, server: heartbeat, serversChanged: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{})}
	n.agent = agent.New(agent.Options{
		Settings: func() *nodefile.Settings { return settings }, Pool: pool, Seed: rand.Uint64(), Log: log,
		Servers: n.servers, ServersChanged: n.serversChanged, Draining: func() bool { return false },
	})
	server := rpc.NewServer(rpc.ServerOptions{Log: log})
	n.agent.Register(server)
	var running sync.WaitGroup
	running.Go(func() { server.Serve(ctx, p.network.listener(machine, listener)) })
	running.Go(func() { n.agent.Run(ctx) })
	running.Go(func() { n.watch(ctx) })
	go func() { // stop waits for n.done
		running.Wait()
		close(n.done)
	}()
	p.nodes[machine] = n
	return nil
}

// servers returns the application servers that the node registers.
func (n *hollowNode) servers() []localserver.Heartbeat {
	if n.deregistered.Load() {
		return nil
	}
	return []localserver.Heartbeat{n.server}
}

// leave shuts nodes down gracefully: they deregister their servers and announce their departure to other members.
func (p *hollowProcess) leave(machines []int) {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	var draining sync.WaitGroup
	for _, machine := range machines {
		if n := p.nodes[machine]; n != nil {
			draining.Go(func() { n.leave(ctx) })
		}
	}
	draining.Wait()
	for _, machine := range machines {
		p.stop(machine)
	}
}

// leave deregisters the server, waits until the node has received this update or ctx ends, and sends the leave message.
func (n *hollowNode) leave(ctx context.Context) {
	n.deregistered.Store(true)
	select {
	case n.serversChanged <- struct{}{}:
	default:
	}
	for ctx.Err() == nil && n.agent.Hub.Server(n.server.ID) != nil {
		select {
		case <-n.agent.Hub.Changed():
		case <-time.After(deregisterPoll):
		case <-ctx.Done():
		}
	}
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.agent.Gossip.Leave(leaveCtx)
}

// stop ends a node without an announcement, like a machine failure.
func (p *hollowProcess) stop(machine int) {
	n := p.nodes[machine]
	if n == nil {
		return
	}
	delete(p.nodes, machine)
	n.cancel()
	<-n.done
}

// watch records when updates arrive.
func (n *hollowNode) watch(ctx context.Context) {
	for ctx.Err() == nil {
		changed := n.agent.Hub.Changed()
		n.recordArrival(n.agent.Hub.Index(), time.Now())
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// recordArrival records the first arrival of an index and drops the oldest arrival beyond maxArrivals.
func (n *hollowNode) recordArrival(index uint64, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.arrivals) > 0 && n.arrivals[len(n.arrivals)-1].index >= index {
		return
	}
	if len(n.arrivals) == maxArrivals {
		n.arrivals = append(n.arrivals[:0], n.arrivals[1:]...)
	}
	n.arrivals = append(n.arrivals, arrival{index, at})
}

// arrivals returns the times at which nodes received an update, in Unix microseconds. Nodes without it are left out.
func (p *hollowProcess) arrivals(index uint64) (list []int64) {
	for _, n := range p.nodes {
		n.mu.Lock()
		for _, a := range n.arrivals {
			if a.index >= index {
				list = append(list, a.at.UnixMicro())
				break
			}
		}
		n.mu.Unlock()
	}
	return list
}

// state returns the minima and maxima over the nodes' states.
func (p *hollowProcess) state() *state {
	s := &state{Nodes: len(p.nodes)}
	first := true
	for _, n := range p.nodes {
		index, members := n.agent.Hub.Index(), len(n.agent.Gossip.Members())
		if first || index < s.MinIndex {
			s.MinIndex = index
		}
		if first || members < s.MinMembers {
			s.MinMembers = members
		}
		s.MaxIndex, s.MaxMembers = max(s.MaxIndex, index), max(s.MaxMembers, members)
		if n.agent.Ready() {
			s.Ready++
		}
		s.MaxAgeMs = max(s.MaxAgeMs, n.agent.Follower.Age().Milliseconds())
		first = false
	}
	return s
}
