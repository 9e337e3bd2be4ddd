package membership

import (
	"fmt"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// converged reports whether all nodes list every node and have the same digest.
func (c *simulatedCluster) converged() bool {
	first := c.nodes["n0"].Digest()
	for _, node := range c.nodes {
		if node.Digest() != first || len(node.Members()) != len(c.nodes) {
			return false
		}
	}
	return true
}

// runUntilConverged runs the simulation until all nodes converge or the timeout passes, and returns the time it took.
func (c *simulatedCluster) runUntilConverged(timeout time.Duration) time.Duration {
	start := c.now
	for c.now < start+timeout && !c.converged() {
		c.run(250 * time.Millisecond)
	}
	return c.now - start
}

// TestManyNodesConverge guards against slow convergence after a simultaneous start, a restart, and a loss of a tenth of the
// nodes, while updates from the start are still queued for broadcast.
func TestManyNodesConverge(t *testing.T) {
	const nodes = 300
	c := newSimulatedCluster(t, 1)
	c.loss = 0.01
	for i := 1; i < nodes; i++ {
		name := fmt.Sprint("n", i)
		c.nodes[name] = New(&wire.Member{Name: name, Address: name, Generation: 1}, uint64(i), 0)
	}
	check := func(event string, bound time.Duration) {
		t.Helper()
		took := c.runUntilConverged(time.Minute)
		t.Logf("%s: converged after %v", event, took)
		if took > bound {
			t.Errorf("%s: converged after %v, want at most %v", event, took, bound)
		}
	}
	check("simultaneous start", 10*time.Second)
	c.nodes["n7"] = New(&wire.Member{Name: "n7", Address: "n7", Generation: 2}, 1007, c.now)
	check("restart of one node", 10*time.Second)
	for i := 10; i < 10+nodes/10; i++ {
		delete(c.nodes, fmt.Sprint("n", i))
	}
	check("loss of a tenth of the nodes", 15*time.Second)
	for i := 10; i < 10+nodes/10; i++ {
		name := fmt.Sprint("n", i)
		c.nodes[name] = New(&wire.Member{Name: name, Address: name, Generation: 2}, uint64(2000+i), c.now)
	}
	check("return of the lost nodes", 10*time.Second)
}

// TestMissedUpdateArrivesByPushPull guards against nodes that stay behind after they missed an update: a push/pull from an
// up-to-date node must move their own next push/pull forward.
func TestMissedUpdateArrivesByPushPull(t *testing.T) {
	const (
		nodes  = 300
		missed = 20
		bound  = 25 * time.Second // the up-to-date nodes start a push/pull at least every 20 s
	)
	c := newSimulatedCluster(t, nodes)
	c.runUntilConverged(time.Minute)
	c.run(time.Minute)
	c.nodes["n7"] = New(&wire.Member{Name: "n7", Address: "n7", Generation: 2}, 1007, c.now)
	c.runUntilConverged(time.Minute)
	for name, node := range c.nodes { // stop the broadcast of the update
		if m := node.members["n7"]; name != "n7" {
			m.transmits = transmitLimitReached
		}
	}
	for i := 100; i < 100+missed; i++ {
		node := c.nodes[fmt.Sprint("n", i)]
		m := node.members["n7"]
		node.toggleDigest(m.Member)
		m.Member = &wire.Member{Name: "n7", Address: "n7", Generation: 1}
		node.toggleDigest(m.Member)
		node.nextPushPullAt = c.now + time.Hour
	}
	if took := c.runUntilConverged(time.Minute); took > bound {
		t.Errorf("%d nodes that missed an update received it after %v, want at most %v", missed, took, bound)
	} else {
		t.Logf("converged after %v", took)
	}
}
