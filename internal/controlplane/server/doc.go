// Package server is the process of a quorum member: it drives the consensus of package raft with a disk and a network,
// keeps the replicated state (package catalog), answers operators and nodes, and is the root of the tree by which
// updates reach all nodes (package relay). Its counterpart in other projects is etcd's server or Consul's.
//
// One goroutine, Server.loop, owns the consensus, the disk and the state: the struct replica. Everything else (RPC
// streams, HTTP handlers, timers) passes it functions by runInLoop. After each event the loop carries out what
// raft.Node.Ready asks for: save and sync, send, apply, answer. A disk that blocks blocks the loop, which is meant: a
// member that can't write must neither vote nor acknowledge.
//
//	server.go             construction, ports, shutdown
//	replica.go            the loop's state; start from the disk
//	loop.go               the loop, and how others reach it
//	storage.go, apply.go  what the consensus wants saved and applied
//	raft_transport.go     messages to and from other members
//	snapshot_send.go, snapshot_receive.go, compaction.go
//	membership_driver.go  joining and leaving; the rules are raft.MembershipManager's
//	leader.go             a leader's duties: transfers of leadership, removal of lost servers
//	request_queue.go      commands and reads that wait for the log (pure)
//	operator_requests.go  decisions on operators' requests (pure)
//	ack_gate.go           the number of voters below which nothing is acknowledged (pure)
//	http*.go              the operators' interface; rpc_nodes.go the nodes'
//
// Errors that operators receive say whether a change may have been applied: see OperatorResult.
package server
