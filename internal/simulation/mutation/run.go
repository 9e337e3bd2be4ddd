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

// packages have the tests that speak of what is decided, beside those of the changed file's own package and those that a
// bug names; the drivers' take long and find little more.
var packages = []string{
	"./decide", "./internal/controlplane/catalog", "./internal/dataplane/router", "./internal/dataplane/localserver", "./internal/distribution/relay",
	"./internal/cluster/membership", "./internal/dataplane/budget", "./internal/dataplane/health", "./internal/controlplane/store",
}

// Options say how much is tried.
type Options struct {
	Root     string
	Only     []string // parts of names; empty: all
	Skip     []string // checks that are not run: model, simulation, lab, tests
	States   int      // of each search of the model checker, at most
	Walks    int      // of the model checker
	Seeds    int      // runs of the consensus's simulation
	Jobs     int      // bugs at a time
	Progress io.Writer
}

func (o *Options) skips(check string) bool { return slices.Contains(o.Skip, check) }

// Row is what became of one bug. Empty words stand for checks that have not found it.
type Row struct {
	Bug
	Model      string // the model checker: a search or a random walk
	Simulation string // of the consensus, with its disks, clients and operators
	Lab        string // of whole meshes
	Searches   string // tests that go through many histories
	Tests      string // tests of cases made by hand

	with     *Bug
	searches []string // names of the tests that are searches
}

// Found reports whether any check has found the bug.
func (r Row) Found() bool { return r.Searched() || r.Tests != "" }

// Searched reports whether a search or a simulated run has found the bug, and not only a case made by hand.
func (r Row) Searched() bool { return r.Model+r.Simulation+r.Lab+r.Searches != "" }

// Header is the head of a table of rows.
const Header = "| bug | model checker | simulation | lab | searching tests | hand-made tests |\n|---|---|---|---|---|---|"

func (r Row) String() string {
	name := r.Name
	if r.With != "" {
		name += " (with: " + r.With + ")"
	}
	cells := []string{name}
	for _, text := range []string{r.Model, r.Simulation, r.Lab, r.Searches, r.Tests} {
		if text == "" {
			text = "-"
		}
		cells = append(cells, strings.ReplaceAll(text, "|", "/"))
	}
	return "| " + strings.Join(cells, " | ") + " |"
}

// Try puts in one bug after another. It returns a row for each, in order.
func Try(ctx context.Context, list *List, opt Options) ([]Row, error) {
	var rows []Row
	for _, b := range list.Bugs {
		wanted := len(opt.Only) == 0
		for _, part := range opt.Only {
			wanted = wanted || strings.Contains(b.Name, part)
		}
		if wanted {
			rows = append(rows, Row{Bug: b, with: list.find(b.With), searches: list.Searches})
		}
	}
	places := make(chan struct{}, max(1, opt.Jobs))
	errs := make([]error, len(rows))
	var running sync.WaitGroup
	for i := range rows {
		places <- struct{}{}
		running.Go(func() {
			defer func() { <-places }()
			errs[i] = rows[i].try(ctx, opt)
			if opt.Progress != nil {
				fmt.Fprintln(opt.Progress, rows[i])
			}
		})
	}
	running.Wait()
	return rows, errors.Join(errs...)
}

// build is the sources with a bug.
type build struct {
	ctx     context.Context
	root    string
	overlay string
	meshlab string
}

// tool runs the Go tool on the sources with the bug.
func (b *build) tool(args ...string) (output string, ok bool) {
	return b.run("go", append([]string{args[0], "-overlay", b.overlay}, args[1:]...)...)
}

// run runs a program in the project's folder.
func (b *build) run(program string, args ...string) (output string, ok bool) {
	cmd := exec.CommandContext(b.ctx, program, args...)
	cmd.Dir = b.root
	out, err := cmd.CombinedOutput()
	return string(out), err == nil
}

// try runs the checks that reach it on sources with the bug.
func (r *Row) try(ctx context.Context, opt Options) error {
	dir, err := os.MkdirTemp("", "mutation")
	if err != nil {
		return fmt.Errorf("mutation: %w", err)
	}
	defer os.RemoveAll(dir)
	b := &build{ctx: ctx, root: opt.Root, meshlab: filepath.Join(dir, "meshlab")}
	if b.overlay, err = r.writeOverlay(dir, opt.Root); err != nil {
		return err
	}
	if out, ok := b.tool("build", "-o", b.meshlab, "./cmd/meshlab"); !ok {
		return fmt.Errorf("mutation: %s does not build:\n%s", r.Name, out)
	}
	consensus := strings.HasPrefix(r.File, "internal/controlplane/raft/")
	state := strings.HasPrefix(r.File, "internal/controlplane/catalog/")
	if consensus && !opt.skips("model") {
		r.tryModel(b, opt)
	}
	if (consensus || state) && !opt.skips("simulation") {
		r.trySimulation(b, opt)
	}
	if !consensus && !opt.skips("lab") { // what it would find of the consensus is found above
		r.tryLab(b, opt)
	}
	if !opt.skips("tests") {
		r.tryTests(b, consensus)
	}
	return ctx.Err()
}

func (r *Row) tryModel(b *build, opt Options) {
	out, ok := b.run(b.meshlab, "check", "--states", strconv.Itoa(opt.States), "--walks", strconv.Itoa(opt.Walks))
	if !ok {
		r.Model = modelVerdict(out)
	}
}

func (r *Row) trySimulation(b *build, opt Options) {
	out, ok := b.tool("test", "./internal/controlplane/raft", "-run", "Linearizable", "-stop", "-seeds", strconv.Itoa(opt.Seeds))
	if !ok {
		r.Simulation = simulationVerdict(out)
	}
}

func (r *Row) tryLab(b *build, opt Options) {
	out, ok := b.run(b.meshlab, "sweep", "lab/storm.toml", "--seeds", strconv.Itoa(max(1, opt.Seeds/20)))
	if !ok {
		r.Lab = labVerdict(out)
	}
}

func (r *Row) tryTests(b *build, consensus bool) {
	args := []string{"test", "-skip", "Linearizable"} // it is run above
	if consensus {
		args = append(args, "./internal/controlplane/raft")
	} else {
		args = append(args, packages...)
		for _, own := range append([]string{"./" + filepath.ToSlash(filepath.Dir(r.File))}, r.Packages...) {
			if !slices.Contains(packages, own) {
				args = append(args, own)
			}
		}
	}
	if out, ok := b.tool(args...); !ok {
		r.Searches, r.Tests = testVerdicts(out, r.searches)
	}
}

// writeOverlay writes the sources with the bug, and what tells the Go tools to build with them.
func (r *Row) writeOverlay(dir, root string) (string, error) {
	changed := map[string]string{} // text by file
	bugs := []*Bug{&r.Bug}
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
