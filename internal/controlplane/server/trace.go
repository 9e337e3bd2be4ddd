package server

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"ivydeck/internal/transport/wire"
)

const maxTraces = 10_000

// Trace is what the mesh has kept of a request.
type Trace struct {
	Parts  []Part `json:"parts"`  // the first to begin first
	Asked  int    `json:"asked"`  // nodes
	Silent int    `json:"silent"` // of them
}

// Part is one node's part in a request.
type Part struct {
	Attempt string `json:"attempt"`
	Node    string `json:"node"`
	Entry   bool   `json:"entry"` // met there at its begin; else passed on to the server beside it
	Route   string `json:"route,omitempty"`
	Service string `json:"service"`
	Server  string `json:"server,omitempty"`
	Status  int32  `json:"status"`
	Why     string `json:"why,omitempty"`
	Tries   uint32 `json:"tries,omitempty"`
	AgoMs   uint32 `json:"ago_ms"` // when it was asked, since its begin there
	TookMs  uint32 `json:"took_ms"`
}

// trace asks all nodes for a request.
func (n *Node) trace(w http.ResponseWriter, r *http.Request) {
	var all Trace
	all.Asked, all.Silent = askAll(r.Context(), n, "trace", &wire.TraceRequest{Attempt: r.PathValue("attempt")}, func(answer *wire.TraceResponse) {
		for _, t := range answer.Traces[:min(len(answer.Traces), maxTraces-len(all.Parts))] {
			all.Parts = append(all.Parts, Part{t.Attempt, t.Node, t.Entry, t.Route, t.Service, t.Server, t.Status, t.Reason, t.Attempts, t.AgoMs, t.TookMs})
		}
	})
	slices.SortStableFunc(all.Parts, func(a, b Part) int {
		return cmp.Or(cmp.Compare(b.AgoMs, a.AgoMs), cmp.Compare(len(a.Attempt), len(b.Attempt)))
	})
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(all)
}
