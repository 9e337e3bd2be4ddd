package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/cluster/membership"
	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/dataplane/proxy"
	"ivydeck/internal/dataplane/router"
	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/transport/wire"
)

const (
	changeSamples = 101 // changes of each kind, of which the median is reported
	stateZones    = 12
	stateRegions  = 4
	maxStateNodes = 60_000
)

// StateOptions are the options of MeasureState.
type StateOptions struct {
	Nodes            []int // sizes of the meshes
	Services, Routes int
	Report           string // file of the JSON report; empty for none
	Command          string // command line, for the report
	Progress         io.Writer
}

// StateReport holds the memory and processing time that the state of a mesh needs at one node, without connections and the
// Go runtime.
type StateReport struct {
	Command  string      `json:"command"`
	Routes   int         `json:"routes"`
	Services int         `json:"services"`
	Sizes    []StateSize `json:"sizes"`
}

// StateSize holds the measurements for one mesh size. Heap sizes are of the live heap after a garbage collection.
type StateSize struct {
	Nodes         int     `json:"nodes"`
	ConfigHeapMB  float64 `json:"config_heap_mb"`  // routes and services, with their routing tables
	ServersHeapMB float64 `json:"servers_heap_mb"` // registered servers, with their routing tables
	MembersHeapMB float64 `json:"members_heap_mb"` // membership view
	StateBytes    int     `json:"state_bytes"`     // size of a full feed: configuration and servers
	MembersBytes  int     `json:"members_bytes"`   // size of a probe response with the full membership view
	ServerChange  int     `json:"server_change_bytes"`
	RouteChange   int     `json:"route_change_bytes"`
	ServerMicros  float64 `json:"server_change_us"` // median time to apply a change of one server
	RouteMicros   float64 `json:"route_change_us"`  // median time to apply a change of one route
	MemberMicros  float64 `json:"member_change_us"` // median time to apply the death of a member in another zone
	SourceHeapMB  float64 `json:"source_heap_mb"`   // replicated state of a quorum member
	AnswerMs      float64 `json:"answer_ms"`        // time to build and encode a probe response with the full view
}

// nodeState is the state of one node, in the types that ivydeck-data uses.
type nodeState struct {
	hub        *relay.Hub
	memberlist *membership.Memberlist
	cluster    router.ClusterStateBuilder
	outbound   *proxy.Outbound
}

// liveHeap returns the size of the live heap after a garbage collection, in bytes.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC() // frees pooled objects and those with finalizers, which survive the first collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// MeasureState measures the state of one node for each mesh size, and writes a report.
func MeasureState(o StateOptions) (*StateReport, error) {
	report := &StateReport{Command: o.Command, Routes: o.Routes, Services: o.Services}
	for _, nodes := range o.Nodes {
		if nodes < 2 || nodes > maxStateNodes || o.Services < 1 || o.Routes < 1 {
			return nil, fmt.Errorf("scale: %d nodes, %d routes, %d services: must be 2 to %d nodes, and at least one route and one service", nodes, o.Routes, o.Services, maxStateNodes)
		}
		size, err := o.measure(nodes)
		if err != nil {
			return nil, fmt.Errorf("scale: %d nodes: %w", nodes, err)
		}
		report.Sizes = append(report.Sizes, *size)
		fmt.Fprintf(o.Progress, "%6d nodes: heap of configuration %.1f MB, servers %.1f, members %.1f; quorum member's state %.1f; full feed %d bytes, full view %d\n",
			nodes, size.ConfigHeapMB, size.ServersHeapMB, size.MembersHeapMB, size.SourceHeapMB, size.StateBytes, size.MembersBytes)
		fmt.Fprintf(o.Progress, "              change of a server %d bytes, %.0f µs; of a route %d bytes, %.0f µs; of a member %.0f µs; full view %.1f ms\n",
			size.ServerChange, size.ServerMicros, size.RouteChange, size.RouteMicros, size.MemberMicros, size.AnswerMs)
	}
	if o.Report == "" {
		return report, nil
	}
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	return report, os.WriteFile(o.Report, append(text, '\n'), 0o644)
}

func (o *StateOptions) server(machine int) *wire.Server {
	const network, port = 77, 30000
	return &wire.Server{Member: serverName(machine), Service: serviceName(machine % o.Services), Node: nodeName(machine),
		Address: fmt.Sprintf("%s:%d", address(network, machine), port), Zone: o.zone(machine), Slots: serverSlots, ProtocolVersion: 1}
}

