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
	Only       []string      `placeholder:"NAME" help:"Run only these searches; walks selects the random walks."`
	Walks      int           `default:"20000" help:"Number of random walks after the searches."`
	Seed       uint64        `default:"1" help:"Seed of the first walk; each following walk increments it."`
	Steps      int           `default:"200" help:"Maximum number of events in one walk."`
	Limit      time.Duration `help:"Time after which no search or walk starts; 0 means no limit."`
	States     int           `help:"Maximum number of states in each search; 0 selects the default of the search."`
	Terms      uint64        `help:"Run one search within the bounds given by this and the following flags: the highest term (members start in term 1)."`
	Members    int           `default:"3" help:"Number of voters at the start."`
	Link       int           `default:"1" help:"Maximum number of messages in flight from one member to another."`
	Proposals  int           `help:"Number of proposed commands."`
	Reads      int           `help:"Number of linearizable reads."`
	Heartbeats int           `help:"Number of heartbeats beyond those that reads send."`
	Crashes    int           `help:"Number of process crashes."`
	Wipes      int           `help:"Number of disk losses."`
	Changes    int           `help:"Number of membership changes."`
	Snapshots  int           `help:"Number of snapshots."`
	Transfers  int           `help:"Number of leadership transfers."`
	Duplicates int           `help:"Number of duplicate deliveries."`
	Batch      int           `help:"Maximum number of entries in one message; 0 selects the production limit."`
	Old        bool          `help:"Keep messages whose term is lower than the receiver's."`
	Unordered  bool          `help:"Let a link reorder its messages."`
}

// searches returns the searches that the flags select.
func (c *checkCmd) searches() []modelcheck.SearchConfig {
	if c.Terms > 0 {
		return []modelcheck.SearchConfig{{Name: "own", Bounds: modelcheck.Bounds{
			Members: c.Members, Terms: c.Terms, Link: c.Link, Proposals: c.Proposals, Reads: c.Reads, Heartbeats: c.Heartbeats,
			Crashes: c.Crashes, Wipes: c.Wipes, Changes: c.Changes, Snapshots: c.Snapshots, Transfers: c.Transfers,
			Duplicates: c.Duplicates, Batch: c.Batch, KeepStale: c.Old, Unordered: c.Unordered,
		}}}
	}
	var list []modelcheck.SearchConfig
	for _, config := range modelcheck.Searches {
		if c.runs(config.Name) {
			list = append(list, config)
		}
	}
	return list
}

// runs reports whether --only selects a search, or the random walks under the name walks.
func (c *checkCmd) runs(name string) bool { return len(c.Only) == 0 || slices.Contains(c.Only, name) }

func (c *checkCmd) Run() error {
	startedAt := time.Now()
	for _, config := range c.searches() {
		if c.Limit > 0 && time.Since(startedAt) > c.Limit {
			return fmt.Errorf("%s and the searches after it did not start within the limit of %v", config.Name, c.Limit)
		}
		if c.States > 0 {
			config.States = c.States
		}
		r, err := modelcheck.Search(config)
		if err != nil {
			return err
		}
		extent := "complete"
		if !r.Complete {
			extent = "incomplete"
		}
		fmt.Printf("%-18s %9d states (%s), %9d steps, depth %2d, %s\n", config.Name, r.States, extent, r.Steps, r.Depth, r.Elapsed.Round(time.Millisecond))
		if r.Violation != "" {
			fmt.Println("  " + strings.Join(r.Trace, "\n  "))
			return fmt.Errorf("%s: after %d steps and %d states %s", config.Name, len(r.Trace), r.States, r.Violation)
		}
	}
	if c.Walks == 0 || c.Terms > 0 || !c.runs("walks") {
		return nil
	}
	return c.walk(startedAt)
}

// walk runs the random walks in the time that remains of the limit.
func (c *checkCmd) walk(startedAt time.Time) error {
	opt := modelcheck.WalkOptions{Walks: c.Walks, Seed: c.Seed, Steps: c.Steps}
	if c.Limit > 0 {
		opt.Limit = max(time.Nanosecond, c.Limit-time.Since(startedAt))
	}
	r := modelcheck.Walks(opt)
	fmt.Printf("%-18s %9d walks, %9d steps, %s\n", "walks", r.Walks, r.Steps, r.Elapsed.Round(time.Millisecond))
	if r.Violation != "" {
		fmt.Println("  " + strings.Join(r.Trace, "\n  "))
		return fmt.Errorf("walks: after %d steps and %d walks, with seed %d, %s", len(r.Trace), r.Walks, r.Seed, r.Violation)
	}
	if !r.Complete {
		return fmt.Errorf("only %d of %d walks ran within the limit of %v", r.Walks, c.Walks, c.Limit)
	}
	return nil
}

type mutateCmd struct {
	Bugs   string   `arg:"" type:"existingfile" help:"File with a list of bugs, such as lab/mutations.toml."`
	Only   []string `placeholder:"NAME" help:"Run only bugs whose names contain one of these texts."`
	Skip   []string `placeholder:"CHECK" help:"Skip these checks: model, simulation, lab, tests."`
	States int      `default:"30000" help:"Maximum number of states in each search of the model checker."`
	Walks  int      `default:"5000" help:"Number of random walks of the model checker."`
	Seeds  int      `default:"600" help:"Number of runs of the raft simulation; the lab makes a twentieth as many."`
	Jobs   int      `default:"2" help:"Number of bugs checked concurrently."`
}

func (c *mutateCmd) Run(ctx context.Context) error {
	list, err := mutation.Load(c.Bugs, ".")
	if err != nil {
		return err
	}
	results, err := mutation.Run(ctx, list, mutation.Options{
		Root: ".", Only: c.Only, Skip: c.Skip, States: c.States, Walks: c.Walks, Seeds: c.Seeds, Jobs: c.Jobs, Progress: os.Stderr,
	})
	if err != nil {
		return err
	}
	fmt.Println(mutation.Header)
	killed, killedBySearch := 0, 0
	for _, r := range results {
		fmt.Println(r)
		if r.Killed() {
			killed++
		}
		if r.KilledBySearch() {
			killedBySearch++
		}
	}
	fmt.Printf("%d bugs, %d found, %d of them by a search or simulation\n", len(results), killed, killedBySearch)
	if killedBySearch < len(results) {
		return fmt.Errorf("%d of %d bugs were not found by any search or simulation", len(results)-killedBySearch, len(results))
	}
	return nil
}
