// Package raft is the consensus of the quorum members on one replicated log, after Diego Ongaro's thesis "Consensus:
// Bridging Theory and Practice" (2014), whose terms it uses: term, vote, log matching, leader completeness, learner.
// Comments name the chapter that an invariant comes from.
//
// Implemented are leader election with pre-vote (chapter 9.6) and a leader that steps down without contact to a quorum
// (6.2), log replication with batched and pipelined entries (3.5, 10.2), membership changes of one voter at a time with
// learners (4), log compaction and snapshots (5), leadership transfer (3.10) and linearizable reads by ReadIndex (6.4).
//
// # Driving a Node
//
// Node is a pure state machine: it reads no clock, touches no disk and no socket, and starts no goroutine. Its owner
// passes every event together with the present time (a duration since a moment of the owner's choice that never goes
// back), and afterwards carries out what Ready returns, in this order:
//
//	for {
//		n.Tick(now)                    // by the time that NextTick returns
//		n.Step(now, message)           // of another member
//		n.Propose(now, command)        // of a client, on the leader
//		n.ReadIndex(now, token)        // of a client, on the leader
//		for ready := n.Ready(); !ready.Empty(); ready = n.Ready() {
//			save(ready.Snapshot, ready.HardState, ready.Entries) // and sync
//			n.StableTo(last(ready.Entries))
//			send(ready.Messages)
//			apply(ready.CommittedEntries)
//			answer(ready.ReadStates)
//		}
//	}
//
// Nothing may be sent before what the same Ready asks to be saved is synced: a vote or an acknowledgement that a loss of
// power takes back breaks election safety (3.6.3). Messages may be lost, repeated, delayed and reordered.
//
// # Identities
//
// A member is known by an identity that was drawn at random when its disk was empty, never by its address: a machine
// that has lost its disk has lost its vote with it and joins as a new learner.
//
// MembershipManager is the second state machine of the package: it decides when a process has to join, which change of
// membership the leader proposes next, and how a process leaves. The driver of both is package server.
package raft