func (o *StateOptions) member(machine int) *wire.Member {
	s := o.server(machine)
	return &wire.Member{Name: s.Node, Address: s.Address, Zone: s.Zone, Generation: uint64(time.Now().UnixMilli())}
}

func (o *StateOptions) zone(machine int) string {
	return zoneName(machine%stateZones, stateZones, stateRegions)
}

// buildSource builds the replicated state of a mesh as a quorum member holds it.
func (o *StateOptions) buildSource(nodes int) (*catalog.Catalog, error) {
	config := (&run{layout: &layout{Options: Options{Services: o.Services, Routes: o.Routes}}}).firstConfig()
	body, err := msgpack.Marshal(config)
	if err != nil {
		return nil, err
	}
	c := catalog.New()
	if _, err := c.Apply(&wire.Command{Change: &wire.Command_Config{Config: &wire.PutConfig{Body: body}}}); err != nil {
		return nil, err
	}
	for machine := range nodes {
		if _, err := c.Apply(&wire.Command{Change: &wire.Command_Server{Server: o.server(machine)}}); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// applyFeed applies an encoded feed and updates the routing tables.
func (n *nodeState) applyFeed(data []byte) error {
	feed := new(wire.Feed)
	if err := proto.Unmarshal(data, feed); err != nil {
		return err
	}
	if !n.hub.Apply(feed.Changes) {
		return errors.New("the changes of a feed do not follow the index of the node's state")
	}
	changes, config := n.hub.State(n.cluster.Index())
	n.cluster.Apply(changes, config)
	n.outbound.Update(n.cluster.ClusterState())
	return nil
}

// applyMembers applies encoded membership updates and updates the routing tables.
func (n *nodeState) applyMembers(now time.Duration, data []byte) error {
	resp := new(wire.ProbeResponse)
	if err := proto.Unmarshal(data, resp); err != nil {
		return err
	}
	n.memberlist.Merge(now, resp.Updates...)
	n.cluster.SetMembers(n.memberlist.Members(), func(node string) bool { return n.memberlist.DeadFor(now, node) > 0 })
	n.outbound.Update(n.cluster.ClusterState())
	return nil
}

// medianMicros runs f changeSamples times and returns the median duration in microseconds.
func medianMicros(f func(i int) error) (float64, error) {
	var all []float64
	for i := range changeSamples {
		startedAt := time.Now()
		if err := f(i); err != nil {
			return 0, err
		}
		all = append(all, float64(time.Since(startedAt).Nanoseconds())/1000)
	}
	slices.Sort(all)
	return quantile(all, 0.5), nil
}

// newNodeState returns the state of node 0 with an empty hub and a memberlist that contains only the node.
func newNodeState(o *StateOptions) *nodeState {
	n := &nodeState{hub: relay.NewHub(func() time.Duration { return 0 }), memberlist: membership.New(o.member(0), 1, 0)}
	n.outbound = &proxy.Outbound{Node: nodeName(0), Zone: o.zone(0), Caller: func() string { return serviceName(0) }, RetryRatio: 0.2, RetryWindow: 10 * time.Second,
		Log: slog.New(slog.DiscardHandler), RecordCall: func(string, string) (inner, repeat bool) { return false, false }, CallFailed: func(string) {}}
	n.outbound.Start(1)
	return n
}

// measure builds the state of a mesh and a node's copy of it, and measures the heap after each step.
func (o *StateOptions) measure(nodes int) (*StateSize, error) {
	size := &StateSize{Nodes: nodes}
	heapBefore := liveHeap()
	source, err := o.buildSource(nodes)
	if err != nil {
		return nil, err
	}
	size.SourceHeapMB = megabytes(liveHeap() - heapBefore)
	feeds, err := o.firstFeeds(source, size)
	if err != nil {
		return nil, err
	}
	n := newNodeState(o)
	for i, data := range feeds {
		before := liveHeap()
		if err := n.applyFeed(data); err != nil {
			return nil, err
		}
		growth := megabytes(liveHeap() - before)
		if i == 0 {
			size.ConfigHeapMB = growth
		} else {
			size.ServersHeapMB = growth
		}
	}
	if err := o.measureMembers(n, size); err != nil {
		return nil, err
	}
	return size, o.measureChanges(source, n, size)
}

// firstFeeds splits the full state, which a new node gets in one feed, into a full feed of the configuration and a delta
// feed of the servers. It records the size of the unsplit feed.
func (o *StateOptions) firstFeeds(source *catalog.Catalog, size *StateSize) (feeds [][]byte, err error) {
	full := source.FullChanges()
	data, err := proto.Marshal(&wire.Feed{Changes: full})
	if err != nil {
		return nil, err
	}
	size.StateBytes = len(data)
	config := &wire.Changes{Full: true, To: 1, Floor: full.Floor}
	servers := &wire.Changes{From: 1, To: full.To}
	for _, r := range full.Resources {
		if r.GetServer() != nil {
			servers.Resources = append(servers.Resources, r)
		} else {
			config.Resources = append(config.Resources, r)
		}
	}
	for _, c := range []*wire.Changes{config, servers} {
		data, err := proto.Marshal(&wire.Feed{Changes: c})
		if err != nil {
			return nil, err
		}
		feeds = append(feeds, data)
	}
	return feeds, nil
}

// measureMembers measures the full membership view at a node, and the deaths of single members.
func (o *StateOptions) measureMembers(n *nodeState, size *StateSize) error {
	all := &wire.ProbeResponse{}
	for machine := 1; machine < size.Nodes; machine++ {
		all.Updates = append(all.Updates, o.member(machine))
	}
	data, err := proto.Marshal(all)
	if err != nil {
		return err
	}
	all = nil
	before := liveHeap()
	if err := n.applyMembers(0, data); err != nil {
		return err
	}
	size.MembersHeapMB = megabytes(liveHeap() - before)
	startedAt := time.Now()
	encoded, err := proto.Marshal(n.memberlist.HandleProbe(&wire.ProbeRequest{FullView: true}))
	if err != nil {
		return err
	}
	size.AnswerMs, size.MembersBytes = milliseconds(time.Since(startedAt)), len(encoded)
	size.MemberMicros, err = medianMicros(func(i int) error {
		dead := o.member(1 + (1+i*stateZones)%(size.Nodes-1)) // in another zone than the node, unless the index wraps around
		dead.State = wire.Member_DEAD
		data, err := proto.Marshal(&wire.ProbeResponse{Updates: []*wire.Member{dead}})
		if err != nil {
			return err
		}
		return n.applyMembers(0, data)
	})
	return err
}

// measureChanges changes servers and routes one by one at the source, and measures the time to apply each at the node.
func (o *StateOptions) measureChanges(source *catalog.Catalog, n *nodeState, size *StateSize) (err error) {
	var feeds [][]byte
	size.ServerChange, feeds, err = changeFeeds(source, func(i int) *wire.Command {
		s := o.server(i % size.Nodes)
		s.Draining = i/size.Nodes%2 == 0 // differs from the value in the previous round
		return &wire.Command{Change: &wire.Command_Server{Server: s}}
	})
	if err != nil {
		return err
	}
	if size.ServerMicros, err = medianMicros(func(i int) error { return n.applyFeed(feeds[i]) }); err != nil {
		return err
	}
	size.RouteChange, feeds, err = changeFeeds(source, func(i int) *wire.Command { return o.routeCommand(source, i) })
	if err != nil {
		return err
	}
	size.RouteMicros, err = medianMicros(func(i int) error { return n.applyFeed(feeds[i]) })
	return err
}

// routeCommand returns a command that changes one route. It returns nil if the configuration can't be encoded.
func (o *StateOptions) routeCommand(source *catalog.Catalog, i int) *wire.Command {
	config := (&run{layout: &layout{Options: Options{Services: o.Services, Routes: o.Routes}}}).firstConfig()
	config.Revision = source.Revision() + 1
	config.Routes[i%len(config.Routes)].TargetLatencyMs = float64(300 + i)
	body, err := msgpack.Marshal(config)
	if err != nil {
		return nil
	}
	return &wire.Command{Change: &wire.Command_Config{Config: &wire.PutConfig{Base: source.Revision(), Body: body}}}
}

// changeFeeds applies commands at the source. It returns the encoded feed of each and their median size.
func changeFeeds(source *catalog.Catalog, command func(i int) *wire.Command) (bytes int, feeds [][]byte, err error) {
	var lengths []float64
	for i := range changeSamples {
		changes, err := source.Apply(command(i))
		if err != nil {
			return 0, nil, err
		}
		if changes == nil {
			return 0, nil, errors.New("a command produced no changes")
		}
		data, err := proto.Marshal(&wire.Feed{Changes: changes})
		if err != nil {
			return 0, nil, err
		}
		lengths, feeds = append(lengths, float64(len(data))), append(feeds, data)
	}
	slices.Sort(lengths)
	return int(quantile(lengths, 0.5)), feeds, nil
}
