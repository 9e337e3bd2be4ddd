package mutation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestBugsHaveTheirPlaces: each bug of the list can still be put in.
func TestBugsHaveTheirPlaces(t *testing.T) {
	bugs, err := Load("../../lab/mutations.toml", "../..")
	if err != nil {
		t.Fatal(err)
	}
	if len(bugs) < 20 {
		t.Errorf("%d bugs", len(bugs))
	}
	dir := t.TempDir()
	source, list := filepath.Join(dir, "a.go"), filepath.Join(dir, "bugs.toml")
	for name, text := range map[string]string{source: "one two two", list: "[[bug]]\nname = \"a\"\nfile = \"a.go\"\nold = \"two\"\nnew = \"x\"\n[[bug]]\nname = \"b\"\nfile = \"no.go\"\n"} {
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Load(list, dir); err == nil || !strings.Contains(err.Error(), "a.go 2 times") || !strings.Contains(err.Error(), "no.go") {
		t.Errorf("a list with two faults: %v", err)
	}
}

// TestWhatChecksSay: what they print becomes a row.
func TestWhatChecksSay(t *testing.T) {
	r := Row{Bug: Bug{Name: "bug"}}
	if r.Caught() {
		t.Error("found by nobody, and caught")
	}
	r.Checker = checkerSays("log  10 states\nmeshlab: log: after 7 steps machines 0 and 1 lead in term 2\n")
	r.Simulation = simulationSays("--- FAIL: T\n sim_test.go:1: seed 12: the history is not linearizable (go test)\n sim_test.go:1: seed 40: x\n")
	r.Lab = labSays("meshlab: storm broken with seed 3: 4.1 s: node1 went back\n")
	r.Tests = testsSay("--- FAIL: TestA (0.0s)\n    --- FAIL: TestA/b\n--- FAIL: TestC (1s)\n")
	want := "| bug | log, 7 steps: machines 0 and 1 lead in term 2 | seed 12, 2 lines: not linearizable | seed 3: 4.1 s: node1 went back | TestA, TestC |"
	if r.String() != want || !r.Caught() {
		t.Errorf("%s\nwant\n%s", r, want)
	}
	if got := simulationSays("x\npanic: machine 1 applies 3 after 1\n"); got != "panic: machine 1 applies 3 after 1" {
		t.Errorf("a panic: %q", got)
	}
}
