// Command meshlab simulates meshes, checks and compares the results, and runs benchmarks with real processes.
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
	Sweep      sweepCmd         `cmd:"" help:"Run a scenario with several settings and many seeds."`
	Compare    compareCmd       `cmd:"" help:"Compare two scenarios, paired by seed."`
	Report     reportCmd        `cmd:"" help:"Write an HTML report on the results in a folder."`
	Check      checkCmd         `cmd:"" help:"Model-check Raft: explore all histories within bounds, and random ones."`
	Mutate     mutateCmd        `cmd:"" aliases:"planted" help:"Mutation testing: apply known bugs to the sources, one at a time, and report which checks find each (requires the go command)."`
	Timeline   timelineCmd      `cmd:"" help:"Print the timeline of the last common start of many machines from their logs."`
	Demo       demoCmd          `cmd:"" help:"Start a small mesh of real processes on loopback and send traffic through it."`
	Scale      scaleCmd         `cmd:"" help:"Measure the resource use and propagation delays of a mesh of real and hollow nodes on loopback."`
	ScaleFit   scaleFitCmd      `cmd:"" help:"Fit the growth of the measures in reports of scale, and extrapolate to the target size."`
	ScaleState scaleStateCmd    `cmd:"" help:"Measure the memory of the replicated state and the cost of single changes for several mesh sizes."`
	Hops       hopsCmd          `cmd:"" help:"Measure the latency that nodes add to a call, with pairs of call chains with and without nodes."`
	Hollow     hollowCmd        `cmd:"" hidden:"" help:"Run hollow nodes for the scale command."`
}

type runCmd struct {
	Scenario string   `arg:"" type:"existingfile"`
	Seed     uint64   `default:"1" help:"Seed of the random number generator; a run is deterministic for a seed."`
	Set      []string `placeholder:"KEY=VALUE" help:"Set a key of the scenario, such as nodes=30 or route.0.rate=90."`
	Out      string   `placeholder:"DIR" help:"Save the result in this folder."`
}

// load reads a scenario and applies KEY=VALUE settings to it.
func load(path string, set []string) (*lab.Scenario, error) {
	scenario, err := lab.Load(path)
	if err != nil {
		return nil, err
	}
	for _, s := range set {
		key, value, ok := strings.Cut(s, "=")
		if !ok {
			return nil, fmt.Errorf("%q is not KEY=VALUE", s)
		}
		if scenario, err = scenario.Vary(key, value); err != nil {
			return nil, fmt.Errorf("%s: %w", s, err)
		}
	}
	return scenario, nil
}

func (c *runCmd) Run() error {
	scenario, err := load(c.Scenario, c.Set)
	if err != nil {
		return err
	}
	result := lab.Run(scenario, c.Seed)
	fmt.Printf("%s, seed %d: worth %.4f, %d requests, fraction refused %.3f, fraction failed %.4f\n", result.Scenario, result.Seed, result.Total.Value, result.Total.Requests,
		float64(result.Total.Refused)/float64(max(1, result.Total.Requests)), float64(result.Total.Failed)/float64(max(1, result.Total.Requests)))
	for _, route := range scenario.Routes {
		if routeResult, ok := result.Routes[route.Name]; ok {
			fmt.Printf("  %-16s worth %.4f, p50 %.1f ms, p99 %.1f ms, refused %d, failed %d\n", route.Name, routeResult.Value, routeResult.P50Ms, routeResult.P99Ms, routeResult.Refused, routeResult.Failed)
		}
	}
	fmt.Printf("  retries: %d, highest use of the shared budget %.2f\n", result.Retries, result.RetryBudget)
	fmt.Printf("  update lag: p50 %.1f ms, p99 %.1f ms, max %.1f ms; relay depth %d; %d stale parents replaced\n", result.LagP50Ms, result.LagP99Ms, result.LagMaxMs, result.Depth, result.StaleParents)
	fmt.Printf("  changes: %d acknowledged, p50 %.1f ms, max %.1f ms; %d elections, %.2f s without a leader; %d log entries\n", result.Acks, result.AckP50Ms, result.AckMaxMs, result.Elections, result.LeaderlessS, result.Entries)
	fmt.Printf("  per node and second: %.1f probes, %.0f bytes of probes, %.0f bytes of updates; the busiest machine sends %.0f bytes/s\n",
		result.ProbesS, result.ProbeBytesS, result.FeedBytesS, result.BusiestBps)
	fmt.Printf("  fingerprint %s\n", result.Fingerprint)
	if c.Out != "" {
		if err := lab.Save(c.Out, []*lab.Result{result}); err != nil {
			return err
		}
	}
	if len(result.Violations) == 0 {
		return nil
	}
	fmt.Println(strings.Join(result.RecentEvents, "\n"))
	runs := 0
	shrunk := lab.Shrink(scenario, func(candidate *lab.Scenario) (float64, bool) {
		runs++
		result := lab.Run(candidate, c.Seed)
		return result.FirstViolationS, len(result.Violations) > 0
	})
	text, err := shrunk.Text()
	if err != nil {
		return err
	}
	file := fmt.Sprintf("%s-broken-%d.toml", result.Scenario, c.Seed)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	return fmt.Errorf("invariant violated with seed %d: %s (scenario shrunk in %d runs to %.1f s and %d faults: %s)",
		c.Seed, strings.Join(result.Violations, "; "), runs, shrunk.Seconds, len(shrunk.Faults), file)
}

