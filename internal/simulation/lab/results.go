package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Save writes each result to a JSON file in a directory, which it creates if needed.
func Save(dir string, results []*Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("lab: create results directory: %w", err)
	}
	for _, r := range results {
		data, err := json.Marshal(r)
		if err != nil {
			return fmt.Errorf("lab: encode result: %w", err)
		}
		varied := strings.NewReplacer("/", "_", "=", "-").Replace(r.Varied)
		name := strings.Trim(fmt.Sprintf("%s_%s_%d.json", r.Scenario, varied, r.Seed), "_")
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			return fmt.Errorf("lab: write result: %w", err)
		}
	}
	return nil
}

// Read returns the results in a directory, ordered by scenario, varied setting and seed.
func Read(dir string) ([]*Result, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("lab: list results: %w", err)
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("lab: no *.json results in %s", dir)
	}
	var list []*Result
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("lab: read result: %w", err)
		}
		r := new(Result)
		if err := json.Unmarshal(data, r); err != nil {
			return nil, fmt.Errorf("lab: decode result %s: %w", name, err)
		}
		list = append(list, r)
	}
	slices.SortStableFunc(list, func(a, b *Result) int {
		if c := strings.Compare(a.Scenario+" "+a.Varied, b.Scenario+" "+b.Varied); c != 0 {
			return c
		}
		return int(a.Seed) - int(b.Seed)
	})
	return list, nil
}
