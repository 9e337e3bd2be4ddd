// Package mutation is mutation testing of the project's own checks. It applies known bugs (mutants) to the sources, one at a
// time and in an overlay of the build only, and reports which checks fail: the model checker, the simulations and the tests.
// A check that kills no mutant proves little. It is called by meshlab mutate; the mutants are in lab/mutations.toml.
package mutation

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Mutant is a change of one place in a source file.
type Mutant struct {
	Name string `toml:"name"`
	File string `toml:"file"`
	Old  string `toml:"old"` // occurs in the file exactly once
	New  string `toml:"new"`
	With string `toml:"with"` // name of another mutant that is applied as well: each alone is masked by the other

	Packages []string `toml:"packages"` // whose tests may kill it, beside those that always run
}

// List is a file of mutants.
type List struct {
	// SearchTests are the tests that explore many histories, random ones or all within bounds. All others are hand-made cases.
	SearchTests []string `toml:"searches"`
	Mutants     []Mutant `toml:"bug"`
}

// Load reads a list of mutants, and checks that each still applies to the sources under root.
func Load(path, root string) (*List, error) {
	list := new(List)
	meta, err := toml.DecodeFile(path, list)
	if err != nil {
		return nil, fmt.Errorf("mutation: %w", err)
	}
	var faults []error
	for _, key := range meta.Undecoded() {
		faults = append(faults, fmt.Errorf("mutation: %s: %s is no key", path, key))
	}
	for _, b := range list.Mutants {
		faults = append(faults, b.check(root))
		if b.With != "" && list.find(b.With) == nil {
			faults = append(faults, fmt.Errorf("mutation: %s: no bug %q to go with it", b.Name, b.With))
		}
	}
	if len(list.SearchTests) > 0 {
		faults = append(faults, checkTests(list.SearchTests, root))
	}
	return list, errors.Join(faults...)
}

// find returns a mutant by its name; nil: there is none.
func (l *List) find(name string) *Mutant {
	i := slices.IndexFunc(l.Mutants, func(b Mutant) bool { return b.Name == name })
	if i < 0 {
		return nil
	}
	return &l.Mutants[i]
}

// check reports an error unless the mutant applies.
func (b *Mutant) check(root string) error {
	text, err := os.ReadFile(filepath.Join(root, b.File))
	if err != nil {
		return fmt.Errorf("mutation: %s: %w", b.Name, err)
	}
	if n := strings.Count(string(text), b.Old); n != 1 || b.Old == b.New {
		return fmt.Errorf("mutation: %s: its place is in %s %d times, not once", b.Name, b.File, n)
	}
	return nil
}

var testFunction = regexp.MustCompile(`(?m)^func (Test\w+)\(`)

// checkTests reports an error unless there are tests of these names.
func checkTests(names []string, root string) error {
	known := map[string]bool{}
	for _, pattern := range []string{"*_test.go", "*/*_test.go", "*/*/*_test.go", "*/*/*/*_test.go"} {
		files, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			return fmt.Errorf("mutation: %w", err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				return fmt.Errorf("mutation: %w", err)
			}
			for _, m := range testFunction.FindAllStringSubmatch(string(text), -1) {
				known[m[1]] = true
			}
		}
	}
	var faults []error
	for _, name := range names {
		if !known[name] {
			faults = append(faults, fmt.Errorf("mutation: no test %s, which the list calls a search", name))
		}
	}
	return errors.Join(faults...)
}
