package catalog

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/pkg/bytedelta"
	"ivydeck/internal/transport/wire"
)

// Current is the configuration in force at one moment. Any goroutine may use it.
type Current struct {
	Config *meshconfig.Config // nil: none yet
	Body   []byte             // as the operator sent it
}

// Current returns the configuration in force.
func (c *Catalog) Current() Current { return Current{c.config, c.body} }

// Revision is the configuration's revision; 0: none yet.
func (c Current) Revision() uint64 {
	if c.Config == nil {
		return 0
	}
	return c.Config.Revision
}

// Parse parses another configuration, at the cost of what differs. The error says what is wrong with it.
func (c Current) Parse(body []byte) (*meshconfig.Config, error) {
	return meshconfig.ParseNext(body, c.Config)
}

// Command returns the command that replaces the configuration with the base's revision by another. If that is the present
// one, the command has only the difference.
func (c Current) Command(base uint64, config *meshconfig.Config, body []byte) *wire.Command {
	put := &wire.PutConfig{Base: base, Body: body}
	if c.Config != nil && base == c.Revision() {
		if delta := bytedelta.Encode(c.Body, body); len(delta) < len(body)/2 {
			hash := sha256.Sum256(body)
			put = &wire.PutConfig{Base: base, Delta: delta, Revision: config.Revision, Hash: hash[:]}
		}
	}
	return &wire.Command{Change: &wire.Command_Config{Config: put}}
}

// acceptConfig decides on a configuration. It returns neither a configuration nor an error for one that was accepted
// before.
func (c *Catalog) acceptConfig(put *wire.PutConfig) (*Current, error) {
	body, change := put.Body, Change{revision: put.Revision}
	if len(put.Delta) > 0 {
		copy(change.digest[:], put.Hash)
		if known, err := c.checkChange(change, put.Base); known || err != nil {
			return nil, err
		}
		var err error
		if body, err = c.rebuild(put); err != nil {
			return nil, err
		}
	} else {
		change.digest = sha256.Sum256(body)
	}
	config, err := meshconfig.ParseNext(body, c.config)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	change.revision = config.Revision
	if known, err := c.checkChange(change, put.Base); known || err != nil {
		return nil, err
	}
	c.accepted.add(change)
	return &Current{config, body}, nil
}

// rebuild applies a delta to the body in force.
func (c *Catalog) rebuild(put *wire.PutConfig) ([]byte, error) {
	body, err := bytedelta.Apply(c.body, put.Delta, meshconfig.MaxBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStale, err)
	}
	if hash := sha256.Sum256(body); !bytes.Equal(hash[:], put.Hash) {
		return nil, fmt.Errorf("%w: the delta was made for another body", ErrStale)
	}
	return body, nil
}

// checkChange reports whether a change was accepted before, and otherwise returns why it can't be.
func (c *Catalog) checkChange(change Change, base uint64) (known bool, err error) {
	switch {
	case c.accepted.contains(change):
		return true, nil
	case c.accepted.mayHaveForgotten(base, change.revision):
		return false, ErrForgotten
	case base != c.Revision():
		return false, ErrStale
	case change.revision <= c.Revision():
		return false, fmt.Errorf("%w: revision %d is not above the current one, %d", ErrInvalid, change.revision, c.Revision())
	}
	return false, nil
}
