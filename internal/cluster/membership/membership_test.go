package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// simulatedCluster runs Memberlists in simulated time. Messages are delivered at once or lost.
type simulatedCluster struct {
	t           *testing.T
	rng         *rand.Rand
	now         time.Duration
	nodes       map[string]*Memberlist // by name
	loss        float64                // fraction of messages
	partitioned func(from, to string) bool
}

// delivered reports whether a message arrives.
func (c *simulatedCluster) delivered(from, to string) bool {
	return c.nodes[to] != nil && (c.partitioned == nil || !c.partitioned(from, to)) && c.rng.Float64() >= c.loss
}

// exchange sends a probe and merges the updates in the response. It returns nil if a message is lost.
func (c *simulatedCluster) exchange(from, to string, request *wire.ProbeRequest) *wire.ProbeResponse {
	if !c.delivered(from, to) {
		return nil
	}
	receiver := c.nodes[to]
	receiver.Merge(c.now, request.From)
	receiver.Merge(c.now, request.Updates...)
	reached := true
	if request.Target != nil {
		reached = c.exchange(to, request.Target.Name, &wire.ProbeRequest{From: receiver.Self()}) != nil
	}
	response := receiver.HandleProbe(request)
	response.Reached = reached
	c.nodes[from].Merge(c.now, response.Updates...)
	return response
}

// run runs the simulation for the given time.
func (c *simulatedCluster) run(duration time.Duration) {
	for end := c.now + duration; c.now < end; c.now += 50 * time.Millisecond {
		for _, name := range slices.Sorted(maps.Keys(c.nodes)) { // fixed order, so that runs are reproducible
			node := c.nodes[name]
			probes := node.Tick(c.now, []string{"n0"})
			for len(probes) > 0 {
				probe := probes[0]
				to := probe.Target
				switch {
				case probe.Via != "":
					to = probe.Via
				case to == "":
					to = probe.Address
				}
				probes = append(probes[1:], node.HandleProbeResult(c.now, probe, c.exchange(node.Self().Name, to, probe.Request))...)
			}
		}
	}
}

// newSimulatedCluster returns a cluster of n nodes, n0 to n(n-1), that have joined through n0.
func newSimulatedCluster(t *testing.T, n int) *simulatedCluster {
	c := &simulatedCluster{t: t, rng: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*Memberlist{}}
	for i := range n {
		name := fmt.Sprint("n", i)
		c.nodes[name] = New(&wire.Member{Name: name, Address: name, Generation: 1}, uint64(i), 0)
	}
	for i := 1; i < n; i++ {
		c.exchange(fmt.Sprint("n", i), "n0", &wire.ProbeRequest{From: c.nodes[fmt.Sprint("n", i)].Self(), FullView: true})
	}
	return c
}

// checkAlive checks that every node lists the given number of alive members.
func (c *simulatedCluster) checkAlive(want int, when string) {
	c.t.Helper()
	for name, node := range c.nodes {
		alive := 0
		for _, m := range node.Members() {
			if m.State == wire.Member_ALIVE {
				alive++
			}
		}
		if alive != want {
			c.t.Errorf("%s: %s lists %d alive members, want %d", when, name, alive, want)
		}
	}
}

// TestFailureDissemination guards against nodes that miss the failure, the return or the departure of another node.
func TestFailureDissemination(t *testing.T) {
	c := newSimulatedCluster(t, 20)
	c.run(11 * time.Second)
	c.checkAlive(20, "initially")
	delete(c.nodes, "n7")
	c.run(20 * time.Second)
	c.checkAlive(19, "after the failure of n7")
	for name, node := range c.nodes {
		if node.DeadFor(c.now, "n7") == 0 {
			t.Errorf("%s does not list n7 as dead", name)
		}
	}
	// A new process of n7 is added although all nodes list the earlier one as dead.
	c.nodes["n7"] = New(&wire.Member{Name: "n7", Address: "n7", Generation: 2}, 77, c.now)
	c.exchange("n7", "n0", &wire.ProbeRequest{From: c.nodes["n7"].Self(), FullView: true})
	c.run(10 * time.Second)
	c.checkAlive(20, "after the return of n7")
	leaving := c.nodes["n3"]
	leaving.Leave()
	c.exchange("n3", "n4", &wire.ProbeRequest{From: leaving.Self(), Updates: []*wire.Member{leaving.Self()}})
	delete(c.nodes, "n3")
	c.run(8 * time.Second)
	c.checkAlive(19, "after n3 left")
}

// TestFalseFailureDetection guards against false failure detection: indirect probes succeed where direct ones
// are lost, and a suspected node refutes.
func TestFalseFailureDetection(t *testing.T) {
	c := newSimulatedCluster(t, 12)
	c.loss = 0.05
	c.partitioned = func(from, to string) bool { return from == "n1" && to == "n2" || from == "n2" && to == "n1" }
	c.run(60 * time.Second)
	missing := 0
	for _, node := range c.nodes {
		missing += len(c.nodes) - len(node.Members())
	}
	if missing > 0 {
		t.Errorf("%d entries of live nodes are missing from the member lists", missing)
	}
	suspected := c.nodes["n5"]
	c.loss, c.partitioned = 0, nil
	c.nodes["n0"].Merge(c.now, &wire.Member{Name: "n5", Address: "n5", Generation: 1, Incarnation: suspected.Self().Incarnation, State: wire.Member_SUSPECT})
	c.run(10 * time.Second)
	c.checkAlive(12, "after a false suspicion of n5")
}

// TestClockSetBack guards against a restarted node that cannot rejoin because its clock was set back: it must raise its
// generation above that of its earlier process.
func TestClockSetBack(t *testing.T) {
	c := newSimulatedCluster(t, 8)
	c.nodes["n7"] = New(&wire.Member{Name: "n7", Address: "n7", Generation: 1000}, 70, 0)
	c.exchange("n7", "n0", &wire.ProbeRequest{From: c.nodes["n7"].Self(), FullView: true})
	c.run(10 * time.Second)
	delete(c.nodes, "n7")
	c.run(10 * time.Second)
	c.nodes["n7"] = New(&wire.Member{Name: "n7", Address: "n7", Generation: 2}, 71, c.now)
	c.run(10 * time.Second)
	c.checkAlive(8, "after the return of n7 with an earlier clock")
}

// TestTargetSizeFits guards against a member limit below the design size of 28,000 nodes.
func TestTargetSizeFits(t *testing.T) {
	const nodes = 28_000
	list := New(&wire.Member{Name: "self", Address: "self", Generation: 1}, 1, 0)
	for i := range nodes {
		name := fmt.Sprint("n", i)
		list.Merge(0, &wire.Member{Name: name, Address: name, Generation: 1})
	}
	if got := len(list.Members()); got != nodes+1 {
		t.Errorf("%d members, want %d", got, nodes+1)
	}
}
