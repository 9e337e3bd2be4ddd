// Package mutation tests the project's checks by mutation testing. It applies known bugs (mutants) to the sources, one at a
// time and only in a build overlay, and reports which checks fail: the model checker, the simulations and the tests. The
// command meshlab mutate calls it; the mutants are in lab/mutations.toml.
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

// Mutant replaces one piece of text in a source file.
type Mutant struct {
	Name string `toml:"name"`
	File string `toml:"file"`
	Old  string `toml:"old"` // occurs in the file exactly once
	New  string `toml:"new"`
	With string `toml:"with"` // name of a mutant that is applied together with this one, because the original code of each masks the other

	Packages []string `toml:"packages"` // packages whose tests run in addition to those that always run
}

// List is the content of a file of mutants.
type List struct {
	// SearchTests names the tests that explore many random histories or all histories within bounds. All other tests check
	// single examples.
	SearchTests []string `toml:"searches"`
	Mutants     []Mutant `toml:"bug"`
}

// Load reads a list of mutants and checks that each applies to the sources under root. If some do not, it returns both the
// list and an error that contains the reason for each.
func Load(path, root string) (*List, error) {
	list := new(List)
	meta, err := toml.DecodeFile(path, list)
	if err != nil {
		return nil, fmt.Errorf("mutation: %w", err)
	}
	var errs []error
	for _, key := range meta.Undecoded() {
		errs = append(errs, fmt.Errorf("mutation: %s: unknown key %s", path, key))
	}
	for _, mutant := range list.Mutants {
		errs = append(errs, mutant.check(root))
		if mutant.With != "" && list.find(mutant.With) == nil {
			errs = append(errs, fmt.Errorf("mutation: %s: with refers to unknown bug %q", mutant.Name, mutant.With))
		}
	}
	if len(list.SearchTests) > 0 {
		errs = append(errs, checkTests(list.SearchTests, root))
	}
	return list, errors.Join(errs...)
}

// find returns the mutant with a name, or nil if there is none.
func (l *List) find(name string) *Mutant {
	i := slices.IndexFunc(l.Mutants, func(m Mutant) bool { return m.Name == name })
	if i < 0 {
		return nil
	}
	return &l.Mutants[i]
}

// check returns an error unless the mutant changes its file and the text that it replaces occurs exactly once.
func (m *Mutant) check(root string) error {
	text, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return fmt.Errorf("mutation: %s: %w", m.Name, err)
	}
	if n := strings.Count(string(text), m.Old); n != 1 || m.Old == m.New {
		return fmt.Errorf("mutation: %s: old must differ from new and occur once, but occurs in %s %d times", m.Name, m.File, n)
	}
	return nil
}

var testFunction = regexp.MustCompile(`(?m)^func (Test\w+)\(`)

// checkTests returns an error unless a test function exists for each name.
func checkTests(names []string, root string) error {
	defined := map[string]bool{}
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
				defined[m[1]] = true
			}
		}
	}
	var errs []error
	for _, name := range names {
		if !defined[name] {
			errs = append(errs, fmt.Errorf("mutation: searches names unknown test %s", name))
		}
	}
	return errors.Join(errs...)
}
