package mutation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestBugsHaveTheirPlaces: each bug of the list can still be put in.
func TestBugsHaveTheirPlaces(t *testing.T) {
	bugs, err := Load("../../../lab/mutations.toml", "../../..")
	if err != nil {
		t.Fatal(err)
	}
	if len(bugs.Bugs) < 20 {
		t.Errorf("%d bugs", len(bugs.Bugs))
	}
	dir := t.TempDir()
	source, list := filepath.Join(dir, "a.go"), filepath.Join(dir, "bugs.toml")
	for name, text := range map[string]string{source: "one two two", list: "[[bug]]\nname = \"a\"\nfile = \"a.go\"\nold = \"two\"\nnew = \"x\"\n[[bug]]\nname = \"b\"\nfile = \"no.go\"\nwith = \"c\"\n"} {
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Load(list, dir); err == nil || !strings.Contains(err.Error(), "a.go 2 times") || !strings.Contains(err.Error(), "no.go") || !strings.Contains(err.Error(), `no bug "c"`) {
		t.Errorf("a list with three faults: %v", err)
	}
}

// TestVerdicts: what checks print becomes a row.
func TestVerdicts(t *testing.T) {
	r := Row{Bug: Bug{Name: "bug"}}
	if r.Found() {
		t.Error("found by nobody, and found")
	}
	r.Searches, r.Tests = testVerdicts("--- FAIL: TestA (0.0s)\n    --- FAIL: TestA/b\n--- FAIL: TestC (1s)\n", []string{"TestB", "TestC"})
	if r.Tests != "TestA" || r.Searches != "TestC" || !r.Searched() {
		t.Errorf("by hand %q, by a search %q", r.Tests, r.Searches)
	}
	if r.Searches = ""; r.Searched() || !r.Found() {
		t.Error("what a case made by hand has found alone counts as searched, or as not found")
	}
	r.Model = modelVerdict("log  10 states\nmeshlab: figure-8: after 7 steps and 90 states members 0 and 1 lead in term 2\n")
	r.Simulation = simulationVerdict("--- FAIL: T\n sim_test.go:1: seed 12: the history is not linearizable (go test)\n sim_test.go:1: seed 40: x\n")
	r.Lab = labVerdict("meshlab: storm broken with seed 3: 4.1 s: node1 went back\n")
	want := "| bug | figure-8, 90 states, 7 steps: members 0 and 1 lead in term 2 | seed 12: not linearizable | seed 3: 4.1 s: node1 went back | - | TestA |"
	if r.String() != want || !r.Searched() {
		t.Errorf("%s\nwant\n%s", r, want)
	}
	if got := modelVerdict("meshlab: walks: after 80 steps and 300 walks, with seed 17, member 1 votes twice\n"); got != "walk 17, 80 steps: member 1 votes twice" {
		t.Errorf("a walk: %q", got)
	}
	if got := simulationVerdict("x\npanic: machine 1 applies 3 after 1\n"); got != "panic: machine 1 applies 3 after 1" {
		t.Errorf("a panic: %q", got)
	}
}

// TestOverlay: a bug that needs another is put in with it, also into the same file.
func TestOverlay(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a.go"), []byte("one two three"), 0o644); err != nil {
		t.Fatal(err)
	}
	r := Row{Bug: Bug{File: "a.go", Old: "one", New: "1"}, with: &Bug{File: "a.go", Old: "three", New: "3"}}
	if _, err := r.writeOverlay(dir, dir); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(filepath.Join(dir, "changed0.go")); err != nil || string(text) != "1 two 3" {
		t.Errorf("%q, %v", text, err)
	}
}
