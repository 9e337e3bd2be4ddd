package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"path/filepath"
	"reflect"
	"slices"
	"sort"

	"github.com/BurntSushi/toml"
	"github.com/vmihailenco/msgpack/v5"
	"gopkg.in/yaml.v3"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/pkg/boundedfile"
)

// maxFileBytes is the maximum size of a configuration file, in bytes. Text takes more than the encoded configuration.
const maxFileBytes = 4 * meshconfig.MaxBytes

// Load reads a configuration from a file. The extension determines the format: .toml, .yaml, .yml, .json, or MessagePack for
// any other. It returns the MessagePack encoding and the parsed configuration.
func Load(path string) ([]byte, *meshconfig.Config, error) {
	body, err := boundedfile.Read(path, maxFileBytes)
	if err != nil {
		return nil, nil, err
	}
	format := filepath.Ext(path)
	if !slices.Contains([]string{".toml", ".yaml", ".yml", ".json"}, format) {
		config, err := meshconfig.Parse(body)
		return body, config, err
	}
	values, err := decodeText(format, body)
	if err != nil {
		return nil, nil, fmt.Errorf("parsing %s: %w", path, err)
	}
	var encoded bytes.Buffer
	enc := msgpack.NewEncoder(&encoded)
	enc.SetSortMapKeys(true) // deterministic, so that a resent file is recognized
	if err := enc.Encode(values); err != nil {
		return nil, nil, fmt.Errorf("encoding %s as MessagePack: %w", path, err)
	}
	config, err := meshconfig.Parse(encoded.Bytes())
	return encoded.Bytes(), config, err
}

// decodeText decodes a file in one of the text formats. The decoders of YAML and JSON bound the nesting themselves.
func decodeText(format string, text []byte) (values map[string]any, err error) {
	switch format {
	case ".toml":
		if err := checkTOMLDepth(text); err != nil {
			return nil, err
		}
		err = toml.Unmarshal(text, &values)
	case ".yaml", ".yml":
		err = yaml.Unmarshal(text, &values)
	default:
		err = json.Unmarshal(text, &values)
	}
	return values, err
}

// Diff returns the differences between two configurations, one per line.
func Diff(a, b *meshconfig.Config) []string {
	var lines []string
	if a.Revision != b.Revision {
		lines = append(lines, fmt.Sprintf("revision: %d, then %d", a.Revision, b.Revision))
	}
	if a.Limits != b.Limits {
		lines = append(lines, fmt.Sprintf("request_limits: %+v, then %+v", a.Limits, b.Limits))
	}
	diff := func(kind string, old, updated map[string]any) {
		for name, oldValue := range old {
			if newValue, ok := updated[name]; !ok {
				lines = append(lines, fmt.Sprintf("%s %s: removed", kind, name))
			} else if !reflect.DeepEqual(oldValue, newValue) {
				lines = append(lines, fmt.Sprintf("%s %s: %+v, then %+v", kind, name, oldValue, newValue))
			}
		}
		for name := range updated {
			if _, ok := old[name]; !ok {
				lines = append(lines, fmt.Sprintf("%s %s: added", kind, name))
			}
		}
	}
	diff("route", routes(a), routes(b))
	diff("backend", backends(a), backends(b))
	sort.Strings(lines)
	return lines
}

// routes returns the routes by host and prefix, which are unique.
func routes(c *meshconfig.Config) map[string]any {
	m := map[string]any{}
	for _, r := range c.Routes {
		m[r.Host+r.Prefix] = r
	}
	return m
}

// backends returns the backends by name.
func backends(c *meshconfig.Config) map[string]any {
	m := map[string]any{}
	for _, b := range c.Backends {
		m[b.Name] = b
	}
	return m
}
