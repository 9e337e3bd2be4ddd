package mutation

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// decisionPackages are those whose tests run for every mutant, beside those of the changed file's own package and those that the
// mutant names. The tests of the I/O drivers take long and kill few more.
var decisionPackages = []string{
	"./decide", "./internal/controlplane/catalog", "./internal/dataplane/router", "./internal/dataplane/localserver", "./internal/distribution/relay",
	"./internal/cluster/membership", "./internal/dataplane/budget", "./internal/dataplane/health", "./internal/controlplane/store",
}

// Options say which mutants and checks run, and how long.
type Options struct {
	Root     string
	Only     []string // parts of names; empty: all
	Skip     []string // checks that are not run: model, simulation, lab, tests
	States   int      // maximum of each search of the model checker
	Walks    int      // random walks of the model checker
	Seeds    int      // runs of the simulation of raft
	Jobs     int      // mutants at a time
	Progress io.Writer
}

func (o *Options) skips(check string) bool { return slices.Contains(o.Skip, check) }

// Result is which checks killed a mutant, and how. A check that did not has an empty string.
type Result struct {
	Mutant
	Model       string // the model checker: a search or a random walk
	Simulation  string // of raft, with disks, clients and operators
	Lab         string // of whole meshes
	SearchTests string // tests that explore many histories
	Tests       string // tests of hand-made cases

	with        *Mutant
	searchTests []string // names of the tests that explore many histories
}

// Killed reports whether any check has killed the mutant.
func (r Result) Killed() bool { return r.KilledBySearch() || r.Tests != "" }

// KilledBySearch reports whether a search or a simulation has killed the mutant, and not only a hand-made case.
func (r Result) KilledBySearch() bool { return r.Model+r.Simulation+r.Lab+r.SearchTests != "" }

// Header is the header of a table of results.
const Header = "| bug | model checker | simulation | lab | searching tests | hand-made tests |\n|---|---|---|---|---|---|"

func (r Result) String() string {
	name := r.Name
	if r.With != "" {
		name += " (with: " + r.With + ")"
	}
	cells := []string{name}
	for _, text := range []string{r.Model, r.Simulation, r.Lab, r.SearchTests, r.Tests} {
		if text == "" {
			text = "-"
		}
		cells = append(cells, strings.ReplaceAll(text, "|", "/"))
	}
	return "| " + strings.Join(cells, " | ") + " |"
}

// Run runs the checks on one mutant after another, and returns a result for each, in order.
func Run(ctx context.Context, list *List, opt Options) ([]Result, error) {
	var results []Result
	for _, b := range list.Mutants {
		wanted := len(opt.Only) == 0
		for _, part := range opt.Only {
			wanted = wanted || strings.Contains(b.Name, part)
		}
		if wanted {
			results = append(results, Result{Mutant: b, with: list.find(b.With), searchTests: list.SearchTests})
		}
	}
	slots := make(chan struct{}, max(1, opt.Jobs))
	errs := make([]error, len(results))
	var running sync.WaitGroup
	for i := range results {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			errs[i] = results[i].run(ctx, opt)
			if opt.Progress != nil {
				fmt.Fprintln(opt.Progress, results[i])
			}
		})
	}
	running.Wait()
	return results, errors.Join(errs...)
}

// build is a build of the sources with a mutant.
type build struct {
	ctx     context.Context
	root    string
	overlay string
	meshlab string
}

// tool runs a command of the Go tool on the mutated sources.
func (b *build) tool(args ...string) (output string, ok bool) {
	return b.run("go", append([]string{args[0], "-overlay", b.overlay}, args[1:]...)...)
}

// run runs a program in the project's folder.
func (b *build) run(program string, args ...string) (output string, ok bool) {
	cmd := exec.CommandContext(b.ctx, program, args...)
	cmd.Dir = b.root
	combined, err := cmd.CombinedOutput()
	return string(combined), err == nil
}

