package server

import (
	"errors"
	"net/http"
	"strconv"

	"ivydeck/internal/controlplane/raft"
)

// serveRemoveMember removes a member that is permanently lost and has no replacement. It returns 409 if the member is
// alive or if the remaining voters would tolerate fewer losses.
func (srv *Server) serveRemoveMember(w http.ResponseWriter, r *http.Request) {
	identity := r.PathValue("identity")
	id, err := strconv.ParseUint(identity, 16, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, identity+" is no identity: 16 hexadecimal digits")
		return
	}
	if l := srv.currentLeader(r.Context()); !l.isSelf {
		answer := OperatorAnswer{Result: Unavailable, Reason: errNoLeader}
		if l.leader.GetControlAddress() != "" {
			answer = OperatorAnswer{Result: Redirected, Leader: l.leader}
		}
		srv.writeAnswer(w, "/member/remove/"+identity, answer)
		return
	}
	switch err := srv.membership.remove(r.Context(), id); {
	case err == nil:
		reply(w, http.StatusOK, "removed")
	case errors.Is(err, raft.ErrNotMember):
		reply(w, http.StatusNotFound, err.Error())
	case errors.Is(err, raft.ErrMemberAlive), errors.Is(err, raft.ErrTooFewVoters):
		reply(w, http.StatusConflict, err.Error())
	default:
		reply(w, http.StatusServiceUnavailable, err.Error())
	}
}
