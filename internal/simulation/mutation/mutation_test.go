package mutation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestMutantsApply checks that each mutant in lab/mutations.toml applies to the sources, and that Load reports those that do not.
func TestMutantsApply(t *testing.T) {
	list, err := Load("../../../lab/mutations.toml", "../../..")
	if err != nil {
		t.Fatal(err)
	}
	if len(list.Mutants) < 20 {
		t.Errorf("lab/mutations.toml lists %d mutants, want at least 20", len(list.Mutants))
	}
	dir := t.TempDir()
	source, file := filepath.Join(dir, "a.go"), filepath.Join(dir, "bugs.toml")
	for name, text := range map[string]string{source: "one two two", file: "[[bug]]\nname = \"a\"\nfile = \"a.go\"\nold = \"two\"\nnew = \"x\"\n[[bug]]\nname = \"b\"\nfile = \"no.go\"\nwith = \"c\"\n"} {
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Load(file, dir); err == nil || !strings.Contains(err.Error(), "a.go 2 times") || !strings.Contains(err.Error(), "no.go") || !strings.Contains(err.Error(), `unknown bug "c"`) {
		t.Errorf("Load of a list with three errors: %v", err)
	}
}

// TestVerdicts checks how the output of the checks is converted to a Result.
func TestVerdicts(t *testing.T) {
	r := Result{Mutant: Mutant{Name: "bug"}}
	if r.Killed() {
		t.Error("a mutant that no check has killed counts as killed")
	}
	r.SearchTests, r.Tests = testVerdicts("--- FAIL: TestA (0.0s)\n    --- FAIL: TestA/b\n--- FAIL: TestC (1s)\n", []string{"TestB", "TestC"})
	if r.Tests != "TestA" || r.SearchTests != "TestC" || !r.KilledBySearch() {
		t.Errorf("killed by example tests %q and by search tests %q", r.Tests, r.SearchTests)
	}
	if r.SearchTests = ""; r.KilledBySearch() || !r.Killed() {
		t.Error("a mutant killed only by an example test counts as killed by a search or as not killed")
	}
	r.Model = modelVerdict("log  10 states\nmeshlab: figure-8: after 7 steps and 90 states members 0 and 1 lead in term 2\n")
	r.Simulation = simulationVerdict("--- FAIL: T\n sim_test.go:1: seed 12: the history is not linearizable (go test)\n sim_test.go:1: seed 40: x\n")
	r.Lab = labVerdict("meshlab: storm: invariant violated with seed 3: 4.1 s: node1 went back\n")
	want := "| bug | figure-8, 90 states, 7 steps: members 0 and 1 lead in term 2 | seed 12: not linearizable | seed 3: 4.1 s: node1 went back | - | TestA |"
	if r.String() != want || !r.KilledBySearch() {
		t.Errorf("%s\nwant\n%s", r, want)
	}
	if got := modelVerdict("meshlab: walks: after 80 steps and 300 walks, with seed 17, member 1 votes twice\n"); got != "walk 17, 80 steps: member 1 votes twice" {
		t.Errorf("verdict for a random walk: %q", got)
	}
	if got := simulationVerdict("x\npanic: machine 1 applies 3 after 1\n"); got != "panic: machine 1 applies 3 after 1" {
		t.Errorf("verdict for a panic: %q", got)
	}
}

// TestOverlay checks that a mutant and the one that it names in With are both applied, even to the same file.
func TestOverlay(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a.go"), []byte("one two three"), 0o644); err != nil {
		t.Fatal(err)
	}
	r := Result{Mutant: Mutant{File: "a.go", Old: "one", New: "1"}, companion: &Mutant{File: "a.go", Old: "three", New: "3"}}
	if _, err := r.writeOverlay(dir, dir); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(filepath.Join(dir, "changed0.go")); err != nil || string(text) != "1 two 3" {
		t.Errorf("overlay file contains %q, error %v; want \"1 two 3\"", text, err)
	}
}
