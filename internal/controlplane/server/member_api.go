package server

import (
	"errors"
	"net/http"
	"strconv"

	"ivydeck/internal/controlplane/raft"
)

// removeMember is the operator's removal of a member that is gone for good and has no successor. 409 says that it would
// leave the quorum less tolerant than it is, or that the member runs.
func (n *Node) removeMember(w http.ResponseWriter, r *http.Request) {
	identity := r.PathValue("identity")
	id, err := strconv.ParseUint(identity, 16, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, identity+" is no identity: 16 hexadecimal digits")
		return
	}
	if leader, self := n.ask(r.Context()); !self {
		answer := Answer{Result: Unavailable, Reason: errNoLeader}
		if leader.GetControlAddress() != "" {
			answer = Answer{Result: Redirected, Leader: leader}
		}
		n.write(w, "/member/remove/"+identity, answer)
		return
	}
	switch err := n.members.remove(r.Context(), id); {
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
