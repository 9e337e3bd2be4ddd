package scale

import "ivydeck/internal/transport/rpc"

// job is the first message to a hollow process. It holds the layout of the mesh.
type job struct {
	Network, Real, Zones, Regions, Services int
	Ports                                   ports
}

func (j *job) zoneOf(machine int) int { return zoneOf(machine, j.Real, j.Zones, j.Regions) }

// command is a request to a hollow process, which sends a response to each.
type command struct {
	Stop      []int  `json:",omitempty"` // machines whose nodes end without an announcement
	Leave     []int  `json:",omitempty"` // machines whose nodes shut down gracefully
	Start     []int  `json:",omitempty"` // machines whose nodes start
	Partition *int   `json:",omitempty"` // region to partition from the others; -1 ends the partition
	State     bool   `json:",omitempty"`
	Index     uint64 `json:",omitempty"` // index of the update whose arrivals are requested; zero if none
	Usage     bool   `json:",omitempty"`
}

// response is the response to a command. Fault is the error of the command, if any.
type response struct {
	Fault    string  `json:",omitempty"`
	State    *state  `json:",omitempty"`
	Arrivals []int64 `json:",omitempty"` // Unix microseconds, one per node that has the update
	Usage    *usage  `json:",omitempty"`
}

// state holds the minima and maxima over the nodes of a process, and how many of them run and are ready.
type state struct {
	Nodes, Ready           int
	MinIndex, MaxIndex     uint64
	MinMembers, MaxMembers int
	MaxAgeMs               int64
}

// usage is the part of a hollow process's resource usage that the kernel does not report.
type usage struct {
	Traffic    rpc.Traffic
	Goroutines int
}