type sweepCmd struct {
	Scenario string   `arg:"" type:"existingfile"`
	Vary     string   `placeholder:"KEY=A,B,C" help:"Run the scenario with each of these values."`
	Set      []string `placeholder:"KEY=VALUE" help:"Set a key of the scenario for all runs."`
	Seeds    int      `default:"20" help:"Number of seeds for each value."`
	Seed     uint64   `default:"1" help:"First seed; the following runs increment it."`
	Out      string   `placeholder:"DIR" help:"Save the results in this folder."`
}

func runAll(jobs []lab.Job) []*lab.Result {
	bar := progressbar.NewOptions(len(jobs), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionShowCount(),
		progressbar.OptionClearOnFinish(), progressbar.OptionSetDescription("runs"))
	results := lab.Sweep(jobs, func() { bar.Add(1) })
	bar.Finish()
	return results
}

func jobs(scenario *lab.Scenario, varied string, first uint64, n int) (list []lab.Job) {
	for i := range n {
		list = append(list, lab.Job{Scenario: scenario, Seed: first + uint64(i), Varied: varied})
	}
	return list
}

// violations returns an error that names the first violated invariant of each result, or nil if there is none.
func violations(results []*lab.Result) error {
	var errs []error
	for _, r := range results {
		if len(r.Violations) > 0 {
			errs = append(errs, fmt.Errorf("%s %s: invariant violated with seed %d: %s", r.Scenario, r.Varied, r.Seed, r.Violations[0]))
		}
	}
	return errors.Join(errs...)
}

func (c *sweepCmd) Run() error {
	scenario, err := load(c.Scenario, c.Set)
	if err != nil {
		return err
	}
	var all []lab.Job
	if c.Vary == "" {
		all = jobs(scenario, "", c.Seed, c.Seeds)
	} else {
		key, values, ok := strings.Cut(c.Vary, "=")
		if !ok {
			return fmt.Errorf("--vary %q is not KEY=A,B,C", c.Vary)
		}
		for _, v := range strings.Split(values, ",") {
			variant, err := scenario.Vary(key, v)
			if err != nil {
				return err
			}
			all = append(all, jobs(variant, key+"="+v, c.Seed, c.Seeds)...)
		}
	}
	results := runAll(all)
	fmt.Printf("%-24s", "")
	for _, metric := range lab.Metrics {
		fmt.Printf(" %20s", metric.Name)
	}
	fmt.Println()
	for i := 0; i < len(results); i += c.Seeds {
		name := results[i].Varied
		if name == "" {
			name = results[i].Scenario
		}
		fmt.Printf("%-24s", name)
		for _, metric := range lab.Metrics {
			var values []float64
			for _, r := range results[i : i+c.Seeds] {
				values = append(values, metric.Value(r))
			}
			fmt.Printf(" %20s", lab.Average(values))
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
	Set   []string `placeholder:"KEY=VALUE" help:"Set a key of scenario B; A and B may be the same file."`
	Seeds int      `default:"20" help:"Number of seeds for each scenario."`
	Seed  uint64   `default:"1" help:"First seed; the following runs increment it."`
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
	program.Tool("meshlab", "Simulates ivydeck meshes and measures real ones.", new(commands))
}
