package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"ivydeck/internal/simulation/modelcheck"
	"ivydeck/internal/simulation/mutation"
)

type checkCmd struct {
	Only       []string      `placeholder:"NAME" help:"Of the named searches, these; all where none is given. walks: the random walks."`
	Walks      int           `default:"20000" help:"Random walks behind the searches."`
	Seed       uint64        `default:"1" help:"The first walk's; the walks of several processes need ranges of their own."`
	Steps      int           `default:"200" help:"Events in one walk, at most."`
	Limit      time.Duration `help:"No search and no walk is begun after it; 0: no bound."`
	States     int           `help:"Stop a search behind so many; 0: look at all, or as many as the name says."`
	Terms      uint64        `help:"A search of your own: the newest term (the members begin in term 1)."`
	Members    int           `default:"3" help:"Voters at the start."`
	Link       int           `default:"1" help:"Messages under way from one member to another, at most."`
	Proposals  int           `help:"Commands put into the log."`
	Reads      int           `help:"Reads by leaders."`
	Heartbeats int           `help:"Rounds of contact without need."`
	Crashes    int           `help:"Processes that die and start again."`
	Wipes      int           `help:"Disks that are lost."`
	Changes    int           `help:"Changes of the members."`
	Snapshots  int           `help:"Snapshots."`
	Transfers  int           `help:"Leaderships handed over."`
	Duplicates int           `help:"Messages that arrive and stay on their link."`
	Batch      int           `help:"Entries in one message, at most; 0: as in service."`
	Old        bool          `help:"Keep messages of earlier terms on their links."`
	Unordered  bool          `help:"Let messages of a link overtake each other."`
}

// sets are the searches that are asked for.
func (c *checkCmd) sets() []modelcheck.SearchConfig {
	if c.Terms > 0 {
		return []modelcheck.SearchConfig{{Name: "own", Bounds: modelcheck.Bounds{
			Members: c.Members, Terms: c.Terms, Link: c.Link, Proposals: c.Proposals, Reads: c.Reads, Heartbeats: c.Heartbeats,
			Crashes: c.Crashes, Wipes: c.Wipes, Changes: c.Changes, Snapshots: c.Snapshots, Transfers: c.Transfers,
			Duplicates: c.Duplicates, Batch: c.Batch, KeepStale: c.Old, Unordered: c.Unordered,
		}}}
	}
	var list []modelcheck.SearchConfig
	for _, set := range modelcheck.Searches {
		if c.wanted(set.Name) {
			list = append(list, set)
		}
	}
	return list
}

func (c *checkCmd) wanted(name string) bool { return len(c.Only) == 0 || slices.Contains(c.Only, name) }

func (c *checkCmd) Run() error {
	began := time.Now()
	for _, set := range c.sets() {
		if c.Limit > 0 && time.Since(began) > c.Limit {
			return fmt.Errorf("%s and what comes after it was not searched within %v", set.Name, c.Limit)
		}
		if c.States > 0 {
			set.States = c.States
		}
		r, err := modelcheck.Search(set)
		if err != nil {
			return err
		}
		extent := "all of them"
		if !r.Complete {
			extent = "not all"
		}
		fmt.Printf("%-18s %9d states (%s), %9d steps, %2d deep, %s\n", set.Name, r.States, extent, r.Steps, r.Depth, r.Elapsed.Round(time.Millisecond))
		if r.Violation != "" {
			fmt.Println("  " + strings.Join(r.Trace, "\n  "))
			return fmt.Errorf("%s: after %d steps and %d states %s", set.Name, len(r.Trace), r.States, r.Violation)
		}
	}
	if c.Walks == 0 || c.Terms > 0 || !c.wanted("walks") {
		return nil
	}
	return c.walk(began)
}

// walk goes through the random histories, in what is left of the time.
func (c *checkCmd) walk(began time.Time) error {
	opt := modelcheck.WalkOptions{Walks: c.Walks, Seed: c.Seed, Steps: c.Steps}
	if c.Limit > 0 {
		opt.Limit = max(time.Nanosecond, c.Limit-time.Since(began))
	}
	r := modelcheck.Walks(opt)
	fmt.Printf("%-18s %9d walks, %9d steps, %s\n", "walks", r.Walks, r.Steps, r.Elapsed.Round(time.Millisecond))
	if r.Violation != "" {
		fmt.Println("  " + strings.Join(r.Trace, "\n  "))
		return fmt.Errorf("walks: after %d steps and %d walks, with seed %d, %s", len(r.Trace), r.Walks, r.Seed, r.Violation)
	}
	if !r.Complete {
		return fmt.Errorf("%d of %d walks were run within %v", r.Walks, c.Walks, c.Limit)
	}
	return nil
}

type mutateCmd struct {
	Bugs   string   `arg:"" type:"existingfile" help:"A list of bugs, such as lab/mutations.toml."`
	Only   []string `placeholder:"NAME" help:"Of the bugs, those whose names hold this."`
	Skip   []string `placeholder:"CHECK" help:"Checks that are not run: model, simulation, lab, tests."`
	States int      `default:"30000" help:"Of each search of the model checker, at most."`
	Walks  int      `default:"5000" help:"Random walks of the model checker."`
	Seeds  int      `default:"600" help:"Runs of the consensus's simulation; a twentieth of them of the lab's."`
	Jobs   int      `default:"2" help:"Bugs at a time."`
}

func (c *mutateCmd) Run(ctx context.Context) error {
	list, err := mutation.Load(c.Bugs, ".")
	if err != nil {
		return err
	}
	rows, err := mutation.Run(ctx, list, mutation.Options{
		Root: ".", Only: c.Only, Skip: c.Skip, States: c.States, Walks: c.Walks, Seeds: c.Seeds, Jobs: c.Jobs, Progress: os.Stderr,
	})
	if err != nil {
		return err
	}
	fmt.Println(mutation.Header)
	found, searched := 0, 0
	for _, r := range rows {
		fmt.Println(r)
		if r.Killed() {
			found++
		}
		if r.KilledBySearch() {
			searched++
		}
	}
	fmt.Printf("%d bugs, %d found, %d of them by a search or a simulated run\n", len(rows), found, searched)
	if searched < len(rows) {
		return fmt.Errorf("%d of %d bugs were not found by any search or simulated run", len(rows)-searched, len(rows))
	}
	return nil
}
