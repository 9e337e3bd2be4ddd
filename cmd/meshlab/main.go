// Command meshlab simulates whole meshes in simulated time, and compares them.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/schollz/progressbar/v3"

	"ivydeck/internal/program"
	"ivydeck/internal/simulation/lab"
)

type commands struct {
	Version    kong.VersionFlag `help:"Print the version and exit."`
	Run        runCmd           `cmd:"" help:"Run a scenario once."`
	Sweep      sweepCmd         `cmd:"" help:"Run a scenario with some settings and many seeds."`
	Compare    compareCmd       `cmd:"" help:"Compare two scenarios, paired by seed."`
	Report     reportCmd        `cmd:"" help:"Write a page about the results in a folder."`
	Check      checkCmd         `cmd:"" help:"Model-check the consensus: look at all histories within some bounds."`
	Mutate     mutateCmd        `cmd:"" aliases:"planted" help:"Mutation testing: put bugs into the sources, one at a time, and see which check finds each (needs the Go tools)."`
	Timeline   timelineCmd      `cmd:"" help:"Say how the last start of many machines went, step by step, out of their logs."`
	Demo       demoCmd          `cmd:"" help:"Start a small mesh of real processes on loopback, and send it traffic."`
	Scale      scaleCmd         `cmd:"" help:"Measure what a mesh of real and hollow nodes on loopback costs as it grows."`
	ScaleFit   scaleFitCmd      `cmd:"" help:"Fit how figures of scale's reports grow, and carry that on to the target."`
	ScaleState scaleStateCmd    `cmd:"" help:"Measure what one node holds of meshes of some sizes, and what single changes cost it."`
	Hops       hopsCmd          `cmd:"" help:"Measure what nodes add to a call, by pairs of chains with and without them."`
	Hollow     hollowCmd        `cmd:"" hidden:"" help:"Run hollow nodes for the command scale."`
}

type runCmd struct {
	Scenario string   `arg:"" type:"existingfile"`
	Seed     uint64   `default:"1" help:"Of the random numbers; the same seed runs the same."`
	Set      []string `placeholder:"KEY=VALUE" help:"Set a key of the scenario, such as nodes=30 or route.0.rate=90."`
	Out      string   `placeholder:"DIR" help:"Keep the result here."`
}

// load reads a scenario and sets keys in it.
func load(path string, set []string) (*lab.Scenario, error) {
	w, err := lab.Load(path)
	if err != nil {
		return nil, err
	}
	for _, s := range set {
		key, value, ok := strings.Cut(s, "=")
		if !ok {
			return nil, fmt.Errorf("%q is not KEY=VALUE", s)
		}
		if w, err = w.Vary(key, value); err != nil {
			return nil, fmt.Errorf("%s: %w", s, err)
		}
	}
	return w, nil
}

func (c *runCmd) Run() error {
	w, err := load(c.Scenario, c.Set)
	if err != nil {
		return err
	}
	r := lab.Run(w, c.Seed)
	fmt.Printf("%s, seed %d: worth %.4f of %d requests; %.3f refused, %.4f failed\n", r.Scenario, r.Seed, r.Total.Value, r.Total.Requests,
		float64(r.Total.Refused)/float64(max(1, r.Total.Requests)), float64(r.Total.Failed)/float64(max(1, r.Total.Requests)))
	for _, route := range w.Routes {
		if x, ok := r.Routes[route.Name]; ok {
			fmt.Printf("  %-16s worth %.4f, p50 %.1f ms, p99 %.1f ms, refused %d, failed %d\n", route.Name, x.Value, x.P50Ms, x.P99Ms, x.Refused, x.Failed)
		}
	}
	fmt.Printf("  repeats %d, at most %.2f of the shared budget\n", r.Retries, r.RetryBudget)
	fmt.Printf("  updates: p50 %.1f ms, p99 %.1f ms, at most %.1f ms, %d deep, %d parents left out of touch\n", r.LagP50Ms, r.LagP99Ms, r.LagMaxMs, r.Depth, r.StaleParents)
	fmt.Printf("  changes: %d acknowledged, p50 %.1f ms, at most %.1f ms; %d elections, %.2f s without a leader; %d entries in the log\n", r.Acks, r.AckP50Ms, r.AckMaxMs, r.Elections, r.LeaderlessS, r.Entries)
	fmt.Printf("  a node and second: %.1f probes, %.0f bytes of them, %.0f bytes of updates; the busiest machine sends %.0f bytes a second\n",
		r.ProbesS, r.ProbeBytesS, r.FeedBytesS, r.BusiestBps)
	fmt.Printf("  fingerprint %s\n", r.Fingerprint)
	if c.Out != "" {
		if err := lab.Save(c.Out, []*lab.Result{r}); err != nil {
			return err
		}
	}
	if len(r.Violations) == 0 {
		return nil
	}
	fmt.Println(strings.Join(r.RecentEvents, "\n"))
	n := 0
	small := lab.Shrink(w, func(x *lab.Scenario) (float64, bool) {
		n++
		r := lab.Run(x, c.Seed)
		return r.FirstViolationS, len(r.Violations) > 0
	})
	text, err := small.Text()
	if err != nil {
		return err
	}
	file := fmt.Sprintf("%s-broken-%d.toml", r.Scenario, c.Seed)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	return fmt.Errorf("broken with seed %d: %s (shrunk in %d runs to %.1f s and %d faults: %s)",
		c.Seed, strings.Join(r.Violations, "; "), n, small.Seconds, len(small.Faults), file)
}

