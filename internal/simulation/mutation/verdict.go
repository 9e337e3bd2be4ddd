package mutation

import (
	"bufio"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// These patterns match the messages of the checks, as meshlab and go test print them.
var (
	searchPattern = regexp.MustCompile(`meshlab: ([\w-]+): after (\d+) steps and (\d+) states (.*)`)
	walkPattern   = regexp.MustCompile(`meshlab: walks: after (\d+) steps and (\d+) walks, with seed (\d+), (.*)`)
	seedPattern   = regexp.MustCompile(`seed (\d+): (.*)`)
	labPattern    = regexp.MustCompile(`invariant violated with seed (\d+): (.*)`)
	failPattern   = regexp.MustCompile(`(?m)^--- FAIL: (\w+)`)
)

// modelVerdict returns the violation that the model checker printed.
func modelVerdict(output string) string {
	if m := walkPattern.FindStringSubmatch(output); m != nil {
		return fmt.Sprintf("walk %s, %s steps: %s", m[3], m[1], m[4])
	}
	if m := searchPattern.FindStringSubmatch(output); m != nil {
		return fmt.Sprintf("%s, %s states, %s steps: %s", m[1], m[3], m[2], m[4])
	}
	return otherFailure(output)
}

// simulationVerdict returns the seed and message of the first failed run.
func simulationVerdict(output string) string {
	m := seedPattern.FindStringSubmatch(output)
	if m == nil {
		return otherFailure(output)
	}
	message := m[2]
	if strings.Contains(message, "linearizable") {
		message = "not linearizable"
	}
	return fmt.Sprintf("seed %s: %s", m[1], message)
}

// labVerdict returns the seed and message of the first run that violated an invariant.
func labVerdict(output string) string {
	if m := labPattern.FindStringSubmatch(output); m != nil {
		return fmt.Sprintf("seed %s: %s", m[1], m[2])
	}
	return otherFailure(output)
}

// testVerdicts returns the names of the failed tests, separated into search tests and example tests.
func testVerdicts(output string, searches []string) (searchTests, exampleTests string) {
	var searchFailures, otherFailures []string
	for _, m := range failPattern.FindAllStringSubmatch(output, -1) {
		list := &otherFailures
		if slices.Contains(searches, m[1]) {
			list = &searchFailures
		}
		if !slices.Contains(*list, m[1]) {
			*list = append(*list, m[1])
		}
	}
	if len(searchFailures)+len(otherFailures) == 0 {
		return "", otherFailure(output)
	}
	return strings.Join(searchFailures, ", "), strings.Join(otherFailures, ", ")
}

// otherFailure returns the panic message in an output that matches no pattern, or "failed" if there is none.
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
