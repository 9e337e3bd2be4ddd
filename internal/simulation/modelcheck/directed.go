package modelcheck

// directed contains the searches that start after a scenario. A scenario itself must not violate a property.
var directed = []SearchConfig{
	// Figure 8 of the Raft paper: an entry of term 2 on one disk conflicts with an entry of a later term on another.
	{"figure-8", `
		campaign 0
		deliver 0 1 REQUEST_VOTE@2
		deliver 1 0 REQUEST_VOTE_RESPONSE@2
		lose all
		campaign 2
		deliver 2 1 REQUEST_VOTE@2
		campaign 2
		deliver 2 1 REQUEST_VOTE@3
		deliver 1 2 REQUEST_VOTE_RESPONSE@3
		lose all
		crash 0
		start 0
		campaign 0
		campaign 0
		deliver 0 1 REQUEST_VOTE@4
		deliver 1 0 REQUEST_VOTE_RESPONSE@4
	`, Bounds{Members: 3, Terms: 5, Link: 1, Batch: 1, States: 400_000}},

	// Membership changes with four members: under a stable leader, and after an uncommitted change while elections continue.
	{"members-of-four", `
		campaign 0
		deliver all
	`, Bounds{Members: 4, Terms: 4, Link: 1, Changes: 2, States: 200_000}},
	{"members-after-cut", `
		campaign 0
		deliver all
		change 0 learner 3
		lose all
		crash 0
		start 0
		campaign 2
		deliver 2 1 REQUEST_VOTE@3
		deliver 2 3 REQUEST_VOTE@3
		deliver 1 2 REQUEST_VOTE_RESPONSE@3
		deliver 3 2 REQUEST_VOTE_RESPONSE@3
		lose all
		campaign 0
		campaign 0
	`, Bounds{Members: 4, Terms: 4, Link: 1, Changes: 1, States: 200_000}},

	// Reads by an established leader or by its successor.
	{"reads-settled", `
		campaign 0
		deliver all
	`, Bounds{Members: 3, Terms: 3, Link: 1, Proposals: 1, Reads: 1, States: 400_000}},

	// Responses to a leader's heartbeats are still in flight after it has restarted and been re-elected. Meanwhile another
	// member has been elected in a later term.
	{"late-answers", `
		campaign 0
		deliver all
		heartbeat 0
		heartbeat 0
		deliver 0 1
		deliver 0 1
		lose 0 1
		lose 0 2
		crash 0
		start 0
		campaign 0
		deliver 0 2 REQUEST_VOTE
		deliver 2 0 REQUEST_VOTE_RESPONSE
		deliver 0 2 APPEND_ENTRIES@3
		deliver 2 0 APPEND_ENTRIES_RESPONSE@3
		lose 0 1
		lose 0 2
		campaign 2
		deliver 2 1 REQUEST_VOTE
		deliver 1 2 REQUEST_VOTE_RESPONSE
	`, Bounds{Members: 3, Terms: 4, Link: 4, Proposals: 1, Reads: 1, KeepStale: true, Unordered: true, States: 400_000}},

	// A snapshot is in flight to a member that meanwhile receives the entries through AppendEntries.
	{"late-snapshot", `
		campaign 0
		deliver all 0 1
		propose 0
		deliver all 0 1
	`, Bounds{Members: 3, Terms: 3, Link: 3, Proposals: 1, Snapshots: 2, Heartbeats: 1, Duplicates: 2, Unordered: true, States: 400_000}},

	// A leadership transfer was aborted while its TimeoutNow message is still in flight.
	{"late-transfer", `
		campaign 0
		deliver all
		transfer 0
		heartbeat 0
	`, Bounds{Members: 3, Terms: 3, Link: 2, Proposals: 1, Heartbeats: 1, Unordered: true, States: 400_000}},
}
