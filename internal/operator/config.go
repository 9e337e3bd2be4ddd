package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"sort"

	"github.com/BurntSushi/toml"
	"github.com/vmihailenco/msgpack/v5"
	"gopkg.in/yaml.v3"

	"ivydeck/internal/config/meshconfig"
)

// Load reads a configuration from a file: .toml, .yaml, .json, or MessagePack for
// any other name. It returns what goes over the wire and what it says.
func Load(path string) ([]byte, *meshconfig.Config, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	var values map[string]any
	switch filepath.Ext(path) {
	case ".toml":
		err = toml.Unmarshal(body, &values)
	case ".yaml", ".yml":
		err = yaml.Unmarshal(body, &values)
	case ".json":
		err = json.Unmarshal(body, &values)
	default:
		config, err := meshconfig.Parse(body)
		return body, config, err
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	var encoded bytes.Buffer
	enc := msgpack.NewEncoder(&encoded)
	enc.SetSortMapKeys(true) // the same file gives the same bytes, so that a resend is known
	if err := enc.Encode(values); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	config, err := meshconfig.Parse(encoded.Bytes())
	return encoded.Bytes(), config, err
}

// Diff lists what differs between two configurations, a line each.
func Diff(a, b *meshconfig.Config) []string {
	var lines []string
	if a.Revision != b.Revision {
		lines = append(lines, fmt.Sprintf("revision: %d, then %d", a.Revision, b.Revision))
	}
	if a.Limits != b.Limits {
		lines = append(lines, fmt.Sprintf("request_limits: %+v, then %+v", a.Limits, b.Limits))
	}
	diff := func(kind string, old, now map[string]any) {
		for name, x := range old {
			if y, ok := now[name]; !ok {
				lines = append(lines, fmt.Sprintf("%s %s: removed", kind, name))
			} else if !reflect.DeepEqual(x, y) {
				lines = append(lines, fmt.Sprintf("%s %s: %+v, then %+v", kind, name, x, y))
			}
		}
		for name := range now {
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

// routes are distinguished by host and prefix, which are unique.
func routes(c *meshconfig.Config) map[string]any {
	m := map[string]any{}
	for _, r := range c.Routes {
		m[r.Host+r.Prefix] = r
	}
	return m
}

func backends(c *meshconfig.Config) map[string]any {
	m := map[string]any{}
	for _, b := range c.Backends {
		m[b.Name] = b
	}
	return m
}
