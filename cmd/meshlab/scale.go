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
	Nodes      int           `default:"100" help:"Total number of nodes, such as 300, 1000 or 3000."`
	Real       int           `default:"10" help:"Number of nodes that run as ivydeck-data processes, each with a test server."`
	PerProcess int           `help:"Number of hollow nodes per process; 0 selects the maximum that the limit of file descriptors allows."`
	Services   int           `default:"2000" help:"Number of services in the configuration."`
	Routes     int           `default:"2000" help:"Number of routes in the configuration."`
	Zones      int           `default:"12" help:"Total number of zones in all regions."`
	Regions    int           `default:"4" help:"Number of regions; the cut event disconnects the last one."`
	Port       int           `help:"First of six consecutive ports on which each node listens, at its own address; 0 selects free ports."`
	Quiet      time.Duration `default:"10s" help:"Duration of the quiet event."`
	Stream     time.Duration `default:"8s" help:"Duration of each stream of changes."`
	Cut        time.Duration `default:"8s" help:"Time for which a region is disconnected."`
	MinEvent   time.Duration `default:"3s" help:"Minimum duration of an event, during which its measures are taken."`
	Settle     time.Duration `default:"40s" help:"Maximum time for all nodes to converge after an event."`
	Bound      time.Duration `default:"170s" help:"Time limit of the run; the report lists the events that did not run."`
	Events     []string      `placeholder:"NAME" help:"Run only these events after the start: quiet, operator, change, stream-day, stream-10, restart, roll, loss, return, cut, cold."`
	Report     string        `type:"path" placeholder:"FILE" help:"Write the measurements to this file as JSON."`
	Plot       string        `type:"path" placeholder:"FILE.png" help:"Write a plot of the propagation of changes to this file."`
	Programs   string        `placeholder:"DIR" help:"Folder of ivydeck-data and ivydeck-control; by default the folder of this program."`
}

// Help returns the detailed help text.
func (c *scaleCmd) Help() string {
	return `Starts three ivydeck-control processes, some ivydeck-data processes, and hollow nodes, many of which share a process. A hollow
node runs the control-plane functions of a node (membership, the relay tree, the configuration, the registration of a server)
over its own loopback sockets, and carries no requests. The command then runs events one after another. For each it measures the
resource use per second of a node of each role (bytes, messages, CPU time, memory, sockets, goroutines), the time until a change of
the configuration reaches the nodes, and the time until all nodes have converged.

All addresses are in one random network 127.N.0.0/16. A run uses at most 16 GB and 300 processes; sizes that need more are
rejected. It ends by --bound at the latest, and stops all processes that it has started, also on an interrupt. The machine's
limit bounds the number of file descriptors.

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

// commandLine returns the command line for reports, with absolute paths replaced by their base names.
func commandLine(arguments []string) string {
	words := []string{"meshlab"}
	for _, argument := range arguments {
		if filepath.IsAbs(argument) {
			argument = filepath.Base(argument)
		}
		words = append(words, argument)
	}
	return strings.Join(words, " ")
}

type hollowCmd struct{}

// Run runs hollow nodes, controlled by the scale command through standard input and output.
func (c *hollowCmd) Run() error { return scale.RunHollow(os.Stdin, os.Stdout) }

type scaleFitCmd struct {
	Reports []string `arg:"" type:"existingfile" help:"Reports of meshlab scale for several sizes."`
	Event   []string `placeholder:"NAME" help:"Show only these events."`
	Role    []string `placeholder:"NAME" help:"Show only these roles: leader, follower, real, hollow, all."`
	Measure []string `placeholder:"TEXT" help:"Show only measures whose names contain one of these texts."`
	Budget  bool     `help:"Show only measures that have a budget."`
	Methods bool     `help:"Show also the measures of single RPC methods."`
	Nodes   int      `default:"28000" help:"Number of nodes to which the fits are extrapolated."`
}

// Help returns the detailed help text.
func (c *scaleFitCmd) Help() string {
	return `Fits each measure over the number of nodes in two ways: with a power law (least squares of the logarithms; the slope is the
exponent) and with a straight line. Confidence intervals are 95 %, by Student's t; with only two sizes there are none. Values at
the target size are extrapolated, not measured. The verdict is valid only if both fits agree.`
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
	target := scale.DefaultTarget
	target.Nodes = c.Nodes
	series := scale.SeriesOf(reports, target)
	series = slices.DeleteFunc(series, func(s *scale.Series) bool {
		return len(c.Event) > 0 && !slices.Contains(c.Event, s.Event) || len(c.Role) > 0 && !slices.Contains(c.Role, s.Role) ||
			len(c.Measure) > 0 && !slices.ContainsFunc(c.Measure, func(text string) bool { return strings.Contains(s.Measure, text) }) ||
			c.Budget && s.Budget == 0 || s.PerMethod && !c.Methods || slices.Max(s.Values) == 0
	})
	scale.WriteTable(os.Stdout, series, target)
	return nil
}

type scaleStateCmd struct {
	Nodes    []int  `default:"100,1000,10000,28000" help:"Numbers of nodes to measure."`
	Services int    `default:"2000" help:"Number of services in the configuration."`
	Routes   int    `default:"2000" help:"Number of routes in the configuration."`
	Report   string `type:"path" placeholder:"FILE" help:"Write the measurements to this file as JSON."`
}

// Help returns the detailed help text.
func (c *scaleStateCmd) Help() string {
	return `Builds, in this process, the replicated state of a mesh and a node's copy of it from encoded messages. Measures the live heap of
each part, the size of the first feed and of a full membership view, and the size and time of single changes. The measures
exclude connections, the runtime and garbage; the scale command includes them.`
}

func (c *scaleStateCmd) Run() error {
	_, err := scale.MeasureState(scale.StateOptions{Nodes: c.Nodes, Services: c.Services, Routes: c.Routes, Report: c.Report,
		Command: commandLine(os.Args[1:]), Progress: os.Stderr})
	return err
}
