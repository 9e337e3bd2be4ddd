package lab

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// Vary returns the scenario with one key set anew, such as nodes=12, net.loss=0.01 or
// route.0.rate=400.
func (s *Scenario) Vary(key, value string) (*Scenario, error) {
	text, err := s.Text()
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	var set struct{ X any }
	if _, err := toml.Decode("X = "+value, &set); err != nil {
		if _, err := toml.Decode(fmt.Sprintf("X = %q", value), &set); err != nil {
			return nil, fmt.Errorf("scenario: %s is no value: %w", value, err)
		}
	}
	parts := strings.Split(key, ".")
	at := tree
	for len(parts) > 1 {
		switch next := at[parts[0]].(type) {
		case map[string]any:
			at, parts = next, parts[1:]
		case []map[string]any:
			i := -1
			if _, err := fmt.Sscan(parts[1], &i); err != nil || i < 0 || i >= len(next) || len(parts) < 3 {
				return nil, fmt.Errorf("scenario: %s is no key", key)
			}
			at, parts = next[i], parts[2:]
		default:
			return nil, fmt.Errorf("scenario: %s is no key", key)
		}
	}
	old, known := at[parts[0]]
	if !known {
		return nil, fmt.Errorf("scenario: %s is no key", key)
	}
	if _, float := old.(float64); float {
		if n, ok := set.X.(int64); ok {
			set.X = float64(n)
		}
	}
	at[parts[0]] = set.X
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(tree); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(b.String())
}
