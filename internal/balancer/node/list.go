package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"ivydeck/decide"
)

// entry is a server in a list with its network address.
type entry struct {
	decide.Server
	address string
}

// list is a response of discovery: all servers if full is true, otherwise changes.
type list struct {
	generation uint64
	full       bool
	entries    []entry
}

// servers returns the entries without their addresses, for the policy.
func (l *list) servers() []decide.Server {
	servers := make([]decide.Server, len(l.entries))
	for i := range l.entries {
		servers[i] = l.entries[i].Server
	}
	return servers
}

// maxInstances bounds the instances of a list. Each takes three bytes of JSON at least, and a hundred in memory.
const maxInstances = 100_000

// instanceJSON is a server in discovery's JSON format.
type instanceJSON struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// instancesJSON is a list of at most maxInstances servers.
type instancesJSON []instanceJSON

// UnmarshalJSON decodes an array one element at a time. It implements json.Unmarshaler.
func (l *instancesJSON) UnmarshalJSON(text []byte) error {
	*l = nil
	decoder := json.NewDecoder(bytes.NewReader(text))
	if start, err := decoder.Token(); err != nil || start != json.Delim('[') {
		return errors.Join(errors.New("instances is no array"), err)
	}
	for decoder.More() {
		if len(*l) == maxInstances {
			return fmt.Errorf("more than %d instances", maxInstances)
		}
		var instance instanceJSON
		if err := decoder.Decode(&instance); err != nil {
			return err
		}
		*l = append(*l, instance)
	}
	return nil
}

// parseList parses a list in discovery's JSON format. It rejects the list if any entry
// is invalid: leaving out entries of a full list would remove their servers.
func parseList(text []byte) (*list, error) {
	var raw struct {
		Generation *uint64        `json:"generation"`
		Reset      bool           `json:"reset"`
		Instances  *instancesJSON `json:"instances"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("malformed list: %w", err)
	}
	if raw.Generation == nil || raw.Instances == nil {
		return nil, errors.New("malformed list: generation or instances is missing")
	}
	l := &list{generation: *raw.Generation, full: raw.Reset, entries: make([]entry, 0, len(*raw.Instances))}
	for _, instance := range *raw.Instances {
		parsed := entry{
			Server: decide.Server{
				ID: instance.ID, Zone: instance.Zone, Cell: instance.Cell, Weight: instance.Weight,
				Started: time.Duration(instance.StartedMs) * time.Millisecond,
			},
			address: instance.HostPort,
		}
		switch instance.Lifecycle {
		case "SERVING":
			parsed.Health = decide.Healthy
		case "DRAINING":
			parsed.Health = decide.Draining
		case "DELETED":
			parsed.Health = decide.Removed
		default:
			return nil, fmt.Errorf("malformed list: unknown lifecycle %q", instance.Lifecycle)
		}
		if instance.ID == "" {
			return nil, errors.New("malformed list: an instance has no instanceId")
		}
		if _, _, err := net.SplitHostPort(instance.HostPort); err != nil && parsed.Health != decide.Removed {
			return nil, fmt.Errorf("malformed list: hostPort of instance %s: %w", instance.ID, err)
		}
		l.entries = append(l.entries, parsed)
	}
	return l, nil
}
