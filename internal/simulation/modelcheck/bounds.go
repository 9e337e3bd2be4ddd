package modelcheck

import "time"

// Bounds limit the events of one history. If a search starts after a scenario, they limit only the events after it.
type Bounds struct {
	Members    int    // voters at the start
	Terms      uint64 // highest term; the members start in term 1
	Proposals  int    // commands put into the log
	Reads      int    // linearizable reads
	Heartbeats int    // heartbeats beyond those that reads send
	Crashes    int    // process crashes; the disk survives
	Wipes      int    // disk losses; the member restarts with a new identity
	Changes    int    // membership changes
	Snapshots  int
	Transfers  int  // leadership transfers
	Duplicates int  // deliveries that leave the message on its link
	Link       int  // maximum number of messages in flight from one member to another
	Batch      int  // maximum number of entries in one message; zero selects the production limit
	Unordered  bool // a link may reorder its messages
	KeepStale  bool // a link keeps messages whose term is lower than the receiver's
	LoseVotes  bool // injected fault: votes are not written to disk
	States     int  // maximum number of visited states; zero means no limit
}

// SearchConfig describes a search.
type SearchConfig struct {
	Name     string
	Scenario string // events applied before the search; if empty, the search starts at the initial state
	Bounds
}

// Searches are the standard searches.
var Searches = append([]SearchConfig{
	{"elections", "", Bounds{Members: 3, Terms: 4, Link: 1}},
	{"log", "", Bounds{Members: 3, Terms: 3, Link: 1, Proposals: 1}},
	{"order", "", Bounds{Members: 3, Terms: 2, Link: 2, Proposals: 2}},
	{"reads", "", Bounds{Members: 3, Terms: 3, Link: 1, Proposals: 1, Reads: 1, States: 800_000}},
	{"crashes", "", Bounds{Members: 3, Terms: 3, Link: 1, Crashes: 1}},
	{"members", "", Bounds{Members: 3, Terms: 3, Link: 1, Changes: 2, States: 800_000}},
	{"disks", "", Bounds{Members: 3, Terms: 3, Link: 1, Changes: 1, Wipes: 1, States: 800_000}},
	{"snapshots", "", Bounds{Members: 3, Terms: 3, Link: 1, Proposals: 1, Snapshots: 1, States: 800_000}},
	{"cut", "", Bounds{Members: 3, Terms: 4, Link: 1, Batch: 1, States: 800_000}},
	{"late", "", Bounds{Members: 3, Terms: 3, Link: 1, KeepStale: true, States: 800_000}},
	{"transfer", "", Bounds{Members: 3, Terms: 3, Link: 1, Proposals: 1, Transfers: 1, States: 800_000}},
}, directed...)

// Result is the result of a search or of a series of random walks.
type Result struct {
	States    int // distinct states, where states that differ only in member names count once
	Walks     int
	Steps     int  // transitions
	Depth     int  // number of search levels, or length of the longest walk
	Complete  bool // false if a violation or the maximum of states ended the search, or the time limit ended the walks
	Elapsed   time.Duration
	Seed      uint64   // seed of the walk that violates a property
	Violation string   // first violated property; empty if all hold
	Trace     []string // events that lead to the violation; for a search a shortest trace, without the scenario
}
