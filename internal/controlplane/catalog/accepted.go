package catalog

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

// maxAccepted bounds the accepted configurations that are remembered, by which a resend is distinguished from another
// with the same revision. At 49,000 changes a day they reach eight hours back, and at the highest rate of a quorum (some
// tens a second) several minutes; operators resend a change for seconds. Each takes 40 bytes, in memory and in snapshots.
// Replicas need not agree on the bound: it decides on the answer to a sender, never on the state.
const maxAccepted = 16384

// earlierMaxAccepted is the bound of versions whose snapshots do not say what was forgotten.
const earlierMaxAccepted = 1024

// Change identifies a configuration: two may have the same revision.
type Change struct {
	revision uint64
	digest   [sha256.Size]byte
}

// ChangeOf returns the identity of a configuration with its body.
func ChangeOf(config *meshconfig.Config, body []byte) Change {
	return Change{revision: config.Revision, digest: sha256.Sum256(body)}
}

// Accepted reports whether a change was accepted. That stays true, so any replica that knows it may answer by it; that a
// change was not accepted only the log can say.
func (c *Catalog) Accepted(change Change) bool { return c.accepted.contains(change) }

// acceptedChanges remembers the newest configurations that were accepted. Revisions only rise, so the list is ascending,
// and all that was forgotten is below all that is remembered.
type acceptedChanges struct {
	newest           []Change // ascending by revision
	highestForgotten uint64   // the highest revision that was forgotten; 0: none was
	limit            int      // of newest; 0: maxAccepted
}

// SetAcceptedLimit bounds how many accepted changes are remembered; 0: the usual number. With small bounds, a short
// simulation reaches what takes hours in service.
func (c *Catalog) SetAcceptedLimit(limit int) { c.accepted.limit = limit }

// add remembers a change whose revision is above all others.
func (a *acceptedChanges) add(c Change) {
	a.newest = append(a.newest, c)
	limit := cmp.Or(a.limit, maxAccepted)
	if len(a.newest) <= limit {
		return
	}
	drop := max(1, limit/8) // some at a time: each move costs the whole list
	a.highestForgotten = a.newest[drop-1].revision
	a.newest = slices.Delete(a.newest, 0, drop)
}

// contains reports whether exactly this change is remembered.
func (a *acceptedChanges) contains(c Change) bool {
	i, found := slices.BinarySearchFunc(a.newest, c.revision, func(x Change, revision uint64) int {
		return cmp.Compare(x.revision, revision)
	})
	return found && a.newest[i] == c
}

// mayHaveForgotten reports whether a change may have been accepted and forgotten since. A change was accepted on top of a
// revision below its own, so one that says otherwise never was.
func (a *acceptedChanges) mayHaveForgotten(base, revision uint64) bool {
	return base < revision && revision <= a.highestForgotten
}

// encode stores the accepted changes in a snapshot.
func (a *acceptedChanges) encode(s *wire.Snapshot) {
	s.Accepted = make([]*wire.AcceptedConfig, len(a.newest))
	for i := range a.newest {
		s.Accepted[i] = &wire.AcceptedConfig{Revision: a.newest[i].revision, Hash: a.newest[i].digest[:]}
	}
	s.ForgottenRevision = &a.highestForgotten
}

// decode replaces the accepted changes by those of a snapshot.
func (a *acceptedChanges) decode(s *wire.Snapshot) {
	a.newest, a.highestForgotten = make([]Change, len(s.GetAccepted())), s.GetForgottenRevision()
	for i, t := range s.GetAccepted() {
		a.newest[i].revision = t.Revision
		copy(a.newest[i].digest[:], t.Hash)
	}
	if s.ForgottenRevision == nil && len(a.newest) >= earlierMaxAccepted { // there may have been others
		a.highestForgotten = a.newest[0].revision - 1
	}
}
