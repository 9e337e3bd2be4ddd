package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"ivydeck/internal/metrics"
	"ivydeck/internal/transport/identity"
)

// routes is what the operator calls.
func (n *Node) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+replacePath, n.operators(n.replace))
	mux.HandleFunc("GET "+readPath, n.readConfig)
	mux.HandleFunc("GET "+backupPath, n.operators(n.backup))
	mux.HandleFunc("GET /status", n.status)
	mux.HandleFunc("POST /member/remove/{identity}", n.operators(n.removeMember))
	mux.HandleFunc("GET /trace/{attempt}", n.operators(n.trace))
	mux.HandleFunc("GET /look", n.look)
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		if leader, _ := n.ask(r.Context()); leader == nil {
			reply(w, http.StatusServiceUnavailable, "no leader")
			return
		}
		reply(w, http.StatusOK, "ready")
	})
	return mux
}

// operators lets only operators call, where the interface asks for identities. Others may read what says who is there.
func (n *Node) operators(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil {
			if peer := identity.Peer(*r.TLS); peer.Role != identity.Operator {
				n.refused.Add(1)
				n.log.Warn("operator.refused", "peer", peer.String(), "from", r.RemoteAddr, "path", r.URL.Path)
				reply(w, http.StatusForbidden, peer.String()+" may not call this: a certificate of an operator is needed")
				return
			}
		}
		h(w, r)
	}
}

// Status is what a quorum member says of itself and the core, as it knows it: only
// the leader's word on members and servers is sure to be the newest.
type Status struct {
	Node     string   `json:"node"`
	Leads    bool     `json:"leads"`
	Leader   string   `json:"leader"` // its address for nodes; empty: not known
	Term     uint64   `json:"term"`
	Commit   uint64   `json:"commit"`
	Revision uint64   `json:"revision"`
	AgeMs    int64    `json:"age_ms"` // since a quorum confirmed what this member has, at most
	Members  []Member `json:"members"`
	Servers  []Server `json:"servers"`
}

// Member is a machine of the core.
type Member struct {
	Identity string `json:"identity"`
	Address  string `json:"address"`
	Voter    bool   `json:"voter"`
}

// Server is a registered application server.
type Server struct {
	Member   string `json:"member"`
	Service  string `json:"service"`
	Node     string `json:"node"`
	Zone     string `json:"zone"`
	Slots    uint32 `json:"slots"`
	Draining bool   `json:"draining"`
}

// state returns what the loop knows; ok is false where it is held up.
func (n *Node) state(ctx context.Context) (s Status, ok bool) {
	c := make(chan Status, 1)
	n.do(func() {
		s := Status{Node: n.set.Load().Node, Leads: n.consensus.IsLeader(), Leader: n.leader().GetAddress(), Term: n.consensus.Term(),
			Commit: n.consensus.Committed(), Revision: n.catalog.Revision(), AgeMs: n.contactAge().Milliseconds()}
		for _, p := range n.consensus.Peers() {
			s.Members = append(s.Members, Member{fmt.Sprintf("%016x", p.Id), p.Address, p.Voter})
		}
		for _, v := range n.catalog.Servers() {
			s.Servers = append(s.Servers, Server{v.Member, v.Service, v.Node, v.Zone, v.Slots, v.Draining})
		}
		c <- s
	})
	select {
	case s := <-c:
		return s, true
	case <-ctx.Done():
	case <-time.After(answerWithin):
	}
	return s, false
}

func (n *Node) status(w http.ResponseWriter, r *http.Request) {
	s, ok := n.state(r.Context())
	if !ok {
		reply(w, http.StatusServiceUnavailable, "the disk or the processor holds this machine up")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}

// figures are what the machine shows of itself.
func (n *Node) figures() *metrics.Set {
	return metrics.New(metrics.Gauge{Name: "ivydeck_core", Help: "The core as this machine knows it: term, commit, leads (1 or 0), revision, members, voters, servers; seconds since a quorum confirmed its state; calls refused for their identity, and seconds that its own is good for (-1: none).",
		Labels: []string{"what"}, Read: func() (list []metrics.Reading) {
			s, ok := n.state(n.ctx)
			if !ok {
				return nil
			}
			leads, voters := 0.0, 0
			if s.Leads {
				leads = 1
			}
			for _, m := range s.Members {
				if m.Voter {
					voters++
				}
			}
			for what, value := range map[string]float64{"term": float64(s.Term), "commit": float64(s.Commit), "leads": leads, "revision": float64(s.Revision),
				"members": float64(len(s.Members)), "voters": float64(voters), "servers": float64(len(s.Servers)),
				"age_seconds": n.contactAge().Seconds(), "identity_refused": float64(n.refused.Load()), "identity_ends_seconds": n.pool.Identity.Left().Seconds()} {
				list = append(list, metrics.Reading{Value: value, Labels: []string{what}})
			}
			return list
		}})
}

func reply(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}
