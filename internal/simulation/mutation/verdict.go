package mutation

import (
	"bufio"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// The messages of the checks.
var (
	searchPattern = regexp.MustCompile(`meshlab: ([\w-]+): after (\d+) steps and (\d+) states (.*)`)
	walkPattern   = regexp.MustCompile(`meshlab: walks: after (\d+) steps and (\d+) walks, with seed (\d+), (.*)`)
	seedPattern   = regexp.MustCompile(`seed (\d+): (.*)`)
	labPattern    = regexp.MustCompile(`broken with seed (\d+): (.*)`)
	failPattern   = regexp.MustCompile(`(?m)^--- FAIL: (\w+)`)
)

// modelVerdict returns what the model checker found.
func modelVerdict(output string) string {
	if m := walkPattern.FindStringSubmatch(output); m != nil {
		return fmt.Sprintf("walk %s, %s steps: %s", m[3], m[1], m[4])
	}
	if m := searchPattern.FindStringSubmatch(output); m != nil {
		return fmt.Sprintf("%s, %s states, %s steps: %s", m[1], m[3], m[2], m[4])
	}
	return otherFailure(output)
}

// simulationVerdict returns the first run that failed.
func simulationVerdict(output string) string {
	m := seedPattern.FindStringSubmatch(output)
	if m == nil {
		return otherFailure(output)
	}
	what := m[2]
	if strings.Contains(what, "linearizable") {
		what = "not linearizable"
	}
	return fmt.Sprintf("seed %s: %s", m[1], what)
}

// labVerdict returns the first run in which an invariant was violated.
func labVerdict(output string) string {
	if m := labPattern.FindStringSubmatch(output); m != nil {
		return fmt.Sprintf("seed %s: %s", m[1], m[2])
	}
	return otherFailure(output)
}

// testVerdicts returns the names of the tests that failed: those that explore many histories, and the others.
func testVerdicts(output string, searches []string) (searching, handMade string) {
	var found, others []string
	for _, m := range failPattern.FindAllStringSubmatch(output, -1) {
		list := &others
		if slices.Contains(searches, m[1]) {
			list = &found
		}
		if !slices.Contains(*list, m[1]) {
			*list = append(*list, m[1])
		}
	}
	if len(found)+len(others) == 0 {
		return "", otherFailure(output)
	}
	return strings.Join(found, ", "), strings.Join(others, ", ")
}

// otherFailure describes a failure without a message of its own.
func otherFailure(output string) string {
	lines := bufio.NewScanner(strings.NewReader(output))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if line := lines.Text(); strings.HasPrefix(line, "panic: ") {
			return line
		}
	}
	return "failed"
}
