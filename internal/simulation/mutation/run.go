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

// decisionPackages are the packages whose tests run for every mutant outside package raft, in addition to the changed file's
// package and the packages that the mutant names. They exclude the I/O drivers, whose tests are slow.
var decisionPackages = []string{
	"./decide", "./internal/controlplane/catalog", "./internal/dataplane/router", "./internal/dataplane/localserver", "./internal/distribution/relay",
	"./internal/cluster/membership", "./internal/dataplane/budget", "./internal/dataplane/health", "./internal/controlplane/store",
}

// Options selects the mutants and checks, and limits the work of each check.
type Options struct {
	Root     string
	Only     []string // substrings of mutant names; if empty, all mutants run
	Skip     []string // checks to skip: model, simulation, lab, tests
	States   int      // maximum number of states in each search of the model checker
	Walks    int      // number of random walks of the model checker
	Seeds    int      // number of runs of the raft simulation; the lab makes a twentieth as many
	Jobs     int      // number of mutants checked concurrently
	Progress io.Writer
}

func (o *Options) skips(check string) bool { return slices.Contains(o.Skip, check) }

// Result describes how each check killed a mutant. The text of a check that did not kill it is empty.
type Result struct {
	Mutant
	Model       string // violation found by a search or random walk of the model checker
	Simulation  string // failure of the raft simulation with disks, clients and operators
	Lab         string // failure of the simulation of whole meshes
	SearchTests string // failed tests that explore many histories
	Tests       string // failed tests that check single examples

	companion   *Mutant  // the mutant that With names, or nil
	searchTests []string // names of the tests that explore many histories
}

// Killed reports whether any check has killed the mutant.
func (r Result) Killed() bool { return r.KilledBySearch() || r.Tests != "" }

// KilledBySearch reports whether a search or a simulation has killed the mutant. Example tests do not count.
func (r Result) KilledBySearch() bool { return r.Model+r.Simulation+r.Lab+r.SearchTests != "" }

// Header is the Markdown header of a table of results; Result.String returns a row.
const Header = "| bug | model checker | simulation | lab | search tests | example tests |\n|---|---|---|---|---|---|"

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

// Run runs the checks on the selected mutants, opt.Jobs at a time, and returns the results in the order of the list.
func Run(ctx context.Context, list *List, opt Options) ([]Result, error) {
	var results []Result
	for _, mutant := range list.Mutants {
		selected := len(opt.Only) == 0
		for _, part := range opt.Only {
			selected = selected || strings.Contains(mutant.Name, part)
		}
		if selected {
			results = append(results, Result{Mutant: mutant, companion: list.find(mutant.With), searchTests: list.SearchTests})
		}
	}
	semaphore := make(chan struct{}, max(1, opt.Jobs))
	errs := make([]error, len(results))
	var wg sync.WaitGroup
	for i := range results {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			errs[i] = results[i].run(ctx, opt)
			if opt.Progress != nil {
				fmt.Fprintln(opt.Progress, results[i])
			}
		})
	}
	wg.Wait()
	return results, errors.Join(errs...)
}

// build holds the files of a build with a mutant.
type build struct {
	ctx     context.Context
	root    string
	overlay string // path of the overlay file
	meshlab string // path of the mutated program
}

// runGo runs a go command on the mutated sources.
func (b *build) runGo(args ...string) (output string, ok bool) {
	return b.run("go", append([]string{args[0], "-overlay", b.overlay}, args[1:]...)...)
}

// run runs a program in the root of the project.
func (b *build) run(program string, args ...string) (output string, ok bool) {
	cmd := exec.CommandContext(b.ctx, program, args...)
	cmd.Dir = b.root
	combined, err := cmd.CombinedOutput()
	return string(combined), err == nil
}

// run builds the mutant and runs the checks that execute its code.
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
	if output, ok := b.runGo("build", "-o", b.meshlab, "./cmd/meshlab"); !ok {
		return fmt.Errorf("mutation: %s does not build:\n%s", r.Name, output)
	}
	inRaft := strings.HasPrefix(r.File, "internal/controlplane/raft/")
	inCatalog := strings.HasPrefix(r.File, "internal/controlplane/catalog/")
	if inRaft && !opt.skips("model") {
		r.runModelChecker(b, opt)
	}
	if (inRaft || inCatalog) && !opt.skips("simulation") {
		r.runSimulation(b, opt)
	}
	if !inRaft && !opt.skips("lab") { // runSimulation covers raft
		r.runLab(b, opt)
	}
	if !opt.skips("tests") {
		r.runTests(b, inRaft)
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
	output, ok := b.runGo("test", "./internal/controlplane/raft", "-run", "Linearizable", "-stop", "-seeds", strconv.Itoa(opt.Seeds))
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

func (r *Result) runTests(b *build, inRaft bool) {
	args := []string{"test", "-skip", "Linearizable"} // runSimulation runs these
	if inRaft {
		args = append(args, "./internal/controlplane/raft")
	} else {
		args = append(args, decisionPackages...)
		for _, pkg := range append([]string{"./" + filepath.ToSlash(filepath.Dir(r.File))}, r.Packages...) {
			if !slices.Contains(decisionPackages, pkg) {
				args = append(args, pkg)
			}
		}
	}
	if output, ok := b.runGo(args...); !ok {
		r.SearchTests, r.Tests = testVerdicts(output, r.searchTests)
	}
}

// writeOverlay writes the mutated sources and an overlay file for the go command to dir, and returns the path of the overlay.
func (r *Result) writeOverlay(dir, root string) (string, error) {
	contents := map[string]string{} // mutated text by source path
	mutants := []*Mutant{&r.Mutant}
	if r.companion != nil {
		mutants = append(mutants, r.companion)
	}
	for _, mutant := range mutants {
		path, err := filepath.Abs(filepath.Join(root, mutant.File))
		if err != nil {
			return "", fmt.Errorf("mutation: %w", err)
		}
		if contents[path] == "" {
			text, err := os.ReadFile(path)
			if err != nil {
				return "", fmt.Errorf("mutation: %w", err)
			}
			contents[path] = string(text)
		}
		contents[path] = strings.Replace(contents[path], mutant.Old, mutant.New, 1)
	}
	replace := map[string]string{}
	for path, text := range contents {
		replace[path] = filepath.Join(dir, fmt.Sprintf("changed%d.go", len(replace)))
		if err := os.WriteFile(replace[path], []byte(text), 0o644); err != nil {
			return "", fmt.Errorf("mutation: %w", err)
		}
	}
	data, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", fmt.Errorf("mutation: %w", err)
	}
	overlay := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlay, data, 0o644); err != nil {
		return "", fmt.Errorf("mutation: %w", err)
	}
	return overlay, nil
}
