// Package mutation is mutation testing: it puts bugs into the project's sources on purpose, one at a time and in an overlay of the build alone, and
// sees which of the project's checks finds each: a check that finds nothing is worth nothing, and says so here.
package mutation

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/BurntSushi/toml"
)

// mostStates bounds each search of the checker: what it finds at all it has mostly found by then.
const mostStates = 30_000

// packages have the tests that speak of what is decided; the drivers' take long and find little more.
var packages = []string{
	"./decide", "./internal/raft", "./internal/catalog", "./internal/entry", "./internal/station", "./internal/relay",
	"./internal/membership", "./internal/budget", "./internal/health", "./internal/store",
}

// Bug is a change of one place of a source.
type Bug struct {
	Name string `toml:"name"`
	File string `toml:"file"`
	Old  string `toml:"old"` // stands in the file once
	New  string `toml:"new"`
}

// Load reads a list of bugs and sees that each still has its place in the sources under root.
func Load(path, root string) ([]Bug, error) {
	var list struct {
		Bug []Bug `toml:"bug"`
	}
	meta, err := toml.DecodeFile(path, &list)
	if err != nil {
		return nil, fmt.Errorf("mutation: %w", err)
	}
	var faults []error
	for _, key := range meta.Undecoded() {
		faults = append(faults, fmt.Errorf("mutation: %s: %s is no key", path, key))
	}
	for _, b := range list.Bug {
		text, err := os.ReadFile(filepath.Join(root, b.File))
		if err != nil {
			faults = append(faults, fmt.Errorf("mutation: %s: %w", b.Name, err))
		} else if n := strings.Count(string(text), b.Old); n != 1 || b.Old == b.New {
			faults = append(faults, fmt.Errorf("mutation: %s: its place is in %s %d times, not once", b.Name, b.File, n))
		}
	}
	return list.Bug, errors.Join(faults...)
}

// Options say how much is tried.
type Options struct {
	Root     string
	Only     []string // parts of names; empty: all
	Seeds    int      // worlds of the consensus's simulation
	Jobs     int
	Progress io.Writer
}

// Row is what became of one bug. Empty words stand for checks that have not found it.
type Row struct {
	Bug
	Checker, Simulation, Lab, Tests string
}

// Caught tells whether any check has found the bug.
func (r Row) Caught() bool { return r.Checker+r.Simulation+r.Lab+r.Tests != "" }

