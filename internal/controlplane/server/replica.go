package server

import (
	"slices"
	"time"

	"ivydeck/internal/controlplane/backup"
	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

// replica is the member's copy of the replicated state, with the consensus and the disk under it. It belongs to the
// goroutine of Server.loop: others reach it by runInLoop.
type replica struct {
	store      *store.Store
	consensus  *raft.Node
	membership *membershipDriver
	catalog    *catalog.Catalog
	applied    uint64 // index of the last entry in catalog
	requests   *requestQueue
	operator   operatorRequests
	ackGate    ackGate

	// Messages to the other members.
	senders         map[uint64]*sender
	senderAddresses map[uint64]string // of members that have sent messages, at most maxSenderAddresses

	// Snapshots.
	snapshotPool *rpc.Pool            // connections of their own, so that heartbeats do not queue behind data
	transfers    map[uint64]*transfer // in progress, by receiver
	compacting   bool                 // a snapshot of the own state is being written
	installing   *receivedSnapshot    // about to replace the state; nil: none

	// Leadership and contact as they were last seen, to log changes.
	managedAt   time.Duration
	wasLeader   bool
	leaderSince time.Duration
	lostContact bool
}

func newReplica(st *store.Store, snapshotPool *rpc.Pool) replica {
	return replica{
		store:           st,
		catalog:         catalog.New(),
		senders:         map[uint64]*sender{},
		senderAddresses: map[uint64]string{},
		snapshotPool:    snapshotPool,
		transfers:       map[uint64]*transfer{},
		lostContact:     true, // a start is no loss of contact
	}
}

// restore brings the replicated state to where the disk has it.
func (srv *Server) restore(seed uint64) error {
	if err := srv.bootstrap(); err != nil {
		return err
	}
	st := srv.store
	if st.Snapshot != nil && st.Snapshot.Index > 0 {
		if err := srv.catalog.Restore(st.Snapshot.Data); err != nil {
			return err
		}
	}
	srv.consensus = raft.New(st.ID, st.HardState, st.Snapshot, slices.Concat(st.Tail, st.Entries), seed, 0)
	srv.membership = newMembershipDriver(srv)
	st.Tail, st.Entries = nil, nil // the consensus has them now
	srv.requests = newRequestQueue(srv.consensus, srv.minAckVoters, 0)
	srv.operator = operatorRequests{requests: srv.requests, state: func() backup.Backup {
		return backup.Backup{Term: srv.consensus.Term(), Index: srv.applied, State: srv.catalog}
	}}
	srv.applied = st.Snapshot.GetIndex()
	srv.publishFullState()
	return nil
}

// bootstrap makes the first of the seeds the only member of a new quorum, once in the life of the system: all others
// join it.
func (srv *Server) bootstrap() error {
	settings, st := srv.settings.Load(), srv.store
	if !st.Fresh || st.Damaged != nil || !settings.Bootstrap || slices.Min(settings.Seeds) != settings.Control {
		return nil
	}
	data, err := srv.catalog.Snapshot()
	if err != nil {
		return err
	}
	members := &wire.Peers{Peers: []*wire.Peer{srv.self(true)}}
	hard := &wire.HardState{Term: 1}
	snapshot := &wire.RaftSnapshot{Term: 1, Index: 1, Data: data, Peers: members}
	if err := st.Save(store.Batch{Snapshot: snapshot, HardState: hard}); err != nil {
		return err
	}
	st.HardState, st.Snapshot = hard, snapshot
	return nil
}
