package lab

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// Vary returns a copy of the scenario with one key set to a TOML value or a bare string, such
// as nodes=12, net.loss=0.01 or route.0.rate=400.
func (s *Scenario) Vary(key, value string) (*Scenario, error) {
	text, err := s.Text()
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		return nil, fmt.Errorf("scenario: decode: %w", err)
	}
	var set struct{ X any }
	if _, err := toml.Decode("X = "+value, &set); err != nil {
		if _, err := toml.Decode(fmt.Sprintf("X = %q", value), &set); err != nil {
			return nil, fmt.Errorf("scenario: invalid value %s: %w", value, err)
		}
	}
	path := strings.Split(key, ".")
	table := tree
	for len(path) > 1 {
		switch next := table[path[0]].(type) {
		case map[string]any:
			table, path = next, path[1:]
		case []map[string]any:
			index := -1
			if _, err := fmt.Sscan(path[1], &index); err != nil || index < 0 || index >= len(next) || len(path) < 3 {
				return nil, fmt.Errorf("scenario: unknown key %s", key)
			}
			table, path = next[index], path[2:]
		default:
			return nil, fmt.Errorf("scenario: unknown key %s", key)
		}
	}
	old, known := table[path[0]]
	if !known {
		return nil, fmt.Errorf("scenario: unknown key %s", key)
	}
	if _, float := old.(float64); float {
		if n, ok := set.X.(int64); ok {
			set.X = float64(n)
		}
	}
	table[path[0]] = set.X
	var encoded bytes.Buffer
	if err := toml.NewEncoder(&encoded).Encode(tree); err != nil {
		return nil, fmt.Errorf("scenario: encode: %w", err)
	}
	return Parse(encoded.String())
}
