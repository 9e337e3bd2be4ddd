package ivydeck_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestPolicyNamesAllDecisions checks that deploy/balancer.toml lists all files of package decide except its tests as policy files,
// and that no line in them exceeds the width of a printed page.
func TestPolicyNamesAllDecisions(t *testing.T) {
	const maxColumns = 110
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^policy = (\[.*?\])`).FindSubmatch(deploy)
	if found == nil {
		t.Fatal("deploy/balancer.toml has no policy line")
	}
	var named []string
	if err := json.Unmarshal(found[1], &named); err != nil || len(named) == 0 {
		t.Fatalf("parse policy files %q: %v", found[1], err)
	}
	slices.Sort(named)
	decisions, err := filepath.Glob("decide/*.go")
	if err != nil {
		t.Fatal(err)
	}
	decisions = slices.DeleteFunc(decisions, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
	if !slices.Equal(named, decisions) {
		t.Errorf("deploy/balancer.toml lists policy files %v, but package decide has files %v", named, decisions)
	}
	for _, name := range named {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); n > maxColumns {
				t.Errorf("%s:%d has %d columns, more than the maximum of %d", name, i+1, n, maxColumns)
			}
		}
	}
}
