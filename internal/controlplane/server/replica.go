package server

import (
	"slices"
	"time"

	"ivydeck/internal/controlplane/backup"
	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/departure"
	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

// replica holds the replicated state, the consensus and the store. Only the goroutine of Server.loop may access it;
// other goroutines use runInLoop.
type replica struct {
	store        *store.Store
	consensus    *raft.Node
	membership   *membershipDriver
	catalog      *catalog.Catalog
	appliedIndex uint64 // index of the last entry applied to catalog
	requests     *requestQueue
	operator     operatorRequests
	ackGate      ackGate

	departures      *departure.Recorder
	unsavedRequests []func() // complete the requests that wait until their departures are on disk

	// Raft messages.
	senders           map[uint64]*sender
	observedAddresses map[uint64]string // addresses in received messages, by sender; at most maxObservedAddresses

	// Snapshots.
	snapshotPool *rpc.Pool            // separate connections, so that snapshot data does not delay heartbeats
	transfers    map[uint64]*transfer // outgoing transfers in progress, by receiver
	compacting   bool                 // a snapshot of this member's state is being written
	installing   *receivedSnapshot    // the snapshot being installed, or nil

	// Last observed leadership and quorum contact, to detect changes.
	lastManagedAt time.Duration // time of the last call of manageLeadership
	wasLeader     bool
	leaderSince   time.Duration
	lostContact   bool
}

func newReplica(st *store.Store, snapshotPool *rpc.Pool) replica {
	return replica{
		store:             st,
		catalog:           catalog.New(),
		senders:           map[uint64]*sender{},
		observedAddresses: map[uint64]string{},
		snapshotPool:      snapshotPool,
		transfers:         map[uint64]*transfer{},
		lostContact:       true, // avoids logging a loss of contact at startup
	}
}

// restore loads the replicated state, the consensus and the request queue from the store.
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
	srv.departures = departure.NewRecorder(srv.consensus, func(member string) wire.Departure_Phase { return srv.catalog.Departure(member) }, st.Departures, st.Entries)
	st.Tail, st.Entries = nil, nil // owned by the consensus now
	srv.requests = newRequestQueue(srv.consensus, srv.minAckVoters, 0)
	srv.operator = operatorRequests{requests: srv.requests, state: func() backup.Backup {
		return backup.Backup{Term: srv.consensus.Term(), Index: srv.appliedIndex, State: srv.catalog}
	}}
	srv.appliedIndex = st.Snapshot.GetIndex()
	srv.publishFullState()
	return nil
}

// bootstrap initializes a fresh store with a quorum of this process alone if it is the first seed in sorted order. This
// happens once in the lifetime of a system; all other members join that quorum.
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
	hardState := &wire.HardState{Term: 1}
	snapshot := &wire.RaftSnapshot{Term: 1, Index: 1, Data: data, Peers: members}
	if err := st.Save(store.Batch{Snapshot: snapshot, HardState: hardState}); err != nil {
		return err
	}
	st.HardState, st.Snapshot = hardState, snapshot
	return nil
}