type sweepCmd struct {
	Scenario string   `arg:"" type:"existingfile"`
	Vary     string   `placeholder:"KEY=A,B,C" help:"Run once with each of these values."`
	Set      []string `placeholder:"KEY=VALUE" help:"Set a key of the scenario in all runs."`
	Seeds    int      `default:"20" help:"Runs of each value."`
	Seed     uint64   `default:"1" help:"The first of them."`
	Out      string   `placeholder:"DIR" help:"Keep the results here."`
}

func runAll(jobs []lab.Job) []*lab.Result {
	bar := progressbar.NewOptions(len(jobs), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionShowCount(),
		progressbar.OptionClearOnFinish(), progressbar.OptionSetDescription("runs"))
	results := lab.Sweep(jobs, func() { bar.Add(1) })
	bar.Finish()
	return results
}

func jobs(w *lab.Scenario, varied string, first uint64, n int) (list []lab.Job) {
	for i := range n {
		list = append(list, lab.Job{Scenario: w, Seed: first + uint64(i), Varied: varied})
	}
	return list
}

// violations returns the violated invariants of all results as an error.
func violations(results []*lab.Result) error {
	var errs []error
	for _, r := range results {
		if len(r.Violations) > 0 {
			errs = append(errs, fmt.Errorf("%s %s broken with seed %d: %s", r.Scenario, r.Varied, r.Seed, r.Violations[0]))
		}
	}
	return errors.Join(errs...)
}

func (c *sweepCmd) Run() error {
	w, err := load(c.Scenario, c.Set)
	if err != nil {
		return err
	}
	var all []lab.Job
	if c.Vary == "" {
		all = jobs(w, "", c.Seed, c.Seeds)
	} else {
		key, values, ok := strings.Cut(c.Vary, "=")
		if !ok {
			return fmt.Errorf("--vary %q is not KEY=A,B,C", c.Vary)
		}
		for _, v := range strings.Split(values, ",") {
			x, err := w.Vary(key, v)
			if err != nil {
				return err
			}
			all = append(all, jobs(x, key+"="+v, c.Seed, c.Seeds)...)
		}
	}
	results := runAll(all)
	fmt.Printf("%-24s", "")
	for _, f := range lab.Metrics {
		fmt.Printf(" %20s", f.Name)
	}
	fmt.Println()
	for i := 0; i < len(results); i += c.Seeds {
		name := results[i].Varied
		if name == "" {
			name = results[i].Scenario
		}
		fmt.Printf("%-24s", name)
		for _, f := range lab.Metrics {
			var x []float64
			for _, r := range results[i : i+c.Seeds] {
				x = append(x, f.Of(r))
			}
			fmt.Printf(" %20s", lab.Average(x))
		}
		fmt.Println()
	}
	if c.Out != "" {
		if err := lab.Save(c.Out, results); err != nil {
			return err
		}
	}
	return violations(results)
}

type compareCmd struct {
	A     string   `arg:"" type:"existingfile"`
	B     string   `arg:"" type:"existingfile"`
	Set   []string `placeholder:"KEY=VALUE" help:"Set a key in B; A and B may be the same file."`
	Seeds int      `default:"20" help:"Runs of each."`
	Seed  uint64   `default:"1" help:"The first of them."`
}

func (c *compareCmd) Run() error {
	a, err := load(c.A, nil)
	if err != nil {
		return err
	}
	b, err := load(c.B, c.Set)
	if err != nil {
		return err
	}
	results := runAll(append(jobs(a, "A", c.Seed, c.Seeds), jobs(b, "B", c.Seed, c.Seeds)...))
	lines, err := lab.Compare(results[:c.Seeds], results[c.Seeds:])
	if err != nil {
		return err
	}
	fmt.Println(strings.Join(lines, "\n"))
	return violations(results)
}

type reportCmd struct {
	Dir string `arg:"" type:"existingdir"`
}

func (c *reportCmd) Run() error {
	results, err := lab.Read(c.Dir)
	if err != nil {
		return err
	}
	path := filepath.Join(c.Dir, "report.html")
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := lab.Report(f, results); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	fmt.Println(path)
	return nil
}

func main() {
	program.Tool("meshlab", "Simulates ivydeck meshes, and measures real ones.", new(commands))
}
