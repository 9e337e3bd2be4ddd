package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"ivydeck/internal/simulation/scale"
)

type hopsCmd struct {
	Depth    int           `default:"10" help:"The longest chain of calls; all lengths from 1 on are measured."`
	Requests int           `default:"1000" help:"Chains of each length, each way."`
	Workers  int           `default:"16" help:"Callers of the load."`
	Load     time.Duration `default:"5s" help:"Length of the load; 0: none."`
	Bound    time.Duration `default:"150s" help:"The benchmark ends by then."`
	Report   string        `type:"path" placeholder:"FILE" help:"Write the measurements here, as JSON."`
	Programs string        `placeholder:"DIR" help:"Folder of ivydeck-data and ivydeck-control; this program's own where it is not given."`
}

// Help explains the command.
func (c *hopsCmd) Help() string {
	return `Starts three ivydeck-control processes and an ivydeck-data process with a stand-in server for each hop, on loopback. A chain of N
hops is a call whose server makes the next one, N deep. Chains are made in pairs, one through the nodes and one straight from server
to server, in turn; the difference is what nodes add. Then callers make calls of one hop as fast as they can, for the
processor time that a call costs the two nodes on its way.`
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
