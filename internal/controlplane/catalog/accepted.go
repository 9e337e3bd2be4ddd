package catalog

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// maxAccepted bounds the number of accepted configurations that are kept to recognize resends. At 49,000 changes a day they
// reach eight hours back, and at some tens of changes a second several minutes; operators resend a change for seconds. Each
// takes 40 bytes in memory and in snapshots. Replicas may use different bounds: the bound affects the answer to a resend, never the state.
const maxAccepted = 16384

// earlierMaxAccepted is the value of maxAccepted in earlier versions, whose snapshots lack the highest evicted revision.
const earlierMaxAccepted = 1024

// Change identifies a configuration by its revision and the SHA-256 of its body. Different configurations may have the same
// revision.
type Change struct {
	revision uint64
	digest   [sha256.Size]byte
}

// ChangeOf returns the identity of a configuration and its encoding.
func ChangeOf(config *meshconfig.Config, body []byte) Change {
	return Change{revision: config.Revision, digest: sha256.Sum256(body)}
}

// Accepted reports whether a change is recorded as accepted. True is final, so any replica may answer a resend by it. False
// does not mean that the change was not accepted: the replica may lag behind the log, or may have evicted the record.
func (c *Catalog) Accepted(change Change) bool { return c.accepted.contains(change) }

// acceptedChanges keeps the identities of the most recently accepted configurations. Accepted revisions strictly increase,
// so every evicted revision is lower than every kept one.
type acceptedChanges struct {
	newest         []Change // ascending by revision
	highestEvicted uint64   // highest evicted revision; 0 if none was evicted
	limit          int      // maximum length of newest; 0 selects maxAccepted
}

// SetAcceptedLimit bounds the number of accepted changes that are kept; 0 selects the default. Simulations set a low limit
// so that short runs evict changes.
func (c *Catalog) SetAcceptedLimit(limit int) { c.accepted.limit = limit }

// add appends a change, whose revision must be above all others, and evicts the oldest ones beyond the limit.
func (a *acceptedChanges) add(change Change) {
	a.newest = append(a.newest, change)
	limit := cmp.Or(a.limit, maxAccepted)
	if len(a.newest) <= limit {
		return
	}
	drop := max(1, limit/8) // several at once, because a deletion moves the whole list
	a.highestEvicted = a.newest[drop-1].revision
	a.newest = slices.Delete(a.newest, 0, drop)
}

// contains reports whether a change with the same revision and digest is kept.
func (a *acceptedChanges) contains(change Change) bool {
	i, found := slices.BinarySearchFunc(a.newest, change.revision, func(accepted Change, revision uint64) int {
		return cmp.Compare(accepted.revision, revision)
	})
	return found && a.newest[i] == change
}

// mayBeEvicted reports whether a change may have been accepted and evicted since. A change is accepted only if its base is
// below its revision.
func (a *acceptedChanges) mayBeEvicted(base, revision uint64) bool {
	return base < revision && revision <= a.highestEvicted
}

// encode adds the accepted changes to a snapshot.
func (a *acceptedChanges) encode(snapshot *wire.Snapshot) {
	snapshot.Accepted = make([]*wire.AcceptedConfig, len(a.newest))
	for i := range a.newest {
		snapshot.Accepted[i] = &wire.AcceptedConfig{Revision: a.newest[i].revision, Hash: a.newest[i].digest[:]}
	}
	snapshot.ForgottenRevision = &a.highestEvicted
}

// decode replaces the accepted changes by those of a snapshot.
func (a *acceptedChanges) decode(snapshot *wire.Snapshot) {
	a.newest, a.highestEvicted = make([]Change, len(snapshot.GetAccepted())), snapshot.GetForgottenRevision()
	for i, accepted := range snapshot.GetAccepted() {
		a.newest[i].revision = accepted.Revision
		copy(a.newest[i].digest[:], accepted.Hash)
	}
	if snapshot.ForgottenRevision == nil && len(a.newest) >= earlierMaxAccepted { // older ones may have been evicted
		a.highestEvicted = a.newest[0].revision - 1
	}
}
