// Package operator is the client of the operator interface, which package server implements. It loads and compares
// configuration files and calls quorum members. ivydeckctl and tests use it.
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
	firstPause     = 200 * time.Millisecond // doubles after each attempt, up to maxPause
	maxPause       = 2 * time.Second

	maxResponseBytes = meshconfig.MaxBytes + 16<<20 // enough for a backup: a configuration and a list of servers
)

// Errors of Client.Apply.
var (
	ErrStale          = errors.New("another version is in place")
	ErrInvalid        = errors.New("the configuration is invalid")
	ErrOutcomeUnknown = errors.New("the outcome is unknown: the change may have been applied")
)

// Client calls quorum members. Addresses must be set.
type Client struct {
	Addresses []string // host:port; tried in order
	HTTP      http.Client
	Secure    bool // use HTTPS; set by WithIdentity
}

// WithIdentity makes the client connect by TLS with an identity, and returns the client.
func (c *Client) WithIdentity(source *identity.Source) *Client {
	c.Secure, c.HTTP.Transport = true, &http.Transport{TLSClientConfig: source.Client()}
	return c
}

// url returns the URL of a path at an address.
func (c *Client) url(address, path string) string {
	if c.Secure {
		return "https://" + address + path
	}
	return "http://" + address + path
}

// call sends a request to the members in turn until one returns a definite response: any status but 408, 429 and 5xx. All
// requests are idempotent.
func (c *Client) call(ctx context.Context, method, path string, body []byte, header http.Header) (int, []byte, error) {
	var lastErr error
	pause := firstPause
	for i := range maxAttempts {
		status, response, err := c.attempt(ctx, method, c.url(c.Addresses[i%len(c.Addresses)], path), body, header)
		if err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, response, nil
		}
		if lastErr = err; err == nil {
			lastErr = fmt.Errorf("%s returned status %d: %s", c.Addresses[i%len(c.Addresses)], status, bytes.TrimSpace(response))
		}
		select {
		case <-time.After(pause):
			pause = min(2*pause, maxPause)
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		}
	}
	return 0, nil, fmt.Errorf("no definite response in %d attempts: %w", maxAttempts, lastErr)
}

// attempt sends a request to one member, within attemptTimeout.
func (c *Client) attempt(ctx context.Context, method, target string, body []byte, header http.Header) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := c.HTTP.Do(req) // follows a 307 redirect with the same method and body
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, respBody, err
}

// Read returns the current configuration: its encoding as sent by the operator, and its parsed form. Both are nil if there
// is none.
func (c *Client) Read(ctx context.Context) ([]byte, *meshconfig.Config, error) {
	status, body, err := c.call(ctx, http.MethodGet, "/config/read", nil, nil)
	switch {
	case err != nil:
		return nil, nil, err
	case status == http.StatusNotFound:
		return nil, nil, nil
	case status != http.StatusOK:
		return nil, nil, fmt.Errorf("the quorum returned status %d: %s", status, bytes.TrimSpace(body))
	}
	config, err := meshconfig.ParseAccepted(body, nil)
	return body, config, err
}

// Apply replaces the configuration of revision base, which is 0 for the first configuration. It returns nil if this
// configuration is accepted or was accepted before, and ErrStale or ErrInvalid if it is rejected. After ErrOutcomeUnknown it
// may have been applied, and it may be sent again unchanged.
func (c *Client) Apply(ctx context.Context, base uint64, body []byte) error {
	header := http.Header{"Base-Revision": {strconv.FormatUint(base, 10)}, "Content-Type": {"application/msgpack"}}
	status, response, err := c.call(ctx, http.MethodPost, "/config/replace", body, header)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return fmt.Errorf("%w: the base revision is %d", ErrStale, base)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: %s", ErrInvalid, bytes.TrimSpace(response))
	}
	return fmt.Errorf("the quorum returned status %d: %s", status, bytes.TrimSpace(response))
}

// Backup returns a backup of the replicated state.
func (c *Client) Backup(ctx context.Context) (*backup.Backup, error) {
	status, body, err := c.call(ctx, http.MethodGet, "/backup", nil, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("the quorum returned status %d: %s", status, bytes.TrimSpace(body))
	}
	return backup.Decode(body)
}

// Nodes returns the reports of all nodes.
func (c *Client) Nodes(ctx context.Context) (reports server.NodeReports, err error) {
	return reports, c.fetch(ctx, "/look", &reports)
}

// fetch decodes the JSON response for a path into a value.
func (c *Client) fetch(ctx context.Context, path string, into any) error {
	status, body, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("the quorum returned status %d: %s", status, bytes.TrimSpace(body))
	}
	return json.Unmarshal(body, into)
}

// Trace returns the nodes' trace records of a request and of its downstream calls.
func (c *Client) Trace(ctx context.Context, attempt string) (trace server.Trace, err error) {
	return trace, c.fetch(ctx, "/trace/"+url.PathEscape(attempt), &trace)
}

// Status returns the status of each member that responds, and an error for each other member.
func (c *Client) Status(ctx context.Context) (statuses []server.Status, errs []error) {
	for _, a := range c.Addresses {
		status, body, err := c.attempt(ctx, http.MethodGet, c.url(a, "/status"), nil, nil)
		var s server.Status
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", status, bytes.TrimSpace(body))
		}
		if err == nil {
			err = json.Unmarshal(body, &s)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", a, err))
			continue
		}
		statuses = append(statuses, s)
	}
	return statuses, errs
}
