package server

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"ivydeck/internal/transport/wire"
)

// NodeReports has what all nodes report of themselves at one moment. The JSON names are frozen: operators' programs read
// them.
type NodeReports struct {
	Nodes        []NodeReport `json:"nodes"` // by name
	Queried      int          `json:"asked"`
	Unresponsive int          `json:"silent"` // of the queried ones
}

// NodeReport is the report of one node. Counts are since its start.
type NodeReport struct {
	Node        string          `json:"node"`
	Zone        string          `json:"zone"`
	Served      uint64          `json:"served"`  // answers of servers
	Refused     uint64          `json:"refused"` // rejections, which promise that a request has not run
	Failed      uint64          `json:"failed"`  // other answers of the mesh itself
	Pending     uint32          `json:"pending"`
	UpdateIndex uint64          `json:"update_index"`
	UpdateAgeMs uint32          `json:"update_age_ms"`
	UpMs        uint32          `json:"up_ms"`
	Services    []ServiceReport `json:"services"`
	Servers     []ServerReport  `json:"servers"`
}

// ServiceReport is a service as a node observes it.
type ServiceReport struct {
	Service                string    `json:"service"`
	NormalizedLatency      float64   `json:"r"`       // in multiples of the latency target
	AdmissionProbabilities []float64 `json:"chances"` // of a new call graph, by priority
	RetryBudgetLeft        float64   `json:"left"`    // retries that may be sent now
}

// ServerReport is a server beside a node.
type ServerReport struct {
	Server       string   `json:"server"`
	Service      string   `json:"service"`
	Running      uint32   `json:"running"`
	Queued       uint32   `json:"waiting"`
	Slots        uint32   `json:"slots"`
	EjectedZones []string `json:"out"` // zones for whose callers it is ejected; "*": all
	Draining     bool     `json:"draining"`
}

// serveNodes queries all nodes for their reports.
func (srv *Server) serveNodes(w http.ResponseWriter, r *http.Request) {
	var all NodeReports
	all.Queried, all.Unresponsive = queryNodes(r.Context(), srv, "look", &wire.Empty{}, func(l *wire.NodeStatus) {
		node := NodeReport{Node: l.Node, Zone: l.Zone, Served: l.Served, Refused: l.Refused, Failed: l.Failed, Pending: l.Pending,
			UpdateIndex: l.UpdateIndex, UpdateAgeMs: l.UpdateAgeMs, UpMs: l.UpMs}
		for _, s := range l.Services {
			node.Services = append(node.Services, ServiceReport{s.Service, s.NormalizedLatency, s.AdmissionProbabilities, s.RetryBudgetLeft})
		}
		for _, s := range l.Servers {
			node.Servers = append(node.Servers, ServerReport{s.Member, s.Service, s.Running, s.Queued, s.Slots, s.EjectedZones, s.Draining})
		}
		all.Nodes = append(all.Nodes, node)
	})
	slices.SortFunc(all.Nodes, func(a, b NodeReport) int { return strings.Compare(a.Node, b.Node) })
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(all)
}

const maxTraces = 10_000

// Trace has what the nodes have kept of a request. The JSON names are frozen.
type Trace struct {
	Parts        []NodeTrace `json:"parts"`  // the first to begin first
	Queried      int         `json:"asked"`  // nodes
	Unresponsive int         `json:"silent"` // of the queried nodes
}

// NodeTrace is one node's part in a request.
type NodeTrace struct {
	Attempt  string `json:"attempt"`
	Node     string `json:"node"`
	Entry    bool   `json:"entry"` // the request entered the mesh there; else it was passed to the server beside the node
	Route    string `json:"route,omitempty"`
	Service  string `json:"service"`
	Server   string `json:"server,omitempty"`
	Status   int32  `json:"status"`
	Reason   string `json:"why,omitempty"`
	Attempts uint32 `json:"tries,omitempty"`
	AgoMs    uint32 `json:"ago_ms"` // from its begin there to the query
	TookMs   uint32 `json:"took_ms"`
}

// serveTrace queries all nodes for a request.
func (srv *Server) serveTrace(w http.ResponseWriter, r *http.Request) {
	var all Trace
	all.Queried, all.Unresponsive = queryNodes(r.Context(), srv, "trace", &wire.TraceRequest{Attempt: r.PathValue("attempt")}, func(answer *wire.TraceResponse) {
		for _, t := range answer.Traces[:min(len(answer.Traces), maxTraces-len(all.Parts))] {
			all.Parts = append(all.Parts, NodeTrace{t.Attempt, t.Node, t.Entry, t.Route, t.Service, t.Server, t.Status, t.Reason, t.Attempts, t.AgoMs, t.TookMs})
		}
	})
	slices.SortStableFunc(all.Parts, func(a, b NodeTrace) int {
		return cmp.Or(cmp.Compare(b.AgoMs, a.AgoMs), cmp.Compare(len(a.Attempt), len(b.Attempt)))
	})
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(all)
}
