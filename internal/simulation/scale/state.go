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
	stateChanges = 101 // of each kind, whose median time is told
	stateZones   = 12
	stateRegions = 4
	maxState     = 60_000
)

// StateOptions are the options of MeasureState.
type StateOptions struct {
	Nodes            []int
	Services, Routes int
	Report           string
	Command          string
	Progress         io.Writer
}

// StateReport is the memory and time that the state of a mesh takes at one node, without connections and runtime.
type StateReport struct {
	Command  string      `json:"command"`
	Routes   int         `json:"routes"`
	Services int         `json:"services"`
	Sizes    []StateSize `json:"sizes"`
}

// StateSize is the state of a mesh of one size. Heap is the live heap after a collection.
type StateSize struct {
	Nodes         int     `json:"nodes"`
	ConfigHeapMB  float64 `json:"config_heap_mb"`  // routes and services alone, with the tables of requests
	ServersHeapMB float64 `json:"servers_heap_mb"` // the list of servers, the same
	MembersHeapMB float64 `json:"members_heap_mb"` // the view of members
	StateBytes    int     `json:"state_bytes"`     // of a first feed: configuration and list
	MembersBytes  int     `json:"members_bytes"`   // of an answer with a whole view
	ServerChange  int     `json:"server_change_bytes"`
	RouteChange   int     `json:"route_change_bytes"`
	ServerMicros  float64 `json:"server_change_us"` // to take in a change of one server, median
	RouteMicros   float64 `json:"route_change_us"`
	MemberMicros  float64 `json:"member_change_us"` // to take in the death of a node of another zone
	SourceHeapMB  float64 `json:"source_heap_mb"`   // of a quorum member's replicated state, for as many servers
	AnswerMs      float64 `json:"answer_ms"`        // of processor time to make and encode an answer with a whole view
}

// nodeState is the state of one node, in the types of the real program.
type nodeState struct {
	hub      *relay.Hub
	group    *membership.Memberlist
	cluster  router.ClusterStateBuilder
	outbound *proxy.Outbound
}

