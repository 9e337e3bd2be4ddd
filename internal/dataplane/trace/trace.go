// Package trace keeps a node's records of the last requests, so that the path of one
// through the mesh can be asked for by its id; and it draws those that are logged.
package trace

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record is one node's part in a request.
type Record struct {
	Attempt  string
	Began    time.Duration // since a moment of the owner's choice
	Took     time.Duration
	Entry    bool   // met here at its begin; else passed on to the server beside this node
	Route    string // of an entry
	Service  string
	Server   string // of a run
	Status   int    // of the answer; 0: there was none
	Reason   string // of an answer of the mesh's own, or of none
	Attempts int    // servers that an entry has arrived at
}

// Ring keeps the last records.
type Ring struct {
	mu   sync.Mutex
	kept []Record
	next int // place of the next one, where kept is full
}

// NewRing returns a ring for so many records, none among them; it takes no more memory than they do.
func NewRing(capacity int) *Ring { return &Ring{kept: make([]Record, 0, capacity)} }

// Add keeps a record, in the place of the oldest where there is no room.
func (r *Ring) Add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cap(r.kept) == 0 {
		return
	}
	if len(r.kept) < cap(r.kept) {
		r.kept = append(r.kept, rec)
		return
	}
	r.kept[r.next] = rec
	r.next = (r.next + 1) % len(r.kept)
}

// Of returns what is kept of a request and of the calls that its runs made, the
// first to begin first. Calls have ids that begin with the id of the run.
func (r *Ring) Of(attempt string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Record
	for _, rec := range r.kept {
		if rest, ok := strings.CutPrefix(rec.Attempt, attempt); ok && (rest == "" || rest[0] == '.') {
			list = append(list, rec)
		}
	}
	slices.SortStableFunc(list, func(a, b Record) int { return int(a.Began - b.Began) })
	return list
}

// Sampled reports whether a request is among a part of all. Every node draws the same
// ones, so that what one logs of a request another does as well; the calls of a
// request are drawn with it.
func Sampled(attempt string, share float64) bool {
	root, _, _ := strings.Cut(attempt, ".")
	return share > 0 && float64(xxhash.Sum64String(root)>>11)/(1<<53) < share
}
