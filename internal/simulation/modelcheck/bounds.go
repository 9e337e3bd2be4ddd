package modelcheck

import "time"

// Bounds limit what may happen in one history. Of a search that starts after a scenario, they limit the part after it.
type Bounds struct {
	Members    int    // voters at the start
	Terms      uint64 // the newest that may be reached; the members begin in term 1
	Proposals  int    // commands put into the log
	Reads      int    // linearizable reads
	Heartbeats int    // heartbeats that no read needs
	Crashes    int    // each loses what is not on disk
	Wipes      int    // each loses the disk, and restarts with a new identity
	Changes    int    // membership changes
	Snapshots  int
	Transfers  int  // of leadership
	Duplicates int  // messages that stay on their link when they are delivered
	Link       int  // maximum number of messages in flight from one member to another
	Batch      int  // maximum number of entries in one message; 0: as in production
	Unordered  bool // messages of one link overtake each other
	Old        bool // messages of a term before their receiver's stay on their links
	LoseVotes  bool // a deliberate fault: votes do not reach the disk
	States     int  // maximum number that the search visits; 0: no bound
}

// Set is a search with a name.
type Set struct {
	Name     string
	Scenario string // events before the search; empty: it begins at the initial state
	Bounds
}

// Named are searches that together cover the behaviour of a member, each within a minute.
var Named = append([]Set{
	{"elections", "", Bounds{Members: 3, Terms: 4, Link: 1}},
	{"log", "", Bounds{Members: 3, Terms: 3, Link: 1, Proposals: 1}},
	{"order", "", Bounds{Members: 3, Terms: 2, Link: 2, Proposals: 2}},
	{"reads", "", Bounds{Members: 3, Terms: 3, Link: 1, Proposals: 1, Reads: 1, States: 800_000}},
	{"crashes", "", Bounds{Members: 3, Terms: 3, Link: 1, Crashes: 1}},
	{"members", "", Bounds{Members: 3, Terms: 3, Link: 1, Changes: 2, States: 800_000}},
	{"disks", "", Bounds{Members: 3, Terms: 3, Link: 1, Changes: 1, Wipes: 1, States: 800_000}},
	{"snapshots", "", Bounds{Members: 3, Terms: 3, Link: 1, Proposals: 1, Snapshots: 1, States: 800_000}},
	{"cut", "", Bounds{Members: 3, Terms: 4, Link: 1, Batch: 1, States: 800_000}},
	{"late", "", Bounds{Members: 3, Terms: 3, Link: 1, Old: true, States: 800_000}},
	{"transfer", "", Bounds{Members: 3, Terms: 3, Link: 1, Proposals: 1, Transfers: 1, States: 800_000}},
}, directed...)

// Result is the result of a search or of a number of walks.
type Result struct {
	States    int // distinct ones, up to renaming of members
	Walks     int
	Steps     int // transitions between them
	Depth     int // length of the longest shortest trace; of walks, of the longest walk
	Complete  bool
	Took      time.Duration
	Seed      uint64   // of the walk that violates a property
	Violation string   // the first property that does not hold; empty: all hold
	Trace     []string // the events that lead there: of a search a shortest list, from the end of its scenario on
}