func (r Row) String() string {
	cell := func(s string) string {
		if s == "" {
			return "-"
		}
		return strings.ReplaceAll(s, "|", "/")
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s |", r.Name, cell(r.Checker), cell(r.Simulation), cell(r.Lab), cell(r.Tests))
}

// Try puts in one bug after another. It returns a row for each, in order.
func Try(ctx context.Context, bugs []Bug, opt Options) ([]Row, error) {
	var rows []Row
	for _, b := range bugs {
		wanted := len(opt.Only) == 0
		for _, part := range opt.Only {
			wanted = wanted || strings.Contains(b.Name, part)
		}
		if wanted {
			rows = append(rows, Row{Bug: b})
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

// try runs the checks that reach it on sources with the bug.
func (r *Row) try(ctx context.Context, opt Options) error {
	dir, err := os.MkdirTemp("", "mutation")
	if err != nil {
		return fmt.Errorf("mutation: %w", err)
	}
	defer os.RemoveAll(dir)
	overlay, err := r.overlay(dir, opt.Root)
	if err != nil {
		return err
	}
	run := func(args ...string) (string, bool) {
		cmd := exec.CommandContext(ctx, "go", append([]string{args[0], "-overlay", overlay}, args[1:]...)...)
		cmd.Dir = opt.Root
		out, err := cmd.CombinedOutput()
		return string(out), err == nil
	}
	lab := filepath.Join(dir, "meshlab")
	if out, ok := run("build", "-o", lab, "./cmd/meshlab"); !ok {
		return fmt.Errorf("mutation: %s does not build:\n%s", r.Name, out)
	}
	own := func(args ...string) (string, bool) {
		cmd := exec.CommandContext(ctx, lab, args...)
		cmd.Dir = opt.Root
		out, err := cmd.CombinedOutput()
		return string(out), err == nil
	}
	core, state := strings.HasPrefix(r.File, "internal/raft/"), strings.HasPrefix(r.File, "internal/catalog/")
	if core {
		if out, ok := own("check", "--states", strconv.Itoa(mostStates)); !ok {
			r.Checker = checkerSays(out)
		}
	}
	if core || state {
		if out, ok := run("test", "./internal/raft", "-run", "Linearizable", "-seeds", strconv.Itoa(opt.Seeds)); !ok {
			r.Simulation = simulationSays(out)
		}
	}
	if core { // what the lab and the other packages would find of it is found above
		if out, ok := run("test", "./internal/raft", "-skip", "Linearizable"); !ok {
			r.Tests = testsSay(out)
		}
		return ctx.Err()
	}
	if out, ok := own("sweep", "lab/storm.toml", "--seeds", strconv.Itoa(max(1, opt.Seeds/20))); !ok {
		r.Lab = labSays(out)
	}
	if out, ok := run(append([]string{"test"}, packages...)...); !ok {
		r.Tests = testsSay(out)
	}
	return ctx.Err()
}

// overlay writes the source with the bug, and what tells the Go tools to build with it.
func (r *Row) overlay(dir, root string) (string, error) {
	real, err := filepath.Abs(filepath.Join(root, r.File))
	if err != nil {
		return "", fmt.Errorf("mutation: %w", err)
	}
	text, err := os.ReadFile(real)
	if err != nil {
		return "", fmt.Errorf("mutation: %w", err)
	}
	changed, list := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), r.Old, r.New, 1)), 0o644); err != nil {
		return "", fmt.Errorf("mutation: %w", err)
	}
	data, err := json.Marshal(map[string]any{"Replace": map[string]string{real: changed}})
	if err != nil {
		return "", fmt.Errorf("mutation: %w", err)
	}
	if err := os.WriteFile(list, data, 0o644); err != nil {
		return "", fmt.Errorf("mutation: %w", err)
	}
	return list, nil
}

var (
	checkerLine = regexp.MustCompile(`meshlab: (\w+): after (\d+) steps (.*)`)
	seedLine    = regexp.MustCompile(`seed (\d+): (.*)`)
	labLine     = regexp.MustCompile(`broken with seed (\d+): (.*)`)
	failLine    = regexp.MustCompile(`(?m)^--- FAIL: (\w+)`)
)

func checkerSays(out string) string {
	if m := checkerLine.FindStringSubmatch(out); m != nil {
		return fmt.Sprintf("%s, %s steps: %s", m[1], m[2], m[3])
	}
	return fault(out)
}

// fault tells of an end that no check has worded.
func fault(out string) string {
	lines := bufio.NewScanner(strings.NewReader(out))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if line := lines.Text(); strings.HasPrefix(line, "panic: ") {
			return line
		}
	}
	return "failed"
}

// simulationSays gives the first world that went wrong. A panic ends the rest.
func simulationSays(out string) string {
	if m := seedLine.FindStringSubmatch(out); m != nil {
		what := "not linearizable"
		if !strings.Contains(m[2], "linearizable") {
			what = m[2]
		}
		return fmt.Sprintf("seed %s, %d lines: %s", m[1], strings.Count(out, "seed "), what)
	}
	return fault(out)
}

func labSays(out string) string {
	if m := labLine.FindStringSubmatch(out); m != nil {
		return fmt.Sprintf("seed %s: %s", m[1], m[2])
	}
	return fault(out)
}

func testsSay(out string) string {
	var names []string
	for _, m := range failLine.FindAllStringSubmatch(out, -1) {
		if !slices.Contains(names, m[1]) {
			names = append(names, m[1])
		}
	}
	if len(names) == 0 {
		return fault(out)
	}
	return strings.Join(names, ", ")
}
