package scale

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const dialTimeout = 250 * time.Millisecond // timeout of a connection attempt

// network simulates partitions between the regions of hollow nodes. Bytes between partitioned regions are dropped without
// an error.
type network struct {
	number      int
	region      func(machine int) int
	partitioned atomic.Int64 // partitioned region, or -1

	mu          sync.Mutex
	connections map[*regionConn]bool
}

func newNetwork(j *job) *network {
	perRegion := j.Zones / j.Regions
	n := &network{number: j.Network, region: func(machine int) int { return j.zoneOf(machine) / perRegion }, connections: map[*regionConn]bool{}}
	n.partitioned.Store(-1)
	return n
}

// regionConn is a connection of a hollow node, which drops bytes once a partition has separated its ends.
type regionConn struct {
	net.Conn
	network  *network
	from, to int         // regions; -1 if unknown, which counts as outside of the partitioned region
	dropping atomic.Bool // all bytes are dropped from now on
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

// setPartition partitions a region from the others. A region of -1 ends the partition; connections that it separated keep
// dropping bytes.
func (n *network) setPartition(region int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned.Store(int64(region))
	for c := range n.connections {
		if n.separated(c.from, c.to) {
			c.dropping.Store(true)
		}
	}
}

func (n *network) add(nc net.Conn, from, to int) net.Conn {
	c := &regionConn{Conn: nc, network: n, from: from, to: to}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections[c] = true
	c.dropping.Store(n.separated(from, to))
	return c
}

// Write implements net.Conn. It reports dropped bytes as written.
func (c *regionConn) Write(b []byte) (int, error) {
	if c.dropping.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn. It discards the bytes that arrive after a partition has separated the ends.
func (c *regionConn) Read(b []byte) (int, error) {
	for {
		count, err := c.Conn.Read(b)
		if err != nil || !c.dropping.Load() {
			return count, err
		}
	}
}

// Close implements net.Conn.
func (c *regionConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.connections, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// dialer returns a dial function that uses a machine's address as the source, from which the listener derives the region.
// A dial to a separated region times out.
func (n *network) dialer(machine int) func(ctx context.Context, address string) (net.Conn, error) {
	own := n.region(machine)
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(address(n.number, machine))}}
	return func(ctx context.Context, to string) (net.Conn, error) {
		other := n.regionAt(to)
		if n.separated(own, other) {
			timer := time.NewTimer(dialTimeout)
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

// regionListener is the listener of a hollow node.
type regionListener struct {
	net.Listener
	network *network
	region  int
}

func (n *network) listener(machine int, l net.Listener) net.Listener {
	return &regionListener{Listener: l, network: n, region: n.region(machine)}
}

// Accept implements net.Listener.
func (a *regionListener) Accept() (net.Conn, error) {
	nc, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return a.network.add(nc, a.region, a.network.regionAt(nc.RemoteAddr().String())), nil
}
