// Package trace stores a node's records of recent requests, from which operators
// reconstruct the path of a request through the mesh. It also samples the requests
// that are logged.
package trace

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record describes how one node handled a request.
type Record struct {
	Attempt  string
	Start    time.Duration // relative to a time chosen by the owner of the ring
	Took     time.Duration
	Entry    bool   // true on the node that received the request from a client, false on the node of the server
	Route    string // set if Entry is true
	Service  string
	Server   string // set if Entry is false
	Status   int    // HTTP status of the response, zero if there was none
	Reason   string // why the mesh responded itself or there was no response
	Attempts int    // number of servers that the request was sent to, if Entry is true
}

// Ring stores the most recent records. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	records []Record
	next    int // index of the oldest record once records is full
}

// NewRing returns an empty ring. If capacity is 0, it stores nothing.
func NewRing(capacity int) *Ring { return &Ring{records: make([]Record, 0, capacity)} }

// Add stores a record and overwrites the oldest one if the ring is full.
func (r *Ring) Add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cap(r.records) == 0 {
		return
	}
	if len(r.records) < cap(r.records) {
		r.records = append(r.records, rec)
		return
	}
	r.records[r.next] = rec
	r.next = (r.next + 1) % len(r.records)
}

// ByAttempt returns the records of a request and of the calls made on its behalf,
// ordered by start time. The ID of such a call starts with the ID of the request and a
// dot.
func (r *Ring) ByAttempt(attempt string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Record
	for _, rec := range r.records {
		if rest, ok := strings.CutPrefix(rec.Attempt, attempt); ok && (rest == "" || rest[0] == '.') {
			list = append(list, rec)
		}
	}
	slices.SortStableFunc(list, func(a, b Record) int { return int(a.Start - b.Start) })
	return list
}

// Sampled reports whether a request belongs to the given share of all requests. The
// result depends only on the first component of the ID, so that all nodes sample the
// same requests together with the calls made on their behalf.
func Sampled(attempt string, share float64) bool {
	root, _, _ := strings.Cut(attempt, ".")
	return share > 0 && float64(xxhash.Sum64String(root)>>11)/(1<<53) < share
}