// liveHeap is the live heap after a collection, in bytes.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC() // finalizers, and pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// MeasureState measures the state of one node in meshes of some sizes, and writes a report.
func MeasureState(o StateOptions) (*StateReport, error) {
	report := &StateReport{Command: o.Command, Routes: o.Routes, Services: o.Services}
	for _, nodes := range o.Nodes {
		if nodes < 2 || nodes > maxState || o.Services < 1 || o.Routes < 1 {
			return nil, fmt.Errorf("scale: %d nodes, %d routes, %d services: 2 to %d nodes, and one of the others at least", nodes, o.Routes, o.Services, maxState)
		}
		size, err := o.measure(nodes)
		if err != nil {
			return nil, fmt.Errorf("scale: %d nodes: %w", nodes, err)
		}
		report.Sizes = append(report.Sizes, *size)
		fmt.Fprintf(o.Progress, "%6d nodes: heap of configuration %.1f MB, servers %.1f, members %.1f; quorum member's state %.1f; first feed %d bytes, whole view %d\n",
			nodes, size.ConfigHeapMB, size.ServersHeapMB, size.MembersHeapMB, size.SourceHeapMB, size.StateBytes, size.MembersBytes)
		fmt.Fprintf(o.Progress, "              a change of a server %d bytes, %.0f µs; of a route %d bytes, %.0f µs; of a member %.0f µs; a whole view %.1f ms\n",
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
		Address: fmt.Sprintf("%s:%d", address(network, machine), port), Zone: o.zone(machine), Slots: slots, ProtocolVersion: 1}
}

func (o *StateOptions) member(machine int) *wire.Member {
	s := o.server(machine)
	return &wire.Member{Name: s.Node, Address: s.Address, Zone: s.Zone, Generation: uint64(time.Now().UnixMilli())}
}

func (o *StateOptions) zone(machine int) string {
	return zoneName(machine%stateZones, stateZones, stateRegions)
}

// source is the replicated state of a mesh, as a quorum member holds it.
func (o *StateOptions) source(nodes int) (*catalog.Catalog, error) {
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

// take applies an encoded feed, up to the routing tables.
func (n *nodeState) take(data []byte) error {
	feed := new(wire.Feed)
	if err := proto.Unmarshal(data, feed); err != nil {
		return err
	}
	if !n.hub.Apply(feed.Changes) {
		return errors.New("a difference does not begin where the node stands")
	}
	changes, config := n.hub.State(n.cluster.Index())
	n.cluster.Apply(changes, config)
	n.outbound.Update(n.cluster.ClusterState())
	return nil
}

// takeMembers applies encoded updates of members.
func (n *nodeState) takeMembers(now time.Duration, data []byte) error {
	answer := new(wire.ProbeResponse)
	if err := proto.Unmarshal(data, answer); err != nil {
		return err
	}
	n.group.Merge(now, answer.Updates...)
	n.cluster.SetMembers(n.group.Members(), func(node string) bool { return n.group.DeadFor(now, node) > 0 })
	n.outbound.Update(n.cluster.ClusterState())
	return nil
}

// median returns the median of some times, in µs.
func median(f func(i int) error) (float64, error) {
	var all []float64
	for i := range stateChanges {
		began := time.Now()
		if err := f(i); err != nil {
			return 0, err
		}
		all = append(all, float64(time.Since(began).Nanoseconds())/1000)
	}
	slices.Sort(all)
	return quantile(all, 0.5), nil
}

// newNodeState returns a node with an empty state.
func newNodeState(o *StateOptions) *nodeState {
	n := &nodeState{hub: relay.NewHub(func() time.Duration { return 0 }), group: membership.New(o.member(0), 1, 0)}
	n.outbound = &proxy.Outbound{Node: nodeName(0), Zone: o.zone(0), Backend: serviceName(0), Ratio: 0.2, Window: 10 * time.Second,
		Log: slog.New(slog.DiscardHandler), Graph: func(string, string) (inner, repeat bool) { return false, false }, CallFailed: func(string) {}}
	n.outbound.Start(1)
	return n
}

// measure builds the state of a mesh of some size, and a node's copy of it, step by step.
func (o *StateOptions) measure(nodes int) (*StateSize, error) {
	size := &StateSize{Nodes: nodes}
	begin := liveHeap()
	source, err := o.source(nodes)
	if err != nil {
		return nil, err
	}
	size.SourceHeapMB = megabytes(liveHeap() - begin)
	first, err := o.firstFeeds(source, size)
	if err != nil {
		return nil, err
	}
	n := newNodeState(o)
	for i, data := range first {
		before := liveHeap()
		if err := n.take(data); err != nil {
			return nil, err
		}
		grown := megabytes(liveHeap() - before)
		if i == 0 {
			size.ConfigHeapMB = grown
		} else {
			size.ServersHeapMB = grown
		}
	}
	if err := o.measureMembers(n, size); err != nil {
		return nil, err
	}
	return size, o.measureChanges(source, n, size)
}

// firstFeeds returns the first feeds of a node: the configuration, and then the registry as a difference. Together they
// are the full state that a node gets in one feed.
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

// measureMembers gives a node the membership list, and measures single deaths.
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
	if err := n.takeMembers(0, data); err != nil {
		return err
	}
	size.MembersHeapMB = megabytes(liveHeap() - before)
	began := time.Now()
	answer, err := proto.Marshal(n.group.HandleProbe(&wire.ProbeRequest{FullView: true}))
	if err != nil {
		return err
	}
	size.AnswerMs, size.MembersBytes = milliseconds(time.Since(began)), len(answer)
	size.MemberMicros, err = median(func(i int) error {
		dead := o.member(1 + (1+i*stateZones)%(size.Nodes-1)) // never of the node's own zone
		dead.State = wire.Member_DEAD
		data, err := proto.Marshal(&wire.ProbeResponse{Updates: []*wire.Member{dead}})
		if err != nil {
			return err
		}
		return n.takeMembers(0, data)
	})
	return err
}

// measureChanges changes servers and routes one by one at the source, and applies each at the node.
func (o *StateOptions) measureChanges(source *catalog.Catalog, n *nodeState, size *StateSize) (err error) {
	var feeds [][]byte
	size.ServerChange, feeds, err = changeFeeds(source, func(i int) *wire.Command {
		s := o.server(i % size.Nodes)
		s.Draining = i/size.Nodes%2 == 0 // another value in each round
		return &wire.Command{Change: &wire.Command_Server{Server: s}}
	})
	if err != nil {
		return err
	}
	if size.ServerMicros, err = median(func(i int) error { return n.take(feeds[i]) }); err != nil {
		return err
	}
	size.RouteChange, feeds, err = changeFeeds(source, func(i int) *wire.Command { return o.routeCommand(source, i) })
	if err != nil {
		return err
	}
	size.RouteMicros, err = median(func(i int) error { return n.take(feeds[i]) })
	return err
}

// routeCommand changes one route of the configuration in force.
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

// changeFeeds makes changes at the source, and returns their feeds, and the median of their bytes.
func changeFeeds(source *catalog.Catalog, command func(i int) *wire.Command) (bytes int, feeds [][]byte, err error) {
	var lengths []float64
	for i := range stateChanges {
		changes, err := source.Apply(command(i))
		if err != nil {
			return 0, nil, err
		}
		if changes == nil {
			return 0, nil, errors.New("a change has changed nothing")
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
