// Package mutation is mutation testing: it puts bugs into the project's sources on purpose, one at a time and in an overlay
// of the build alone, and sees which of the project's checks finds each. A check that finds nothing is worth nothing, and
// says so here. It is called by meshlab mutate.
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

// Bug is a change of one place of a source.
type Bug struct {
	Name string `toml:"name"`
	File string `toml:"file"`
	Old  string `toml:"old"` // stands in the file once
	New  string `toml:"new"`
	With string `toml:"with"` // the name of another bug of the list that is put in as well: each hides the other

	Packages []string `toml:"packages"` // whose tests may find it, beside those that are tried in any case
}

// List is what a file of bugs says.
type List struct {
	// Searches are the tests that go through many histories, drawn or all within bounds. All others try cases made by hand.
	Searches []string `toml:"searches"`
	Bugs     []Bug    `toml:"bug"`
}

// Load reads a list of bugs and sees that each still has its place in the sources under root.
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
	for _, b := range list.Bugs {
		faults = append(faults, b.check(root))
		if b.With != "" && list.find(b.With) == nil {
			faults = append(faults, fmt.Errorf("mutation: %s: no bug %q to go with it", b.Name, b.With))
		}
	}
	if len(list.Searches) > 0 {
		faults = append(faults, checkTests(list.Searches, root))
	}
	return list, errors.Join(faults...)
}

// find returns a bug by its name.
func (l *List) find(name string) *Bug {
	i := slices.IndexFunc(l.Bugs, func(b Bug) bool { return b.Name == name })
	if i < 0 {
		return nil
	}
	return &l.Bugs[i]
}

// check sees that a bug has its place.
func (b *Bug) check(root string) error {
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

// checkTests sees that tests of these names are there.
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
