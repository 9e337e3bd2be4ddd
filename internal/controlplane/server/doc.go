// Package server runs a quorum member, like the server packages of etcd and Consul. It connects the consensus (package
// raft) to the disk and the network, maintains the replicated state (package catalog), serves operators and nodes, and
// is the root of the distribution tree that delivers updates to all nodes (package relay).
//
// One goroutine, Server.loop, owns the consensus, the disk and the state (struct replica). RPC streams, HTTP handlers
// and timers send it functions through runInLoop. After each event the loop processes raft.Node.Ready: it saves and
// syncs, sends messages, applies committed entries and completes requests. A blocked disk blocks the loop on purpose: a
// member that can't write must neither vote nor acknowledge.
//
//	server.go              construction, listeners, shutdown
//	replica.go             state owned by the loop; recovery from disk
//	loop.go                the event loop, and calls into it from other goroutines
//	storage.go, apply.go   saving and applying the output of the consensus
//	raft_transport.go      Raft messages to and from other members
//	snapshot_send.go       sending snapshots to other members
//	snapshot_receive.go    receiving and installing snapshots
//	compaction.go          creating snapshots and compacting the log
//	quorum_contact.go      age of the state since a quorum last confirmed it
//	membership_driver.go   joining and leaving, by the rules of raft.MembershipManager
//	leader.go              leadership transfer, removal of servers on lost nodes
//	departures.go          departures of servers, recorded by a majority without a leader
//	request_queue.go       commands and reads in progress (no I/O)
//	request_queue_calls.go blocking calls that submit to the request queue
//	operator_requests.go   results of operators' requests (no I/O)
//	ack_gate.go            the minimum number of voters for an acknowledgement (no I/O)
//	http*.go               the operators' HTTP interface
//	upload.go              reading configurations within a bound on memory
//	node_queries.go        queries to all nodes
//	rpc_nodes.go           RPC methods that nodes call
//	metrics.go             the member's own metrics
//
// Errors returned to operators tell whether a change may have been applied: see OperatorResult.
package server
