// Package operator is what an operator's tool does: it reads configurations from
// files that people write, says what differs between two, and speaks to the core.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/vmihailenco/msgpack/v5"
	"gopkg.in/yaml.v3"

	"ivydeck/internal/backup"
	"ivydeck/internal/control"
	"ivydeck/internal/identity"
	"ivydeck/internal/meshconfig"
)

const (
	tries     = 8
	tryWait   = 3 * time.Second
	firstWait = 200 * time.Millisecond // doubled up to mostWait
	mostWait  = 2 * time.Second

	mostAnswer = meshconfig.MostBytes + 16<<20 // a configuration, and a list of servers in a backup
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
	var out bytes.Buffer
	enc := msgpack.NewEncoder(&out)
	enc.SetSortMapKeys(true) // the same file gives the same bytes, so that a resend is known
	if err := enc.Encode(values); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	config, err := meshconfig.Parse(out.Bytes())
	return out.Bytes(), config, err
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

// routes are told apart by their place, which is theirs alone.
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

// Core speaks to the machines that serve control.
type Core struct {
	Addresses []string // host:port; tried in turn
	Client    http.Client
	Secure    bool // Client has an identity, and the core asks for one
}

// With makes calls with an identity.
func (c *Core) With(source *identity.Source) *Core {
	c.Secure, c.Client.Transport = true, &http.Transport{TLSClientConfig: source.Client()}
	return c
}

// url is where a machine answers for a path.
func (c *Core) url(address, path string) string {
	if c.Secure {
		return "https://" + address + path
	}
	return "http://" + address + path
}

// call asks one machine after another until one gives a clear answer. The same
// call may be made again without harm.
func (c *Core) call(ctx context.Context, method, path string, body []byte, header http.Header) (int, []byte, error) {
	var last error
	wait := firstWait
	for i := range tries {
		status, answer, err := c.once(ctx, method, c.url(c.Addresses[i%len(c.Addresses)], path), body, header)
		if err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, answer, nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("%s answers %d: %s", c.Addresses[i%len(c.Addresses)], status, bytes.TrimSpace(answer))
		}
		select {
		case <-time.After(wait):
			wait = min(2*wait, mostWait)
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		}
	}
	return 0, nil, fmt.Errorf("no clear answer in %d tries: %w", tries, last)
}

func (c *Core) once(ctx context.Context, method, url string, body []byte, header http.Header) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, tryWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := c.Client.Do(req) // follows 307 with the same method and body
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
	return resp.StatusCode, answer, err
}

// Read returns the configuration in force, as it was sent; nil: there is none.
func (c *Core) Read(ctx context.Context) ([]byte, *meshconfig.Config, error) {
	status, body, err := c.call(ctx, http.MethodGet, "/config/read", nil, nil)
	switch {
	case err != nil:
		return nil, nil, err
	case status == http.StatusNotFound:
		return nil, nil, nil
	case status != http.StatusOK:
		return nil, nil, fmt.Errorf("the core answers %d: %s", status, bytes.TrimSpace(body))
	}
	config, err := meshconfig.Parse(body)
	return body, config, err
}

// Apply sends a configuration that builds on a revision; 0 for the first.
func (c *Core) Apply(ctx context.Context, base uint64, body []byte) error {
	header := http.Header{"Base-Revision": {strconv.FormatUint(base, 10)}, "Content-Type": {"application/msgpack"}}
	status, answer, err := c.call(ctx, http.MethodPost, "/config/replace", body, header)
	if err != nil {
		return fmt.Errorf("it may be in force or not: %w", err)
	}
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return fmt.Errorf("another version than %d is in place", base)
	}
	return fmt.Errorf("the core answers %d: %s", status, bytes.TrimSpace(answer))
}

// Backup returns all that the core has acknowledged.
func (c *Core) Backup(ctx context.Context) (*backup.Backup, error) {
	status, body, err := c.call(ctx, http.MethodGet, "/backup", nil, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("the core answers %d: %s", status, bytes.TrimSpace(body))
	}
	return backup.Decode(body)
}

// Status asks each machine for what it says of itself; what failed is in errs.
func (c *Core) Status(ctx context.Context) (all []control.Status, errs []error) {
	for _, a := range c.Addresses {
		status, body, err := c.once(ctx, http.MethodGet, c.url(a, "/status"), nil, nil)
		var s control.Status
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("answers %d: %s", status, bytes.TrimSpace(body))
		}
		if err == nil {
			err = json.Unmarshal(body, &s)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", a, err))
			continue
		}
		all = append(all, s)
	}
	return all, errs
}
