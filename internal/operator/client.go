// Package operator is the client of the operators' interface, for ivydeckctl and tests: it reads configurations from files,
// compares two, and calls quorum members. Package server is the other side.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/controlplane/backup"
	"ivydeck/internal/controlplane/server"
	"ivydeck/internal/transport/identity"
)

const (
	maxAttempts    = 8
	attemptTimeout = 3 * time.Second
	firstPause     = 200 * time.Millisecond // doubled up to maxPause
	maxPause       = 2 * time.Second

	maxAnswer = meshconfig.MaxBytes + 16<<20 // a configuration, and a list of servers in a backup
)

// The errors of a change.
var (
	ErrStale          = errors.New("another version is in place")
	ErrInvalid        = errors.New("the configuration is invalid")
	ErrOutcomeUnknown = errors.New("it may be in force or not")
)

// Client calls quorum members. The zero value needs Addresses.
type Client struct {
	Addresses []string // host:port; tried in turn
	HTTP      http.Client
	Secure    bool // HTTP has an identity, and the members ask for one
}

// With makes the client use an identity, and returns it.
func (c *Client) With(source *identity.Source) *Client {
	c.Secure, c.HTTP.Transport = true, &http.Transport{TLSClientConfig: source.Client()}
	return c
}

// url is the URL of a path at an address.
func (c *Client) url(address, path string) string {
	if c.Secure {
		return "https://" + address + path
	}
	return "http://" + address + path
}

// call calls one member after another until one gives a definite answer. All calls may be repeated without harm.
func (c *Client) call(ctx context.Context, method, path string, body []byte, header http.Header) (int, []byte, error) {
	var last error
	pause := firstPause
	for i := range maxAttempts {
		status, answer, err := c.attempt(ctx, method, c.url(c.Addresses[i%len(c.Addresses)], path), body, header)
		if err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, answer, nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("%s answers %d: %s", c.Addresses[i%len(c.Addresses)], status, bytes.TrimSpace(answer))
		}
		select {
		case <-time.After(pause):
			pause = min(2*pause, maxPause)
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		}
	}
	return 0, nil, fmt.Errorf("no definite answer in %d attempts: %w", maxAttempts, last)
}

func (c *Client) attempt(ctx context.Context, method, at string, body []byte, header http.Header) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, at, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := c.HTTP.Do(req) // follows 307 with the same method and body
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp.StatusCode, answer, err
}

// Read returns the configuration in force, as the operator sent it and parsed; nil: there is none.
func (c *Client) Read(ctx context.Context) ([]byte, *meshconfig.Config, error) {
	status, body, err := c.call(ctx, http.MethodGet, "/config/read", nil, nil)
	switch {
	case err != nil:
		return nil, nil, err
	case status == http.StatusNotFound:
		return nil, nil, nil
	case status != http.StatusOK:
		return nil, nil, fmt.Errorf("the quorum answers %d: %s", status, bytes.TrimSpace(body))
	}
	config, err := meshconfig.Parse(body)
	return body, config, err
}

// Apply sends a configuration that builds on a base revision; 0 for the first. It returns nil if that very configuration was
// accepted, now or before; ErrStale or ErrInvalid if it was rejected for good; and ErrOutcomeUnknown if it may be in force
// or not: it may be sent again unchanged.
func (c *Client) Apply(ctx context.Context, base uint64, body []byte) error {
	header := http.Header{"Base-Revision": {strconv.FormatUint(base, 10)}, "Content-Type": {"application/msgpack"}}
	status, answer, err := c.call(ctx, http.MethodPost, "/config/replace", body, header)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return fmt.Errorf("%w than %d", ErrStale, base)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: %s", ErrInvalid, bytes.TrimSpace(answer))
	}
	return fmt.Errorf("the quorum answers %d: %s", status, bytes.TrimSpace(answer))
}

// Backup returns a backup of the replicated state.
func (c *Client) Backup(ctx context.Context) (*backup.Backup, error) {
	status, body, err := c.call(ctx, http.MethodGet, "/backup", nil, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("the quorum answers %d: %s", status, bytes.TrimSpace(body))
	}
	return backup.Decode(body)
}

// Nodes returns the reports of all nodes.
func (c *Client) Nodes(ctx context.Context) (l server.NodeReports, err error) {
	return l, c.fetch(ctx, "/look", &l)
}

// fetch reads the answer for a path as JSON.
func (c *Client) fetch(ctx context.Context, path string, into any) error {
	status, body, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("the quorum answers %d: %s", status, bytes.TrimSpace(body))
	}
	return json.Unmarshal(body, into)
}

// Trace returns what the nodes have kept of a request and its calls.
func (c *Client) Trace(ctx context.Context, attempt string) (t server.Trace, err error) {
	return t, c.fetch(ctx, "/trace/"+url.PathEscape(attempt), &t)
}

// Status returns the status of each member; errs has the failures.
func (c *Client) Status(ctx context.Context) (all []server.Status, errs []error) {
	for _, a := range c.Addresses {
		status, body, err := c.attempt(ctx, http.MethodGet, c.url(a, "/status"), nil, nil)
		var s server.Status
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
