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

// HollowCommand is the argument with which the program itself runs hollow nodes, see RunHollow.
const HollowCommand = "hollow"

const (
	heartbeat  = 500 * time.Millisecond
	maxArrival = 1024 // arrivals of updates that a node remembers
	slots      = 16   // of a hollow node's server

	leaveWait = 2 * time.Second // for a server that goes to be off the list
	leavePoll = 50 * time.Millisecond
	lastWords = 300 * time.Millisecond
)

// hollowNode is a node that carries no requests.
type hollowNode struct {
	machine      int
	agent        *agent.Agent
	server       localserver.Heartbeat
	deregistered atomic.Bool   // the server has left
	changed      chan struct{} // tells of that
	end          context.CancelFunc
	ended        chan struct{}

	mu       sync.Mutex
	arrivals []arrival // oldest first
}

// arrival is when a node first had all updates up to an index.
type arrival struct {
	index uint64
	at    time.Time
}

// hollowProcess is all hollow nodes of this process.
type hollowProcess struct {
	job     job
	network *network
	nodes   map[int]*hollowNode
}

// RunHollow runs hollow nodes by the commands on standard input, until that ends.
func RunHollow(in io.Reader, w io.Writer) error {
	decoder, encoder := json.NewDecoder(in), json.NewEncoder(w)
	p := &hollowProcess{nodes: map[int]*hollowNode{}}
	defer func() {
		for machine := range p.nodes {
			p.stop(machine)
		}
	}()
	if err := decoder.Decode(&p.job); err != nil {
		return fmt.Errorf("no job: %w", err)
	}
	p.network = newNetwork(&p.job)
	for {
		var c command
		if err := decoder.Decode(&c); err != nil {
			return nil // whoever has started this process is gone
		}
		if err := encoder.Encode(p.handle(&c)); err != nil {
			return nil
		}
	}
}

// handle executes a command.
func (p *hollowProcess) handle(c *command) (a answer) {
	for _, machine := range c.Stop {
		p.stop(machine)
	}
	p.leave(c.Leave)
	for _, machine := range c.Start {
		if err := p.start(machine); err != nil {
			a.Fault = err.Error()
			return a
		}
	}
	if c.Partition != nil {
		p.network.setPartition(*c.Partition)
	}
	if c.State {
		a.State = p.state()
	}
	if c.Index > 0 {
		a.Arrivals = p.arrivals(c.Index)
	}
	if c.Usage {
		a.Usage = &usage{Traffic: rpc.ReadTraffic(), Goroutines: runtime.NumGoroutine()}
	}
	return a
}

// settings are those of a hollow node's machine.
func (j *job) settings(machine int) *nodefile.Settings {
	set := &nodefile.Settings{
		Node: nodeName(machine), Class: nodefile.SidecarMachine, IP: address(j.Network, machine), Zone: zoneName(j.zoneOf(machine), j.Zones, j.Regions),
		Ports: [2]int{j.Ports.Nodes, j.Ports.Nodes}, HeartbeatInterval: heartbeat, Backend: serviceName(machine % j.Services), Bootstrap: true,
	}
	for member := range quorumSize {
		set.Seeds = append(set.Seeds, fmt.Sprintf("%s:%d", address(j.Network, member), j.Ports.Control))
	}
	return set
}

func nodeName(machine int) string    { return fmt.Sprintf("node-%05d", machine) }
func serverName(machine int) string  { return fmt.Sprintf("server-%05d", machine) }
func serviceName(service int) string { return fmt.Sprintf("service-%04d", service) }

// start runs a hollow node.
func (p *hollowProcess) start(machine int) error {
	set := p.job.settings(machine)
	listener, err := net.Listen("tcp", set.Internal())
	if err != nil {
		return fmt.Errorf("node %d: %w", machine, err)
	}
	ctx, end := context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	pool := rpc.NewPool(ctx, rpc.PoolOptions{Dial: p.network.dialer(machine)})
	heartbeat := localserver.Heartbeat{ID: serverName(machine), Service: set.Backend, Address: fmt.Sprintf("%s:%d", set.IP, p.job.Ports.Server), Zone: set.Zone, Slots: slots}
	n := &hollowNode{machine: machine, server: heartbeat, changed: make(chan struct{}, 1), end: end, ended: make(chan struct{})}
	n.agent = agent.New(agent.Options{
		Settings: func() *nodefile.Settings { return set }, Pool: pool, Seed: rand.Uint64(), Log: log,
		Servers: n.servers, ServersChanged: n.changed, Draining: func() bool { return false },
	})
	server := rpc.NewServer(rpc.ServerOptions{Log: log})
	n.agent.Register(server)
	var running sync.WaitGroup
	running.Go(func() { server.Serve(ctx, p.network.listener(machine, listener)) })
	running.Go(func() { n.agent.Run(ctx) })
	running.Go(func() { n.watch(ctx) })
	go func() { // ends with the node, for which stop waits
		running.Wait()
		close(n.ended)
	}()
	p.nodes[machine] = n
	return nil
}

// servers are the application servers on the node's machine.
func (n *hollowNode) servers() []localserver.Heartbeat {
	if n.deregistered.Load() {
		return nil
	}
	return []localserver.Heartbeat{n.server}
}

// leave shuts nodes down gracefully: they deregister their servers and announce their end.
func (p *hollowProcess) leave(machines []int) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveWait)
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

func (n *hollowNode) leave(ctx context.Context) {
	n.deregistered.Store(true)
	select {
	case n.changed <- struct{}{}:
	default:
	}
	for ctx.Err() == nil && n.agent.Hub.Server(n.server.ID) != nil {
		select {
		case <-n.agent.Hub.Changed():
		case <-time.After(leavePoll):
		case <-ctx.Done():
		}
	}
	last, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	n.agent.Gossip.Leave(last)
}

// stop ends a node without an announcement, like the loss of its machine.
func (p *hollowProcess) stop(machine int) {
	n := p.nodes[machine]
	if n == nil {
		return
	}
	delete(p.nodes, machine)
	n.end()
	<-n.ended
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

func (n *hollowNode) recordArrival(index uint64, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.arrivals) > 0 && n.arrivals[len(n.arrivals)-1].index >= index {
		return
	}
	if len(n.arrivals) == maxArrival {
		n.arrivals = append(n.arrivals[:0], n.arrivals[1:]...)
	}
	n.arrivals = append(n.arrivals, arrival{index, at})
}

// arrivals returns when each node received an update; nodes without it are left out.
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

// state returns the range of the nodes' states.
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
