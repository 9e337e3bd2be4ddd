package scale

import "ivydeck/internal/transport/rpc"

// job is the first message to a process of hollow nodes.
type job struct {
	Network, Real, Zones, Regions, Services int
	Ports                                   ports
}

func (j *job) zoneOf(machine int) int { return zoneOf(machine, j.Real, j.Zones, j.Regions) }

// command is a command for a process of hollow nodes, which answers each.
type command struct {
	Stop      []int  `json:",omitempty"` // machines
	Leave     []int  `json:",omitempty"` // the same as a planned end: servers go off the list, and others are told
	Start     []int  `json:",omitempty"`
	Partition *int   `json:",omitempty"` // region to be cut off; -1: none
	State     bool   `json:",omitempty"`
	Index     uint64 `json:",omitempty"` // of an update, whose arrivals are asked for
	Usage     bool   `json:",omitempty"`
}

type answer struct {
	Fault    string  `json:",omitempty"`
	State    *state  `json:",omitempty"`
	Arrivals []int64 `json:",omitempty"` // unix microseconds
	Usage    *usage  `json:",omitempty"`
}

// state is the range of states of some nodes.
type state struct {
	Nodes, Ready           int
	MinIndex, MaxIndex     uint64
	MinMembers, MaxMembers int
	MaxAgeMs               int64
}

// usage is the resource usage that a process reports.
type usage struct {
	Traffic    rpc.Traffic
	Goroutines int
}
