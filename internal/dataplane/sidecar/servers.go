package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	maxHeartbeatBytes   = 4 << 10
	departureAckTimeout = 800 * time.Millisecond // servers time out a call after 1 s
)

// serveHeartbeat serves the HTTP calls of the local server:
// POST /members/ID/heartbeat and POST /members/ID/deregister.
func (n *Node) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/members/")
	id, action, found := strings.Cut(rest, "/")
	if !ok || !found || id == "" || len(id) > 256 || action != "heartbeat" && action != "deregister" {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	if r.Method != http.MethodPost {
		http.Error(w, "POST only", http.StatusMethodNotAllowed)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, fmt.Sprintf("the body is larger than %d bytes", maxHeartbeatBytes), http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		http.Error(w, "the body is incomplete", http.StatusBadRequest)
		return
	}
	if action == "deregister" {
		n.verifier.Deregister(id)
		n.acknowledgeDeparture(w, r, id, wire.Departure_DEREGISTERED)
		return
	}
	heartbeat, err := readHeartbeat(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	heartbeat.ID = id
	switch err := n.verifier.Heartbeat(heartbeat, time.Now()); {
	case errors.Is(err, errIncarnationEnded):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case heartbeat.Draining:
		n.acknowledgeDeparture(w, r, id, wire.Departure_DRAINING)
	default:
		n.acknowledge(w)
	}
}

// acknowledgeDeparture acknowledges the departure of a server once it is recorded.
func (n *Node) acknowledgeDeparture(w http.ResponseWriter, r *http.Request, member string, phase wire.Departure_Phase) {
	if !n.recordDeparture(r.Context(), member, phase) {
		http.Error(w, "the departure is not recorded yet", http.StatusServiceUnavailable)
		return
	}
	n.acknowledge(w)
}

// recordDeparture records the departure of a server at a majority of the quorum, and reports whether it has done so within
// departureAckTimeout. An acknowledged departure must survive a crash of this process, also while the quorum has no leader: see
// package departure. Locally it takes effect at once, whether it is acknowledged or not.
func (n *Node) recordDeparture(ctx context.Context, member string, phase wire.Departure_Phase) bool {
	ctx, cancel := context.WithTimeout(ctx, departureAckTimeout)
	defer cancel()
	start := time.Now()
	if !n.agent.RecordDepartures(ctx, &wire.Departure{Member: member, Phase: phase}) {
		n.log.Warn("server.departure_not_recorded", "member", member, "phase", phase.String(), "duration_ms", time.Since(start).Milliseconds())
		return false
	}
	n.log.Info("server.departure_recorded", "member", member, "phase", phase.String(), "duration_ms", time.Since(start).Milliseconds())
	return true
}

// acknowledge responds with an empty msgpack map.
func (n *Node) acknowledge(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", "1")
	w.Write([]byte{0x80})
}
