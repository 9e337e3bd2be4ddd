package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ivydeck/internal/dataplane/proxy"
	"ivydeck/internal/transport/wire"
)

const (
	maxHeartbeatBytes   = 4 << 10
	maxWarmupMs         = 600_000                // upper bound on warmup_left_ms
	departureAckTimeout = 800 * time.Millisecond // servers time out a call after 1 s
)

// heartbeatBody is the msgpack body of a server's heartbeat.
type heartbeatBody struct {
	Backend  string  `msgpack:"backend"`
	Address  string  `msgpack:"address"`
	Zone     string  `msgpack:"zone"`
	Revision string  `msgpack:"revision"`
	Slots    int     `msgpack:"slots"`
	Status   string  `msgpack:"status"`
	WarmupMs float64 `msgpack:"warmup_left_ms"`
	Seq      uint64  `msgpack:"call_seq"`
}

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
	if err != nil {
		http.Error(w, "the body is too large or did not come", http.StatusBadRequest)
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

// readHeartbeat decodes and validates a heartbeat. Its error is sent to the server as the body of the response.
func readHeartbeat(body []byte) (proxy.Heartbeat, error) {
	var b heartbeatBody
	if err := msgpack.Unmarshal(body, &b); err != nil {
		return proxy.Heartbeat{}, errors.New("the heartbeat is not readable")
	}
	switch {
	case b.Backend == "" || b.Address == "":
		return proxy.Heartbeat{}, errors.New("the heartbeat names no backend or address")
	case b.Status != "in_service" && b.Status != "draining":
		return proxy.Heartbeat{}, errors.New("the heartbeat's status is neither in_service nor draining")
	case b.Slots < 0 || b.Slots > 1<<20:
		return proxy.Heartbeat{}, errors.New("the heartbeat's slots are no number of slots")
	}
	return proxy.Heartbeat{
		Service: b.Backend, Address: b.Address, Zone: b.Zone, Slots: b.Slots, Draining: b.Status == "draining", Seq: b.Seq,
		WarmupLeft: time.Duration(max(0, min(b.WarmupMs, maxWarmupMs)) * float64(time.Millisecond)),
	}, nil
}
