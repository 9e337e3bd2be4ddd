package scale

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const dialTime = 250 * time.Millisecond // of one try of a connection

// network is the hollow nodes' network. A region can be partitioned from the others: bytes between them are dropped
// without an error, as in a real partition.
type network struct {
	number      int
	region      func(machine int) int
	partitioned atomic.Int64 // region, -1: none

	mu   sync.Mutex
	open map[*crossing]bool
}

func newNetwork(j *job) *network {
	perRegion := j.Zones / j.Regions
	n := &network{number: j.Network, region: func(machine int) int { return j.zoneOf(machine) / perRegion }, open: map[*crossing]bool{}}
	n.partitioned.Store(-1)
	return n
}

// crossing is a connection that may be between two regions.
type crossing struct {
	net.Conn
	network  *network
	from, to int         // regions, -1 for one that is not known: it is outside of any cut
	lost     atomic.Bool // what is sent or received is lost from now on
}

func (n *network) regionAt(address string) int {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return -1
	}
	machine, ok := machineAt(n.number, host)
	if !ok {
		return -1
	}
	return n.region(machine)
}

// separated reports whether two regions are partitioned from each other.
func (n *network) separated(from, to int) bool {
	region := int(n.partitioned.Load())
	return region >= 0 && (from == region) != (to == region)
}

// setPartition partitions a region from the others; -1 ends it. Connections that lost bytes stay broken.
func (n *network) setPartition(region int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned.Store(int64(region))
	for c := range n.open {
		if n.separated(c.from, c.to) {
			c.lost.Store(true)
		}
	}
}

func (n *network) add(nc net.Conn, from, to int) net.Conn {
	c := &crossing{Conn: nc, network: n, from: from, to: to}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[c] = true
	c.lost.Store(n.separated(from, to))
	return c
}

// Write reports dropped bytes as written.
func (c *crossing) Write(b []byte) (int, error) {
	if c.lost.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read drops bytes that arrive during a partition.
func (c *crossing) Read(b []byte) (int, error) {
	for {
		count, err := c.Conn.Read(b)
		if err != nil || !c.lost.Load() {
			return count, err
		}
	}
}

// Close closes the connection.
func (c *crossing) Close() error {
	c.network.mu.Lock()
	delete(c.network.open, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// dialer connects from a machine's own address, so that the other side can tell its region.
func (n *network) dialer(machine int) func(ctx context.Context, address string) (net.Conn, error) {
	own := n.region(machine)
	dialer := net.Dialer{Timeout: dialTime, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(address(n.number, machine))}}
	return func(ctx context.Context, to string) (net.Conn, error) {
		other := n.regionAt(to)
		if n.separated(own, other) {
			timer := time.NewTimer(dialTime)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			return nil, os.ErrDeadlineExceeded
		}
		nc, err := dialer.DialContext(ctx, "tcp", to)
		if err != nil {
			return nil, err
		}
		return n.add(nc, own, other), nil
	}
}

// accepting is a machine's listener.
type accepting struct {
	net.Listener
	network *network
	region  int
}

func (n *network) listener(machine int, l net.Listener) net.Listener {
	return &accepting{Listener: l, network: n, region: n.region(machine)}
}

// Accept waits for the next connection.
func (a *accepting) Accept() (net.Conn, error) {
	nc, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return a.network.add(nc, a.region, a.network.regionAt(nc.RemoteAddr().String())), nil
}
