package server

import (
	"context"
	"encoding/json"
	"net/http"
)

// Status is a quorum member's view of itself and the quorum. Only the leader's view of members and servers is sure to be
// the newest. The JSON names are frozen: operators' programs read them.
type Status struct {
	Node     string             `json:"node"`
	IsLeader bool               `json:"leads"`
	Leader   string             `json:"leader"` // its internal address; empty: not known
	Term     uint64             `json:"term"`
	Commit   uint64             `json:"commit"`
	Revision uint64             `json:"revision"`
	AgeMs    int64              `json:"age_ms"` // since a quorum confirmed the state here, at most
	Members  []Member           `json:"members"`
	Servers  []RegisteredServer `json:"servers"`
}

// Member is a quorum member.
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

// currentStatus returns the status, for other goroutines than the loop's; an error says that the loop is blocked.
func (srv *Server) currentStatus(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return callInLoop(ctx, srv, srv.status)
}

// status is for the loop.
func (srv *Server) status() Status {
	s := Status{
		Node:     srv.settings.Load().Node,
		IsLeader: srv.consensus.IsLeader(),
		Leader:   srv.leader().GetAddress(),
		Term:     srv.consensus.Term(),
		Commit:   srv.consensus.Committed(),
		Revision: srv.catalog.Revision(),
		AgeMs:    srv.contactAge().Milliseconds(),
	}
	for _, p := range srv.consensus.Peers() {
		s.Members = append(s.Members, Member{Identity: identityText(p.Id), Address: p.Address, Voter: p.Voter})
	}
	for _, r := range srv.catalog.Servers() {
		s.Servers = append(s.Servers, RegisteredServer{
			Member: r.Member, Service: r.Service, Node: r.Node, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining,
		})
	}
	return s
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
