package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"ivydeck/internal/simulation/scale"
)

type hopsCmd struct {
	Depth    int           `default:"10" help:"Maximum length of a chain of calls; all lengths from 1 are measured."`
	Requests int           `default:"1000" help:"Number of chains of each length, with and without nodes."`
	Workers  int           `default:"16" help:"Number of concurrent callers in the load phase."`
	Load     time.Duration `default:"5s" help:"Duration of the load phase; 0 skips it."`
	Bound    time.Duration `default:"150s" help:"Time limit of the benchmark."`
	Report   string        `type:"path" placeholder:"FILE" help:"Write the measurements to this file as JSON."`
	Programs string        `placeholder:"DIR" help:"Folder of ivydeck-data and ivydeck-control; by default the folder of this program."`
}

// Help returns the detailed help text.
func (c *hopsCmd) Help() string {
	return `Starts three ivydeck-control processes and, for each hop, an ivydeck-data process with a test server, on loopback. In a chain of N
hops each server calls the next one, up to N calls. Chains run in pairs, one through the nodes and one directly between the
servers; the difference is the latency that nodes add. In the load phase, callers then make calls of one hop at the maximum rate,
to measure the CPU time of a call in the two nodes on its path.`
}

func (c *hopsCmd) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Programs == "" {
		c.Programs = filepath.Dir(self)
	}
	_, err = scale.Hops(ctx, scale.HopOptions{
		Programs: c.Programs, Depth: c.Depth, Requests: c.Requests, Workers: c.Workers, Load: c.Load, Bound: c.Bound, Report: c.Report,
		Command: commandLine(os.Args[1:]), Progress: os.Stderr,
	})
	return err
}
