package server

import (
	"context"
	"encoding/json"
	"net/http"
)

// Status is a quorum member's view of itself and the quorum. The members and servers of a follower may be outdated.
// The JSON names must not change, because operators' programs read them.
type Status struct {
	Node     string             `json:"node"`
	IsLeader bool               `json:"leads"`
	Leader   string             `json:"leader"` // internal address; empty if unknown
	Term     uint64             `json:"term"`
	Commit   uint64             `json:"commit"`
	Revision uint64             `json:"revision"`
	AgeMs    int64              `json:"age_ms"` // upper bound of the time since a quorum confirmed this member's state
	Members  []Member           `json:"members"`
	Servers  []RegisteredServer `json:"servers"`
}

// Member describes a quorum member, which is a learner unless it is a voter.
type Member struct {
	Identity string `json:"identity"`
	Address  string `json:"address"`
	Voter    bool   `json:"voter"`
}

// RegisteredServer is an application server in the registry.
type RegisteredServer struct {
	Member   string `json:"member"`
	Service  string `json:"service"`
	Node     string `json:"node"`
	Zone     string `json:"zone"`
	Slots    uint32 `json:"slots"`
	Draining bool   `json:"draining"`
}

// currentStatus returns the status to a goroutine other than the loop's. It fails after operatorTimeout, for example
// while the disk blocks the loop.
func (srv *Server) currentStatus(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return callInLoop(ctx, srv, srv.status)
}

// status returns the status. Only the loop may call it.
func (srv *Server) status() Status {
	status := Status{
		Node:     srv.settings.Load().Node,
		IsLeader: srv.consensus.IsLeader(),
		Leader:   srv.leader().GetAddress(),
		Term:     srv.consensus.Term(),
		Commit:   srv.consensus.Committed(),
		Revision: srv.catalog.Revision(),
		AgeMs:    srv.contactAge().Milliseconds(),
	}
	for _, p := range srv.consensus.Peers() {
		status.Members = append(status.Members, Member{Identity: formatIdentity(p.Id), Address: p.Address, Voter: p.Voter})
	}
	for _, r := range srv.catalog.Servers() {
		status.Servers = append(status.Servers, RegisteredServer{
			Member: r.Member, Service: r.Service, Node: r.Node, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining,
		})
	}
	return status
}

func (srv *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	s, err := srv.currentStatus(r.Context())
	if err != nil {
		reply(w, http.StatusServiceUnavailable, "the disk or the processor holds this machine up")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}
