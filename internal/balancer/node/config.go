package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"

	"ivydeck/decide"
	"ivydeck/internal/balancer/settings"
)

const (
	minSockets  = 64 // file descriptors below which a node cannot work
	minMemoryMB = 32
)

// Config is the configuration of a node.
type Config struct {
	Name       string
	Listen     string // address on which the node listens for clients
	Discovery  string // address of discovery
	Seed       uint64
	MemoryMB   int
	Sockets    int
	StoredList *list // list of servers from an earlier run; nil if there is none
	Classes    []string
	Tenants    []string
	Settings   decide.Settings
}

// ReadConfig reads and validates a configuration file. An empty path is an error.
func ReadConfig(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("LB_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	config, err := parseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return config, nil
}

func parseConfig(text []byte) (*Config, error) {
	var raw struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Seed      string `json:"seed"`
		Limits    struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage  `json:"known"`
		Settings *settings.Object `json:"settings"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, err
	}
	if _, _, err := net.SplitHostPort(raw.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(raw.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if raw.Limits.Sockets < minSockets {
		return nil, fmt.Errorf("limits.sockets is %d, must be at least %d", raw.Limits.Sockets, minSockets)
	}
	if raw.Limits.MemoryMB < minMemoryMB {
		return nil, fmt.Errorf("limits.memory_mb is %d, must be at least %d", raw.Limits.MemoryMB, minMemoryMB)
	}
	if raw.Settings == nil {
		return nil, errors.New("settings are missing")
	}
	policySettings, err := raw.Settings.Translate()
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	seed := fnv.New64a()
	seed.Write([]byte(raw.Seed))
	config := &Config{
		Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Seed: seed.Sum64(),
		MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets, Settings: policySettings,
	}
	for _, class := range raw.Settings.Classes {
		config.Classes = append(config.Classes, class.Name)
	}
	for _, tenant := range raw.Settings.Tenants {
		config.Tenants = append(config.Tenants, tenant.Name)
	}
	if len(raw.Known) > 0 && string(raw.Known) != "null" {
		if config.StoredList, err = parseList(raw.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return config, nil
}
