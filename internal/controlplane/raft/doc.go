// Package raft implements the Raft consensus algorithm for the quorum members, as described in Diego Ongaro's thesis
// "Consensus: Bridging Theory and Practice" (2014). It uses the terms of the thesis, and its comments cite the chapters
// by number.
//
// The package implements leader election with pre-vote (chapter 9.6), leaders that step down without contact with a quorum
// (6.2), log replication with batched and pipelined entries (3.5, 10.2), membership changes of one voter at a time with
// learners (4), log compaction and snapshots (5), leadership transfer (3.10) and linearizable reads by ReadIndex (6.4).
//
// # Driving a Node
//
// Node is a pure state machine: it reads no clock, does no I/O and starts no goroutine. Its driver passes each event
// together with the current time, a monotonic duration since an arbitrary origin. After each event it processes what
// Ready returns, in this order:
//
//	for {
//		n.Tick(now)                    // at the latest when NextTick is reached
//		n.Step(now, message)           // from another member
//		n.Propose(now, command)        // from a client, on the leader
//		n.ReadIndex(now, token)        // from a client, on the leader
//		for ready := n.Ready(); !ready.Empty(); ready = n.Ready() {
//			save(ready.Snapshot, ready.HardState, ready.Entries) // and sync
//			n.StableTo(last(ready.Entries))
//			send(ready.Messages)
//			apply(ready.CommittedEntries)
//			answer(ready.ReadStates)
//		}
//	}
//
// The driver must sync what a Ready asks it to save before it sends any message of the same Ready. Otherwise a power loss
// could revert a vote or an acknowledgement that was already sent, which breaks election safety (3.6.3). Messages may be
// lost, duplicated, delayed and reordered.
//
// # Identities
//
// A member is identified by a random number that it generates when its disk is empty, and not by its address. A machine
// that loses its disk therefore also loses its vote, and joins as a new learner.
//
// MembershipManager is the second state machine of the package. It decides when a process sends join requests, which
// membership change the leader proposes next, and how a process leaves. Package server drives both.
package raft