// run runs the checks that can reach the mutant.
func (r *Result) run(ctx context.Context, opt Options) error {
	dir, err := os.MkdirTemp("", "mutation")
	if err != nil {
		return fmt.Errorf("mutation: %w", err)
	}
	defer os.RemoveAll(dir)
	b := &build{ctx: ctx, root: opt.Root, meshlab: filepath.Join(dir, "meshlab")}
	if b.overlay, err = r.writeOverlay(dir, opt.Root); err != nil {
		return err
	}
	if output, ok := b.tool("build", "-o", b.meshlab, "./cmd/meshlab"); !ok {
		return fmt.Errorf("mutation: %s does not build:\n%s", r.Name, output)
	}
	consensus := strings.HasPrefix(r.File, "internal/controlplane/raft/")
	state := strings.HasPrefix(r.File, "internal/controlplane/catalog/")
	if consensus && !opt.skips("model") {
		r.runModelChecker(b, opt)
	}
	if (consensus || state) && !opt.skips("simulation") {
		r.runSimulation(b, opt)
	}
	if !consensus && !opt.skips("lab") { // raft has its own simulation above
		r.runLab(b, opt)
	}
	if !opt.skips("tests") {
		r.runTests(b, consensus)
	}
	return ctx.Err()
}

func (r *Result) runModelChecker(b *build, opt Options) {
	output, ok := b.run(b.meshlab, "check", "--states", strconv.Itoa(opt.States), "--walks", strconv.Itoa(opt.Walks))
	if !ok {
		r.Model = modelVerdict(output)
	}
}

func (r *Result) runSimulation(b *build, opt Options) {
	output, ok := b.tool("test", "./internal/controlplane/raft", "-run", "Linearizable", "-stop", "-seeds", strconv.Itoa(opt.Seeds))
	if !ok {
		r.Simulation = simulationVerdict(output)
	}
}

func (r *Result) runLab(b *build, opt Options) {
	output, ok := b.run(b.meshlab, "sweep", "lab/storm.toml", "--seeds", strconv.Itoa(max(1, opt.Seeds/20)))
	if !ok {
		r.Lab = labVerdict(output)
	}
}

func (r *Result) runTests(b *build, consensus bool) {
	args := []string{"test", "-skip", "Linearizable"} // run above
	if consensus {
		args = append(args, "./internal/controlplane/raft")
	} else {
		args = append(args, decisionPackages...)
		for _, own := range append([]string{"./" + filepath.ToSlash(filepath.Dir(r.File))}, r.Packages...) {
			if !slices.Contains(decisionPackages, own) {
				args = append(args, own)
			}
		}
	}
	if output, ok := b.tool(args...); !ok {
		r.SearchTests, r.Tests = testVerdicts(output, r.searchTests)
	}
}

// writeOverlay writes the mutated sources and an overlay file for the Go tool, and returns the path of that.
func (r *Result) writeOverlay(dir, root string) (string, error) {
	changed := map[string]string{} // text by file
	bugs := []*Mutant{&r.Mutant}
	if r.with != nil {
		bugs = append(bugs, r.with)
	}
	for _, b := range bugs {
		real, err := filepath.Abs(filepath.Join(root, b.File))
		if err != nil {
			return "", fmt.Errorf("mutation: %w", err)
		}
		if changed[real] == "" {
			text, err := os.ReadFile(real)
			if err != nil {
				return "", fmt.Errorf("mutation: %w", err)
			}
			changed[real] = string(text)
		}
		changed[real] = strings.Replace(changed[real], b.Old, b.New, 1)
	}
	replace := map[string]string{}
	for real, text := range changed {
		replace[real] = filepath.Join(dir, fmt.Sprintf("changed%d.go", len(replace)))
		if err := os.WriteFile(replace[real], []byte(text), 0o644); err != nil {
			return "", fmt.Errorf("mutation: %w", err)
		}
	}
	data, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", fmt.Errorf("mutation: %w", err)
	}
	list := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(list, data, 0o644); err != nil {
		return "", fmt.Errorf("mutation: %w", err)
	}
	return list, nil
}
