package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"ivydeck/internal/modelcheck"
	"ivydeck/internal/mutation"
)

type checkCmd struct {
	Only      []string `placeholder:"NAME" help:"Of the named bounds, these; all where none is given."`
	Terms     uint64   `help:"Bounds of your own: the newest term (the core begins in term 1)."`
	Machines  int      `default:"3" help:"Voters at the start."`
	Link      int      `default:"1" help:"Messages under way from one machine to another, at most."`
	Proposals int      `help:"Changes put into the log."`
	Reads     int      `help:"Reads by leaders."`
	Beats     int      `help:"Rounds of contact without need."`
	Crashes   int      `help:"Processes that die and start again."`
	Wipes     int      `help:"Disks that are lost."`
	Changes   int      `help:"Changes of the members."`
	Compacts  int      `help:"Snapshots."`
	Handovers int      `help:"Leads given away."`
	Batch     int      `help:"Entries in one message, at most; 0: as in service."`
	Old       bool     `help:"Keep messages of earlier terms on their links."`
	States    int      `help:"Stop behind so many, in the named bounds as well; 0: look at all, or as many as the name says."`
}

func (c *checkCmd) Run() error {
	list := modelcheck.Named
	if c.Terms > 0 {
		b := modelcheck.Bounds{Machines: c.Machines, Terms: c.Terms, Link: c.Link, Proposals: c.Proposals, Reads: c.Reads, Beats: c.Beats,
			Crashes: c.Crashes, Wipes: c.Wipes, Changes: c.Changes, Compacts: c.Compacts, Handovers: c.Handovers, Batch: c.Batch, Old: c.Old}
		list = []modelcheck.Set{{Name: "own", Bounds: b}}
	}
	for _, n := range list {
		if len(c.Only) > 0 && !slices.Contains(c.Only, n.Name) {
			continue
		}
		if c.States > 0 {
			n.Bounds.States = c.States
		}
		r := modelcheck.Search(n.Bounds)
		all := "all of them"
		if !r.Complete {
			all = "not all"
		}
		fmt.Printf("%-10s %9d states (%s), %9d steps, %2d deep, %s\n", n.Name, r.States, all, r.Steps, r.Depth, r.Took.Round(time.Millisecond))
		if r.Broken != "" {
			fmt.Println("  " + strings.Join(r.Trace, "\n  "))
			return fmt.Errorf("%s: after %d steps %s", n.Name, len(r.Trace), r.Broken)
		}
	}
	return nil
}

type mutateCmd struct {
	Bugs  string   `arg:"" type:"existingfile" help:"A list of bugs, such as lab/mutations.toml."`
	Only  []string `placeholder:"NAME" help:"Of the bugs, those whose names hold this."`
	Seeds int      `default:"600" help:"Worlds of the consensus's simulation; a twentieth of them of the lab's."`
	Jobs  int      `default:"2" help:"Bugs at a time."`
}

func (c *mutateCmd) Run(ctx context.Context) error {
	bugs, err := mutation.Load(c.Bugs, ".")
	if err != nil {
		return err
	}
	rows, err := mutation.Try(ctx, bugs, mutation.Options{Root: ".", Only: c.Only, Seeds: c.Seeds, Jobs: c.Jobs, Progress: os.Stderr})
	if err != nil {
		return err
	}
	missed := 0
	fmt.Println("| bug | checker | simulation | lab | other tests |\n|---|---|---|---|---|")
	for _, r := range rows {
		fmt.Println(r)
		if !r.Caught() {
			missed++
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d of %d bugs were not found", missed, len(rows))
	}
	return nil
}
