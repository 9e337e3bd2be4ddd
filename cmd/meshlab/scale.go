package main

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"ivydeck/internal/simulation/scale"
)

type scaleCmd struct {
	Nodes      int           `default:"100" help:"Nodes in all, such as 300, 1000, 3000."`
	Real       int           `default:"10" help:"Of them in ivydeck-data processes of their own, with a stand-in for a server each."`
	PerProcess int           `help:"Hollow nodes that share a process; 0: as many as the limit of descriptors allows."`
	Services   int           `default:"2000" help:"Services in the configuration."`
	Routes     int           `default:"2000" help:"Routes in the configuration."`
	Zones      int           `default:"12" help:"Zones of all regions together."`
	Regions    int           `default:"4" help:"Regions; the last one is cut off in the event of that name."`
	Port       int           `help:"First of six ports that all listen on, each on an address of its own; 0: any that are free."`
	Quiet      time.Duration `default:"10s" help:"Length of the quiet event."`
	Stream     time.Duration `default:"8s" help:"Length of each stream of changes."`
	Cut        time.Duration `default:"8s" help:"How long a region is cut off."`
	MinEvent   time.Duration `default:"3s" help:"Least length of an event, over which its figures are taken."`
	Settle     time.Duration `default:"40s" help:"How long all nodes get to agree after an event."`
	Bound      time.Duration `default:"170s" help:"The run ends by then; events that were not played are named as such."`
	Events     []string      `placeholder:"NAME" help:"Play only these, behind the start: quiet, operator, change, stream-day, stream-10, restart, roll, loss, return, cut, cold."`
	Report     string        `type:"path" placeholder:"FILE" help:"Write the measurements here, as JSON."`
	Plot       string        `type:"path" placeholder:"FILE.png" help:"Draw here how changes spread."`
	Programs   string        `placeholder:"DIR" help:"Folder of ivydeck-data and ivydeck-control; this program's own where it is not given."`
}

// Help explains the command.
func (c *scaleCmd) Help() string {
	return `Starts three ivydeck-control processes, some ivydeck-data processes, and hollow nodes, of which many share a process. A hollow
node runs a node's whole part in the control plane (membership, the relay tree, the configuration, the registration of a server)
over loopback sockets of its own, and carries no requests. Then it plays events one after another, and measures for each what a
node of every role costs a second (bytes, messages, processor time, memory, sockets, goroutines), how long a change of the
configuration takes to the nodes, and how long it takes until all agree again.

All addresses are of one random network 127.N.0.0/16. The run takes at most 16 GB and 300 processes; it refuses sizes that would
take more. It ends by itself, by --bound at the latest, and ends what it has started, also on an interrupt. Descriptors are bounded by
the machine's own limit.

    meshlab scale --nodes 300 --report docs/capacity/300.json --plot /tmp/300.png
    meshlab scale --nodes 1000 --events quiet,change,loss
    meshlab scale-fit docs/capacity/*.json`
}

func (c *scaleCmd) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Programs == "" {
		c.Programs = filepath.Dir(self)
	}
	_, err = scale.Run(ctx, scale.Options{
		Programs: c.Programs, Self: self, Nodes: c.Nodes, Real: c.Real, PerProcess: c.PerProcess, Services: c.Services, Routes: c.Routes,
		Zones: c.Zones, Regions: c.Regions, Port: c.Port, Quiet: c.Quiet, Stream: c.Stream, Cut: c.Cut, MinEvent: c.MinEvent,
		Settle: c.Settle, Bound: c.Bound,
		Events: c.Events, Report: c.Report, Plot: c.Plot, Command: commandLine(os.Args[1:]), Progress: os.Stderr,
	})
	return err
}

// commandLine is the command as it was given, with files named without their folders.
func commandLine(arguments []string) string {
	words := []string{"meshlab"}
	for _, a := range arguments {
		if filepath.IsAbs(a) {
			a = filepath.Base(a)
		}
		words = append(words, a)
	}
	return strings.Join(words, " ")
}

type hollowCmd struct{}

// Run runs hollow nodes for the command scale.
func (c *hollowCmd) Run() error { return scale.RunHollow(os.Stdin, os.Stdout) }

type scaleFitCmd struct {
	Reports []string `arg:"" type:"existingfile" help:"Reports of meshlab scale, of several sizes."`
	Event   []string `placeholder:"NAME" help:"Only these events."`
	Role    []string `placeholder:"NAME" help:"Only these roles: leader, follower, real, hollow, all."`
	Measure []string `placeholder:"TEXT" help:"Only measures whose names hold one of these."`
	Budget  bool     `help:"Only measures that have a budget."`
	Methods bool     `help:"Also the parts of single methods."`
	Nodes   int      `default:"28000" help:"Carry the fits on to so many nodes."`
}

// Help explains the command.
func (c *scaleFitCmd) Help() string {
	return `Fits each figure twice over the sizes: by least squares of its logarithm over that of the number of nodes (the slope is the power
with which it grows), and by a line. Intervals are of 95 %, by Student's t; two sizes have none. What the fits lead to at the target is
not measured, and the verdict holds where both agree.`
}

func (c *scaleFitCmd) Run() error {
	var reports []*scale.Report
	for _, path := range c.Reports {
		r, err := scale.ReadReport(path)
		if err != nil {
			return err
		}
		reports = append(reports, r)
	}
	target := scale.UsersTarget
	target.Nodes = c.Nodes
	all := scale.SeriesOf(reports, target)
	all = slices.DeleteFunc(all, func(s *scale.Series) bool {
		return len(c.Event) > 0 && !slices.Contains(c.Event, s.Event) || len(c.Role) > 0 && !slices.Contains(c.Role, s.Role) ||
			len(c.Measure) > 0 && !slices.ContainsFunc(c.Measure, func(text string) bool { return strings.Contains(s.Measure, text) }) ||
			c.Budget && s.Budget == 0 || s.Method && !c.Methods || slices.Max(s.Values) == 0
	})
	scale.WriteTable(os.Stdout, all, target)
	return nil
}

type scaleStateCmd struct {
	Nodes    []int  `default:"100,1000,10000,28000" help:"Sizes of meshes."`
	Services int    `default:"2000" help:"Services in the configuration."`
	Routes   int    `default:"2000" help:"Routes in the configuration."`
	Report   string `type:"path" placeholder:"FILE" help:"Write the measurements here, as JSON."`
}

// Help explains the command.
func (c *scaleStateCmd) Help() string {
	return `Builds the replicated state of a mesh, and one node's copy of it from what comes over the wire, in this process: the living heap
of each part, the bytes of a first feed and of a whole view of the members, and the bytes and times of single changes. Connections, the
runtime and garbage are not in it: see the command scale.`
}

func (c *scaleStateCmd) Run() error {
	_, err := scale.MeasureState(scale.StateOptions{Nodes: c.Nodes, Services: c.Services, Routes: c.Routes, Report: c.Report,
		Command: commandLine(os.Args[1:]), Progress: os.Stderr})
	return err
}
