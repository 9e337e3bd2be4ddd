package server

import (
	"io"
	"net/http"

	"ivydeck/internal/transport/identity"
)

// routes returns the handler of the operators' HTTP interface. Its paths must not change, because operators' programs
// use them.
func (srv *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+replacePath, srv.requireOperator(srv.serveReplace))
	mux.HandleFunc("GET "+readPath, srv.serveRead)
	mux.HandleFunc("GET "+backupPath, srv.requireOperator(srv.serveBackup))
	mux.HandleFunc("GET /status", srv.serveStatus)
	mux.HandleFunc("POST /member/remove/{identity}", srv.requireOperator(srv.serveRemoveMember))
	mux.HandleFunc("GET /trace/{attempt}", srv.requireOperator(srv.serveTrace))
	mux.HandleFunc("GET /look", srv.serveNodes)
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		if srv.currentLeader(r.Context()).leader == nil {
			reply(w, http.StatusServiceUnavailable, "no leader")
			return
		}
		reply(w, http.StatusOK, "ready")
	})
	return mux
}

// requireOperator rejects TLS calls from peers without the operator role. Routes without this check are read-only and
// open to every role. They return the current configuration and the state of processes and servers.
func (srv *Server) requireOperator(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil {
			if peer := identity.PeerName(*r.TLS); peer.Role != identity.Operator {
				srv.rejectedCalls.Add(1)
				srv.log.Warn("operator.rejected", "peer", peer.String(), "from", r.RemoteAddr, "path", r.URL.Path)
				reply(w, http.StatusForbidden, peer.String()+" may not call this: a certificate of an operator is needed")
				return
			}
		}
		h(w, r)
	}
}

// reply writes a plain-text response, with a Retry-After header for status 503.
func reply(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}
