package mutation

import (
	"bufio"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// What the checks print of what they have found.
var (
	searchLine = regexp.MustCompile(`meshlab: ([\w-]+): after (\d+) steps and (\d+) states (.*)`)
	walkLine   = regexp.MustCompile(`meshlab: walks: after (\d+) steps and (\d+) walks, with seed (\d+), (.*)`)
	seedLine   = regexp.MustCompile(`seed (\d+): (.*)`)
	labLine    = regexp.MustCompile(`broken with seed (\d+): (.*)`)
	failLine   = regexp.MustCompile(`(?m)^--- FAIL: (\w+)`)
)

func modelVerdict(out string) string {
	if m := walkLine.FindStringSubmatch(out); m != nil {
		return fmt.Sprintf("walk %s, %s steps: %s", m[3], m[1], m[4])
	}
	if m := searchLine.FindStringSubmatch(out); m != nil {
		return fmt.Sprintf("%s, %s states, %s steps: %s", m[1], m[3], m[2], m[4])
	}
	return otherFailure(out)
}

// simulationVerdict gives the first run that went wrong.
func simulationVerdict(out string) string {
	m := seedLine.FindStringSubmatch(out)
	if m == nil {
		return otherFailure(out)
	}
	what := m[2]
	if strings.Contains(what, "linearizable") {
		what = "not linearizable"
	}
	return fmt.Sprintf("seed %s: %s", m[1], what)
}

func labVerdict(out string) string {
	if m := labLine.FindStringSubmatch(out); m != nil {
		return fmt.Sprintf("seed %s: %s", m[1], m[2])
	}
	return otherFailure(out)
}

// testVerdicts names the tests that failed: those that search, and the others.
func testVerdicts(out string, searches []string) (searching, handMade string) {
	var found, others []string
	for _, m := range failLine.FindAllStringSubmatch(out, -1) {
		list := &others
		if slices.Contains(searches, m[1]) {
			list = &found
		}
		if !slices.Contains(*list, m[1]) {
			*list = append(*list, m[1])
		}
	}
	if len(found)+len(others) == 0 {
		return "", otherFailure(out)
	}
	return strings.Join(found, ", "), strings.Join(others, ", ")
}

// otherFailure tells of an end that no check has worded.
func otherFailure(out string) string {
	lines := bufio.NewScanner(strings.NewReader(out))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if line := lines.Text(); strings.HasPrefix(line, "panic: ") {
			return line
		}
	}
	return "failed"
}
