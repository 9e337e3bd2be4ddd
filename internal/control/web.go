package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"ivydeck/internal/backup"
	"ivydeck/internal/catalog"
	"ivydeck/internal/identity"
	"ivydeck/internal/meshconfig"
	"ivydeck/internal/metrics"
)

// routes is what the operator calls.
func (n *Node) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /config/replace", n.operators(n.replace))
	mux.HandleFunc("GET /config/read", n.readConfig)
	mux.HandleFunc("GET /backup", n.operators(n.backup))
	mux.HandleFunc("GET /status", n.status)
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

// Status is what a core machine says of itself and the core, as it knows it: only
// the leader's word on members and servers is sure to be the newest.
type Status struct {
	Node     string   `json:"node"`
	Leads    bool     `json:"leads"`
	Leader   string   `json:"leader"` // its address for nodes; empty: not known
	Term     uint64   `json:"term"`
	Commit   uint64   `json:"commit"`
	Revision uint64   `json:"revision"`
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
		s := Status{Node: n.set.Load().Node, Leads: n.consensus.Leads(), Leader: n.leader().GetAddress(), Term: n.consensus.Term(),
			Commit: n.consensus.Commit(), Revision: n.catalog.Revision()}
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
	return metrics.New(metrics.Gauge{Name: "ivydeck_core", Help: "The core as this machine knows it: term, commit, leads (1 or 0), revision, members, voters, servers; calls refused for their identity, and seconds that its own is good for (-1: none).",
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
				"identity_refused": float64(n.refused.Load()), "identity_ends_seconds": n.pool.Identity.Left().Seconds()} {
				list = append(list, metrics.Reading{Value: value, Labels: []string{what}})
			}
			return list
		}})
}

func reply(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "0.3")
	}
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}

// elsewhere sends a caller to the leader, unless this node is it.
func (n *Node) elsewhere(ctx context.Context, w http.ResponseWriter, path string) bool {
	leader, self := n.ask(ctx)
	switch {
	case self:
		return false
	case leader == nil || leader.Control == "":
		reply(w, http.StatusServiceUnavailable, "no leader")
	default:
		scheme := "http://"
		if n.set.Load().SecureOperator {
			scheme = "https://"
		}
		w.Header().Set("Location", scheme+leader.Control+path)
		reply(w, http.StatusTemporaryRedirect, "the leader is at "+leader.Control)
	}
	return true
}

// replace takes a whole configuration.
func (n *Node) replace(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, meshconfig.MostBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		reply(w, http.StatusRequestEntityTooLarge, "the configuration is too large")
		return
	}
	if err != nil {
		reply(w, http.StatusBadRequest, "the configuration did not come whole")
		return
	}
	base, err := strconv.ParseUint(r.Header.Get("Base-Revision"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, "Base-Revision is no number")
		return
	}
	current := n.current.Load()
	config, err := current.Parse(body)
	if err != nil {
		reply(w, http.StatusBadRequest, err.Error())
		return
	}
	if n.elsewhere(r.Context(), w, "/config/replace") {
		return
	}
	err = n.change(r.Context(), current.Command(base, config, body))
	switch {
	case err == nil:
		reply(w, http.StatusOK, "taken")
	case errors.Is(err, catalog.ErrStale):
		reply(w, http.StatusPreconditionFailed, err.Error())
	case errors.Is(err, catalog.ErrInvalid):
		reply(w, http.StatusBadRequest, err.Error())
	default:
		reply(w, http.StatusServiceUnavailable, err.Error()) // it may still be accepted, or may have been
	}
}

// backup returns all that was acknowledged, as the file that package backup reads.
func (n *Node) backup(w http.ResponseWriter, r *http.Request) {
	if n.elsewhere(r.Context(), w, "/backup") {
		return
	}
	var data []byte
	var failed error
	look := func() {
		b := backup.Backup{Term: n.consensus.Term(), Index: n.applied, State: n.catalog}
		data, failed = b.Encode()
	}
	if err := n.read(r.Context(), look); err != nil {
		reply(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if failed != nil {
		reply(w, http.StatusInternalServerError, failed.Error())
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Write(data)
}

// readConfig returns the newest configuration as it was sent.
func (n *Node) readConfig(w http.ResponseWriter, r *http.Request) {
	if n.elsewhere(r.Context(), w, "/config/read") {
		return
	}
	var body []byte
	if err := n.read(r.Context(), func() { body = n.catalog.Body() }); err != nil {
		reply(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if body == nil {
		reply(w, http.StatusNotFound, "no configuration yet")
		return
	}
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}
