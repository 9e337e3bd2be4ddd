package catalog

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/pkg/bytedelta"
	"ivydeck/internal/transport/wire"
)

// Current is an immutable copy of the configuration in force, safe for concurrent use.
type Current struct {
	Config *meshconfig.Config // nil if no configuration has been accepted yet
	Body   []byte             // as received from the operator
}

// Current returns the configuration in force.
func (c *Catalog) Current() Current { return Current{c.config, c.body} }

// Revision returns the configuration's revision, or 0 if there is no configuration yet.
func (c Current) Revision() uint64 {
	if c.Config == nil {
		return 0
	}
	return c.Config.Revision
}

// Parse parses and validates another configuration. It reuses the routes whose encoding is the same in the current one. The
// current configuration itself, which an operator may send again, is valid even if it exceeds bounds that were introduced
// later.
func (c Current) Parse(body []byte) (*meshconfig.Config, error) {
	if c.Config != nil && bytes.Equal(body, c.Body) {
		return c.Config, nil
	}
	return meshconfig.ParseNext(body, c.Config)
}

// Command returns the command that replaces the configuration of revision base by config, whose encoding is body. The
// command holds a delta if base is the current revision and the delta is shorter than half of body.
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

// acceptConfig validates a committed configuration, whose proposer has applied the bounds of Current.Parse, and records it as accepted. It returns nil and no error if the same configuration
// was accepted before.
func (c *Catalog) acceptConfig(put *wire.PutConfig) (*Current, error) {
	change := Change{revision: put.Revision}
	if len(put.Delta) > 0 {
		copy(change.digest[:], put.Hash)
	} else {
		change.digest = sha256.Sum256(put.Body)
		var err error
		if change.revision, err = meshconfig.Revision(put.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
	}
	// Several operators may replace the same revision. All but one fail here, at a lower cost than that of parsing.
	if duplicate, err := c.checkChange(change, put.Base); duplicate || err != nil {
		return nil, err
	}
	body := put.Body
	if len(put.Delta) > 0 {
		var err error
		if body, err = c.rebuild(put); err != nil {
			return nil, err
		}
	}
	config, err := meshconfig.ParseAccepted(body, c.config)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	change.revision = config.Revision
	if duplicate, err := c.checkChange(change, put.Base); duplicate || err != nil {
		return nil, err
	}
	c.accepted.add(change)
	return &Current{config, body}, nil
}

// rebuild applies a delta to the current body and verifies the hash of the result.
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

// CheckChange returns the error with which a change that is not accepted yet would be rejected now, or nil: ErrStale,
// ErrInvalid or ErrOutcomeUnknown. It does not check the configuration itself.
func (c *Catalog) CheckChange(change Change, base uint64) error {
	_, err := c.checkChange(change, base)
	return err
}

// checkChange reports whether a change was accepted before. If not, it returns an error unless the change has the current
// revision as its base and a higher revision of its own.
func (c *Catalog) checkChange(change Change, base uint64) (duplicate bool, err error) {
	switch {
	case c.accepted.contains(change):
		return true, nil
	case c.accepted.mayBeEvicted(base, change.revision):
		return false, ErrOutcomeUnknown
	case base != c.Revision():
		return false, ErrStale
	case change.revision <= c.Revision():
		return false, fmt.Errorf("%w: revision %d is not above the current one, %d", ErrInvalid, change.revision, c.Revision())
	}
	return false, nil
}
