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
	Target string    `toml:"target"` // "leader", "core 1", "node 4", "server ledger 2", "zone 1", "all", "route pay"
	Factor float64   `toml:"factor"` // see the kinds
	Share  float64   `toml:"share"`  // of a service's servers instead of one: target "server ledger"
	Mode   GreyMode  `toml:"how"`    // of grey servers
	From   string    `toml:"from"`   // only callers in this zone, such as z1, see a grey server fail
}

// FaultKind is what a fault does to its target.
type FaultKind string

// The kinds, by their names in scenarios.
const (
	Crash       FaultKind = "crash" // the process ends and starts again
	PowerLoss   FaultKind = "power" // as Crash, and what was not synced is lost
	DiskLoss    FaultKind = "wipe"  // as PowerLoss, with an empty disk
	Slow        FaultKind = "slow"  // work takes Factor times as long
	Stall       FaultKind = "stall" // a disk or a server does nothing
	Drain       FaultKind = "drain" // a server announces its end and is replaced
	Grey        FaultKind = "grey"  // a server fails the share Factor of its runs
	Flap        FaultKind = "flap"  // a server ends and starts each Factor seconds
	Partition   FaultKind = "cut"   // no message passes
	MessageLoss FaultKind = "loss"  // the share Factor of all segments is lost
	LoadBurst   FaultKind = "burst" // a route has Factor times its rate
)

// GreyMode is how a grey server fails a run.
type GreyMode string

// The modes, by their names in scenarios.
const (
	GreyError  GreyMode = "error" // an answer with status 500, at once
	GreyHang   GreyMode = "hang"  // no answer
	GreyReset  GreyMode = "reset" // the connection ends without an answer, at once
	GreyReject GreyMode = "shed"  // status 503 before it runs
	GreySlow   GreyMode = "slow"  // the work takes far longer
)

// greyModes are all of them, in the order in which random faults draw from them.
var greyModes = []GreyMode{GreyError, GreyHang, GreyReset, GreyReject, GreySlow}

// targetKind is the first word of a fault's target.
type targetKind string

const (
	targetLeader targetKind = "leader"
	targetMember targetKind = "core" // a quorum member
	targetNode   targetKind = "node"
	targetServer targetKind = "server"
	targetZone   targetKind = "zone"
	targetAll    targetKind = "all" // machines
	targetRoute  targetKind = "route"
)

// faultTargets are the targets that each kind of fault applies to, in the order in
// which random faults draw from them.
var faultTargets = map[FaultKind][]targetKind{
	Crash:       {targetLeader, targetMember, targetNode, targetServer},
	PowerLoss:   {targetLeader, targetMember, targetNode, targetZone, targetAll},
	DiskLoss:    {targetLeader, targetMember},
	Slow:        {targetServer},
	Stall:       {targetServer, targetLeader, targetMember},
	Drain:       {targetServer},
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

// targetIndex returns the index of a fault's target among those of its kind; -1: there
// is none. A server's index counts over all services.
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

// serverIndex returns the index of a server, written as "service number". With share
// it may be written as "service", which is its first one.
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

// indexBelow reads an index below a count; -1: it is none.
func indexBelow(count int, text string) int {
	i := -1
	if _, err := fmt.Sscan(text, &i); err != nil || i < 0 || i >= count {
		return -1
	}
	return i
}
