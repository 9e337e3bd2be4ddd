package lab

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is a fault that a scenario injects.
type Fault struct {
	AtS    float64   `toml:"at_s"`
	ForS   float64   `toml:"for_s"`
	Kind   FaultKind `toml:"kind"`
	Target string    `toml:"target"` // such as "leader", "core 1", "node 4", "server ledger 2", "zone 1", "all" or "route pay"
	Factor float64   `toml:"factor"` // depends on Kind
	Share  float64   `toml:"share"`  // if positive, affects this share of a service's servers; Target may then be "server ledger"
	Mode   GreyMode  `toml:"how"`    // how a grey server fails
	From   string    `toml:"from"`   // if set, a grey server fails only for callers in this zone, such as z1
}

// FaultKind is the effect of a fault on its target.
type FaultKind string

// The fault kinds. Their values are the names in scenario files.
const (
	Crash       FaultKind = "crash" // the process stops, and restarts at the end of the fault
	PowerLoss   FaultKind = "power" // as Crash, and unsynced writes are lost
	DiskLoss    FaultKind = "wipe"  // as PowerLoss, and the disk is emptied
	Slow        FaultKind = "slow"  // work takes Factor times as long
	Stall       FaultKind = "stall" // a disk completes no sync, or a server does no work
	Drain       FaultKind = "drain" // a server drains, stops and is replaced
	Deregister  FaultKind = "leave" // as Drain, but the server deregisters at once, sends no further heartbeats and serves on
	Grey        FaultKind = "grey"  // a server fails the share Factor of its runs
	Flap        FaultKind = "flap"  // a server stops or starts every Factor seconds
	Partition   FaultKind = "cut"   // messages to and from the target are dropped
	MessageLoss FaultKind = "loss"  // the share Factor of all segments is lost
	LoadBurst   FaultKind = "burst" // a route's request rate is multiplied by Factor
)

// GreyMode is how a grey server fails a run.
type GreyMode string

// The modes. Their values are the names in scenario files.
const (
	GreyError  GreyMode = "error" // status 500 after greyFailureDelay
	GreyHang   GreyMode = "hang"  // no response
	GreyReset  GreyMode = "reset" // the connection breaks after greyFailureDelay, without a response
	GreyReject GreyMode = "shed"  // status 503, and the request does not run
	GreySlow   GreyMode = "slow"  // the work takes greySlowdown times as long
)

// greyModes lists all modes. Random faults draw from it, so its order must stay.
var greyModes = []GreyMode{GreyError, GreyHang, GreyReset, GreyReject, GreySlow}

// targetKind is the first word of a fault's target.
type targetKind string

const (
	targetLeader targetKind = "leader"
	targetMember targetKind = "core" // a quorum member
	targetNode   targetKind = "node"
	targetServer targetKind = "server"
	targetZone   targetKind = "zone"
	targetAll    targetKind = "all" // the whole mesh
	targetRoute  targetKind = "route"
)

// faultTargets maps each kind of fault to the kinds of target that it applies to. Random
// faults draw from the lists, so their order must stay.
var faultTargets = map[FaultKind][]targetKind{
	Crash:       {targetLeader, targetMember, targetNode, targetServer},
	PowerLoss:   {targetLeader, targetMember, targetNode, targetZone, targetAll},
	DiskLoss:    {targetLeader, targetMember},
	Slow:        {targetServer},
	Stall:       {targetServer, targetLeader, targetMember},
	Drain:       {targetServer},
	Deregister:  {targetServer},
	Grey:        {targetServer},
	Flap:        {targetServer},
	Partition:   {targetLeader, targetMember, targetNode, targetZone},
	MessageLoss: {targetAll},
	LoadBurst:   {targetRoute},
}

// target splits a fault's target into its kind and the rest.
func (f *Fault) target() (targetKind, string) {
	kind, rest, _ := strings.Cut(f.Target, " ")
	return targetKind(kind), rest
}

// targetIndex returns the index of a fault's target among those of its kind, or -1 if the
// target does not exist. A server's index counts over all services.
func (s *Scenario) targetIndex(f Fault) int {
	kind, rest := f.target()
	switch kind {
	case targetLeader, targetAll:
		return 0
	case targetRoute:
		return slices.IndexFunc(s.Routes, func(r Route) bool { return r.Name == rest })
	case targetServer:
		return s.serverIndex(rest, f.Share > 0)
	case targetMember:
		return indexBelow(s.QuorumMembers, rest)
	case targetNode:
		return indexBelow(s.Nodes, rest)
	case targetZone:
		return indexBelow(s.Zones, rest)
	}
	return -1
}

// serverIndex returns the index of a server that is written as "service number", or -1 if
// it does not exist. With share, "service" alone names the service's first server.
func (s *Scenario) serverIndex(text string, share bool) int {
	name, number, numbered := strings.Cut(text, " ")
	first := 0
	for _, service := range s.Services {
		if service.Name != name {
			first += service.Servers
			continue
		}
		if share && !numbered && service.Servers > 0 {
			return first
		}
		if i := indexBelow(service.Servers, number); i >= 0 {
			return first + i
		}
		return -1
	}
	return -1
}

// indexBelow parses an index. It returns -1 if the text is not a number from 0 to count-1.
func indexBelow(count int, text string) int {
	i := -1
	if _, err := fmt.Sscan(text, &i); err != nil || i < 0 || i >= count {
		return -1
	}
	return i
}
